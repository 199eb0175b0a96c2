"""Interface to the claims of keyed calls that may run only once.

A claim belongs to the first attempt id of a request and covers all attempts of that request.
An adapter carries out the effects and answers ``RequestClaim`` and ``CompleteClaim`` with
``ClaimAnswered``. The other effects have no answer; the adapter retries them until they are recorded.
"""

import enum
from dataclasses import dataclass
from typing import NewType

from basilcove.core.events import Effect, Event
from basilcove.core.ids import AttemptId

ClaimKey = NewType('ClaimKey', str)


class ClaimOutcome(enum.Enum):
    """State of a key according to the replicated state."""

    GRANTED = 'granted'
    COMPLETED = 'completed'
    IN_PROGRESS = 'in_progress'
    UNKNOWN = 'unknown'
    MISMATCH = 'mismatch'
    FULL = 'full'
    UNAVAILABLE = 'unavailable'


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The first complete answer to a keyed call."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Answer to a claim; ``answer`` is set if and only if the outcome is ``COMPLETED``."""

    outcome: ClaimOutcome
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class ClaimAnswered(Event):
    """The answer to ``RequestClaim`` or ``CompleteClaim`` of this attempt."""

    key: ClaimKey
    attempt_id: AttemptId
    result: ClaimResult


@dataclass(frozen=True, slots=True)
class RequestClaim(Effect):
    """Claims a key; ``deadline`` in monotonic seconds."""

    key: ClaimKey
    fingerprint: str
    attempt_id: AttemptId
    deadline: float


@dataclass(frozen=True, slots=True)
class CompleteClaim(Effect):
    """Records the answer of the claimed call."""

    key: ClaimKey
    attempt_id: AttemptId
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ReleaseClaim(Effect):
    """Frees the key, as no attempt ran or can still run; ignored if this attempt doesn't own the claim."""

    key: ClaimKey
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class AbandonClaim(Effect):
    """Records that it is unknown whether the call ran."""

    key: ClaimKey
    attempt_id: AttemptId
