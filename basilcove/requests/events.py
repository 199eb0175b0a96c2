"""Events and effects of requests at an entry."""

from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.core.ids import (
    ModelName,
    Outcome,
    PriorityName,
    RequestId,
    Role,
    ServiceName,
    TeamName,
    UpstreamName,
)
from basilcove.routing.models import UpstreamLoad


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, authenticated and within the HTTP limits.

    Exactly one of ``model`` and ``service`` is set. ``path`` is the path at the upstream.
    ``timeout_s`` is the time until the deadline. ``work`` is the estimated number of prompt and
    generated tokens, of which ``prompt_work`` are the prompt's. Header names are in lower case.
    ``prefix`` holds the hashes of the prompt's blocks.
    """

    request_id: RequestId
    team: TeamName
    priority: PriorityName
    model: ModelName | None
    service: ServiceName | None
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    work: float = 1
    prompt_work: float = 0
    stream: bool = False
    idempotency_key: str | None = None
    traceparent: str = ''
    prefix: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no answer, as stated to the caller.

    ``outcome`` is ``NOT_RUN`` only if no attempt of the request ran or can still run.
    """

    status: int
    outcome: Outcome
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller sent a request."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller closed the connection before the end of the answer."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class UpstreamReported(Event):
    """An upstream's load report arrived outside of an answer."""

    upstream: UpstreamName
    load: UpstreamLoad


@dataclass(frozen=True, slots=True)
class StartAnswer(Effect):
    """Sends status and headers to the caller."""

    request_id: RequestId
    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class WriteAnswer(Effect):
    """Sends a body that the reducer has in memory, such as a stored answer, to the caller."""

    request_id: RequestId
    body: bytes


@dataclass(frozen=True, slots=True)
class EndAnswer(Effect):
    """Ends an answer that is complete."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class BreakAnswer(Effect):
    """Breaks off an answer that has begun and can't be completed."""

    request_id: RequestId
    reason: str


@dataclass(frozen=True, slots=True)
class RefuseRequest(Effect):
    """Answers a request with a refusal, before any byte of an answer went to the caller."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class StopCompleted(Effect):
    """The role has ended all its work after ``StopRequested``."""

    role: Role
