"""Reads what an upstream says about itself in the head of an answer."""

from dataclasses import dataclass
from http import HTTPStatus

from basilcove.gateway.config import HeaderNames
from basilcove.http1.client import AnswerHead
from basilcove.http1.headers import find_header
from basilcove.http1.retry_after import read_retry_after_s

_NO_FLAG = frozenset(('', '0', 'false'))


@dataclass(frozen=True, slots=True)
class Hints:
    """What an upstream asks of this gateway.

    ``is_leaving``: it wants no new requests until it starts again. ``retry_after_s``: it wants no requests
    for this many seconds; 0 if it doesn't say so.
    """

    is_leaving: bool = False
    retry_after_s: float = 0

    def __bool__(self) -> bool:
        """Return whether the upstream asks for anything."""
        return self.is_leaving or self.retry_after_s > 0


NO_HINTS = Hints()


def read_hints(head: AnswerHead, names: HeaderNames) -> Hints:
    """Return the hints in a head; an answer of another instance at the address has none."""
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return NO_HINTS
    is_leaving = find_header(head.headers, names.leaving.lower().encode()).lower() not in _NO_FLAG
    return Hints(is_leaving, read_retry_after_s(head.status, head.headers))
