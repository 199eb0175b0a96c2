"""Events and effects of attempts at an agent."""

from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.core.ids import AttemptId, NodeId
from basilcove.requests.messages import StartAttempt


@dataclass(frozen=True, slots=True)
class LeaveRequested(Event):
    """The upstream leaves: it gets no new work, while attempts in flight continue."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReturnRequested(Event):
    """The upstream accepts new work again."""


@dataclass(frozen=True, slots=True)
class UpstreamAnswered(Event):
    """The upstream sent status and headers."""

    attempt_id: AttemptId
    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class UpstreamProgressed(Event):
    """The upstream sent a part of the body; ``chunks`` and ``tokens`` count from the attempt's start."""

    attempt_id: AttemptId
    chunks: int
    tokens: int


@dataclass(frozen=True, slots=True)
class UpstreamFinished(Event):
    """The upstream's answer is complete; ``length`` in bytes."""

    attempt_id: AttemptId
    chunks: int
    length: int


@dataclass(frozen=True, slots=True)
class UpstreamFailed(Event):
    """The call failed; ``sent`` is false only if no byte was sent to the upstream."""

    attempt_id: AttemptId
    reason: str
    sent: bool


@dataclass(frozen=True, slots=True)
class CallUpstream(Effect):
    """Calls the upstream; body chunks go directly to the link of the entry."""

    entry: NodeId
    attempt: StartAttempt
    timeout_s: float


@dataclass(frozen=True, slots=True)
class CancelCall(Effect):
    """Ends a call to the upstream; its events are no longer needed."""

    attempt_id: AttemptId
