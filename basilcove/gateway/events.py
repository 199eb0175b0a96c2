"""Events and effects of requests at a gateway."""

import enum
from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.core.ids import NO_PART, InstanceId, PartId, TeamName
from basilcove.gateway.hints import Hints
from basilcove.quarantine.messages import LostRequest


class AttemptResult(enum.Enum):
    """How an attempt ended."""

    # The caller was sent the complete answer.
    ANSWERED = 'answered'
    # Nothing was sent to the upstream.
    UNSENT = 'unsent'
    # The upstream stated that it did not run the request.
    NOT_RUN = 'not_run'
    # Another instance has the address; the request did not run.
    MISDIRECTED = 'misdirected'
    # The upstream answered with a failure, which the gateway has buffered.
    FAILED = 'failed'
    # The answer was lost before the caller was sent any part of it.
    LOST = 'lost'
    # The answer broke after the caller had been sent a part of it.
    BROKEN = 'broken'
    # The gateway ended the attempt to resume the stream at another upstream.
    MOVED = 'moved'


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Parts of a request on which a gateway decides.

    ``path`` has no query; ``timeout_s`` is how long the caller waits, None if it doesn't say. ``parts`` are
    those of the prompt that other requests may share, in order; ``digest`` is equal only for requests with
    the same prompt, target and body, and empty without a prompt. ``tokens`` is how many its prompt and its
    answer have at most.
    """

    request_id: str
    host: str
    path: str
    credential: str
    timeout_s: float | None
    parts: tuple[PartId, ...] = ()
    digest: PartId = NO_PART
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream stated in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A complete request arrived; ``key`` identifies it within this process."""

    key: int
    head: RequestHead


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """The caller closed its connection before its answer was complete."""

    key: int


@dataclass(frozen=True, slots=True)
class AnswerBegun(Event):
    """The caller was sent the first part of a stream."""

    key: int
    number: int


@dataclass(frozen=True, slots=True)
class AnswerAdvanced(Event):
    """The answer of an attempt has gone on for ``reach_s`` since its first event."""

    key: int
    number: int
    reach_s: float


@dataclass(frozen=True, slots=True)
class StreamPaused(Event):
    """Time between two forwarded events of an attempt; ``is_first`` if there was none before."""

    key: int
    number: int
    pause_s: float
    is_first: bool


@dataclass(frozen=True, slots=True)
class UpstreamHinted(Event):
    """The upstream of an attempt stated something about itself in the head of an answer."""

    key: int
    instance: InstanceId
    born_ms: int
    hints: Hints


@dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt ended; ``last_event`` is the id of the last event that the caller was sent.

    ``reach_s`` is how long its answer went on after the first event; None if it had none. ``is_unframed``
    tells that the answer had neither a length nor chunks, so that a crash may have cut it short.
    """

    key: int
    number: int
    result: AttemptResult
    reason: str = ''
    status: int = 0
    load: ReportedLoad | None = None
    last_event: str = ''
    reach_s: float | None = None
    is_unframed: bool = False


@dataclass(frozen=True, slots=True)
class StartAttempt(Effect):
    """Sends a request to an upstream, which resumes the stream after ``last_event`` if that isn't empty.

    ``born_ms`` identifies the start of the instance, as in its registration. With ``measures_pauses`` the
    time between the events of the stream is reported.
    """

    key: int
    number: int
    instance: InstanceId
    address: str
    born_ms: int
    timeout_s: float
    team: TeamName
    urgency: int
    is_stream: bool
    is_failure_buffered: bool
    last_event: str = ''
    measures_pauses: bool = False


@dataclass(frozen=True, slots=True)
class CheckUpstream(Effect):
    """Finds out whether an upstream has ended, after it lost the answer to an attempt.

    ``born_ms`` identifies the start of the instance; ``parts`` and ``digest`` are those of the request, and
    ``has_answer_head``, ``has_event`` and ``reach_s`` tell how far its answer had got. With ``is_awaited``
    the request is retried or ended only then.
    """

    key: int
    number: int
    instance: InstanceId
    address: str
    born_ms: int
    parts: tuple[PartId, ...]
    has_answer_head: bool
    digest: PartId = NO_PART
    has_event: bool = False
    reach_s: float = 0
    is_awaited: bool = True

    @property
    def lost(self) -> LostRequest:
        """Return the request as control hosts are told of it."""
        return LostRequest(self.parts, self.has_answer_head, self.digest, self.has_event, self.reach_s)


@dataclass(frozen=True, slots=True)
class UpstreamChecked(Event):
    """The result of a check; ``has_ended`` if nothing listens at the address any more."""

    check: CheckUpstream
    has_ended: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt(Effect):
    """Cancels the attempt of a request at its upstream."""

    key: int


@dataclass(frozen=True, slots=True)
class MoveAttempt(Effect):
    """Ends the attempt of a stream and reports its last event, so that another upstream can resume it.

    A stream that has begun stays at its upstream if its events have no ids.
    """

    key: int


@dataclass(frozen=True, slots=True)
class Refuse(Effect):
    """Answers a request with a refusal by the gateway."""

    key: int
    status: int
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class DeliverBuffered(Effect):
    """Sends the caller the buffered failure of an upstream."""

    key: int


@dataclass(frozen=True, slots=True)
class AbortAnswer(Effect):
    """Resets the caller's connection within an answer, so that the answer doesn't look complete."""

    key: int
