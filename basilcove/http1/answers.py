"""What a connection to an upstream passes to the reader of an answer."""

import enum
from dataclasses import dataclass
from typing import Final, Protocol

from basilcove.http1.headers import Headers

# RFC 9110, section 15: a final status follows an interim one, and any other is invalid.
_FIRST_INTERIM: Final = 100
_FIRST_FINAL: Final = 200
_LAST_FINAL: Final = 599
INTERIM_STATUSES: Final = range(_FIRST_INTERIM, _FIRST_FINAL)
FINAL_STATUSES: Final = range(_FIRST_FINAL, _LAST_FINAL + 1)


@dataclass(slots=True)
class AnswerHead:
    """Status and headers of an answer; ``size`` is None if there is no valid Content-Length.

    ``ends_with_connection`` tells that the body has neither a length nor chunks.
    """

    status: int
    reason: bytes
    headers: Headers
    size: int | None = None
    ends_with_connection: bool = False


class Attribution(enum.Enum):
    """Whether an answer belongs to the request that was sent last."""

    # It does.
    OWN = 'own'
    # It names no request. Earlier answers of its connection may come once more, so only the first one counts.
    UNNAMED = 'unnamed'
    # It belongs to another request.
    FOREIGN = 'foreign'


class AnswerReader(Protocol):
    """Receives an answer; all methods run on the loop's thread."""

    def attribute(self, head: AnswerHead) -> Attribution:
        """Return to which request this answer belongs; it may be skipped."""

    def on_interim(self, head: AnswerHead) -> None:
        """Handle the head of an interim answer (1xx), which the final one follows."""

    def on_head(self, head: AnswerHead) -> None:
        """Handle the head."""

    def on_part(self, part: bytes) -> None:
        """Handle a part of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete answer."""

    def on_broken(self, reason: str) -> None:
        """Handle the loss of the rest of the answer."""
