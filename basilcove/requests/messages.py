"""Messages between an entry and an agent about one attempt."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import (
    AttemptId,
    Incarnation,
    ModelName,
    PriorityName,
    RequestId,
    ServiceName,
    TeamName,
    UpstreamName,
)
from basilcove.helpers.codec import message
from basilcove.requests import requests_pb2 as pb


@message('requests.start_attempt', pb.StartAttempt)
@dataclass(frozen=True, slots=True)
class StartAttempt(Message):
    """Asks an agent to run an attempt.

    ``incarnation`` is the agent's. ``number`` increases with every attempt that this process of the entry
    starts. ``timeout_s`` is the time that remains until the request's deadline. ``work`` is the
    estimated number of tokens, of which ``prompt_work`` are the prompt's.
    ``token_offset`` is how many tokens the caller already has. ``admitted_before`` is set if another
    agent had admitted the request and returned it. Header names are in lower case.
    """

    attempt_id: AttemptId
    number: int
    request_id: RequestId
    incarnation: Incarnation
    upstream: UpstreamName
    team: TeamName
    priority: PriorityName
    model: ModelName | None
    service: ServiceName | None
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    work: float
    prompt_work: float
    repeatable: bool
    stream: bool = False
    token_offset: int = 0
    traceparent: str = ''
    admitted_before: bool = False


@message('requests.cancel_attempt', pb.CancelAttempt)
@dataclass(frozen=True, slots=True)
class CancelAttempt(Message):
    """Bars an attempt, so that it never starts; ends it if it runs, unless ``only_if_waiting``."""

    attempt_id: AttemptId
    number: int
    incarnation: Incarnation
    only_if_waiting: bool


@message('requests.attempt_started', pb.AttemptStarted)
@dataclass(frozen=True, slots=True)
class AttemptStarted(Message):
    """The upstream is being called."""

    attempt_id: AttemptId


@message('requests.answer_head', pb.AnswerHead)
@dataclass(frozen=True, slots=True)
class AnswerHead(Message):
    """Status and headers of the upstream's answer."""

    attempt_id: AttemptId
    status: int
    headers: dict[str, str]


@message('requests.answer_chunk', pb.AnswerChunk)
@dataclass(frozen=True, slots=True)
class AnswerChunk(Message):
    """Part of the answer's body; ``sequence`` counts from 0 within the attempt.

    A chunk of an engine's stream holds whole events with ``tokens`` tokens, so that a
    broken stream can be resumed after any chunk.
    """

    attempt_id: AttemptId
    sequence: int
    body: bytes
    tokens: int = 0


@message('requests.answer_end', pb.AnswerEnd)
@dataclass(frozen=True, slots=True)
class AnswerEnd(Message):
    """End marker of an answer: number of chunks and length of the body in bytes."""

    attempt_id: AttemptId
    chunks: int
    length: int


@message('requests.attempt_refused', pb.AttemptRefused)
@dataclass(frozen=True, slots=True)
class AttemptRefused(Message):
    """Confirms that the attempt did not start and can no longer start.

    ``leaving`` is set if the agent accepts no new work at all.
    """

    attempt_id: AttemptId
    reason: str
    retry_after_s: float
    leaving: bool = False


@message('requests.attempt_failed', pb.AttemptFailed)
@dataclass(frozen=True, slots=True)
class AttemptFailed(Message):
    """The attempt ended without a complete answer; whether it ran is unknown."""

    attempt_id: AttemptId
    reason: str
