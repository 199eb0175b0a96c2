"""Events and effects of requests at a gateway."""

import enum
from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.core.ids import InstanceId, TeamName


class AttemptResult(enum.Enum):
    """How an attempt ended."""

    # The whole answer was handed to the caller.
    ANSWERED = 'answered'
    # Nothing was sent to the upstream.
    UNSENT = 'unsent'
    # The upstream stated that it did not run the request.
    NOT_RUN = 'not_run'
    # Another instance has the address; it did not run the request either.
    MISDIRECTED = 'misdirected'
    # The upstream answered with a failure, which is held.
    FAILED = 'failed'
    # No answer came, and the caller has been sent nothing.
    LOST = 'lost'
    # The caller has been sent a part of the answer.
    BROKEN = 'broken'
    # The gateway ended it itself, to go on at another upstream.
    MOVED = 'moved'


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What decides on a request; ``path`` has no query, ``timeout_s`` is how long the caller waits."""

    request_id: str
    host: str
    path: str
    credential: str
    timeout_s: float | None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream stated in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A whole request arrived; ``key`` names it within this process."""

    key: int
    head: RequestHead


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """The caller closed its connection before its answer was whole."""

    key: int


@dataclass(frozen=True, slots=True)
class AnswerBegun(Event):
    """The caller was sent the first part of a stream."""

    key: int
    number: int


@dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt ended by itself; ``last_event`` is the id of the last event that the caller was sent."""

    key: int
    number: int
    result: AttemptResult
    reason: str = ''
    status: int = 0
    load: ReportedLoad | None = None
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class StartAttempt(Effect):
    """Sends a request to an upstream; with ``last_event`` the upstream goes on after that event."""

    key: int
    number: int
    instance: InstanceId
    address: str
    timeout_s: float
    team: TeamName
    urgency: int
    is_stream: bool
    holds_failures: bool
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class CancelAttempt(Effect):
    """Ends the attempt of a request at its upstream."""

    key: int


@dataclass(frozen=True, slots=True)
class MoveAttempt(Effect):
    """Ends the attempt of a stream and reports how far it got, so that it goes on at another upstream.

    A stream that has begun without ids of its events stays.
    """

    key: int


@dataclass(frozen=True, slots=True)
class Refuse(Effect):
    """Answers a request by the gateway itself."""

    key: int
    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class DeliverHeld(Effect):
    """Hands the failure of an upstream that is held to the caller."""

    key: int


@dataclass(frozen=True, slots=True)
class BreakAnswer(Effect):
    """Ends an answer that has begun so that it doesn't look complete."""

    key: int
