"""Assembles the answers of attempts from their chunks."""

from collections import Counter
from dataclasses import dataclass, field

from basilcove.core.events import Peer
from basilcove.core.ids import AttemptId, Incarnation, NodeId, RequestId
from basilcove.requests.const import MAX_BUFFERED_ANSWER_BYTES
from basilcove.requests.messages import AnswerChunk

_GAP = 'gap'


@dataclass(frozen=True, slots=True)
class Delivery:
    """Part of a body for the caller's connection."""

    request_id: RequestId
    body: bytes


@dataclass(slots=True)
class _Answer:
    request_id: RequestId
    agent: NodeId
    incarnation: Incarnation
    is_buffered: bool
    chunks: int = 0
    length: int = 0
    tokens: int = 0
    is_broken: bool = False
    buffered: list[bytes] = field(default_factory=list)


class Assemblies:
    """Answers in progress at one entry.

    ``dropped`` counts chunks that were not delivered, by reason.
    """

    def __init__(self) -> None:
        """Start without any answer."""
        self._answers: dict[AttemptId, _Answer] = {}
        self._broken: list[AttemptId] = []
        self.dropped: Counter[str] = Counter()

    def open(self, attempt_id: AttemptId, request_id: RequestId, peer: Peer, *, is_buffered: bool) -> None:
        """Expect an answer; a buffered one is kept in memory instead of being delivered chunk by chunk."""
        self._answers[attempt_id] = _Answer(request_id, peer.node, peer.incarnation, is_buffered)

    def accept(self, peer: Peer, chunk: AnswerChunk) -> Delivery | None:
        """Return the part to deliver to the caller; None for a chunk that is dropped or buffered."""
        answer = self._answers.get(chunk.attempt_id)
        reason = _find_drop_reason(answer, peer, chunk)
        if answer is None or reason is not None:
            self.dropped[str(reason)] += 1
            if answer is not None and reason == _GAP:
                self._mark_broken(chunk.attempt_id, answer)
            return None
        answer.chunks += 1
        answer.length += len(chunk.body)
        answer.tokens += chunk.tokens
        if not answer.is_buffered:
            return Delivery(answer.request_id, chunk.body)
        answer.buffered.append(chunk.body)
        if answer.length > MAX_BUFFERED_ANSWER_BYTES:
            self._mark_broken(chunk.attempt_id, answer)
        return None

    def is_complete(self, attempt_id: AttemptId, chunks: int, length: int) -> bool:
        """Tell whether the chunks that arrived add up to what the end marker states."""
        answer = self._answers.get(attempt_id)
        if answer is None or answer.is_broken:
            return False
        return (answer.chunks, answer.length) == (chunks, length)

    def close(self, attempt_id: AttemptId) -> tuple[int, bytes]:
        """Remove an answer; return its number of tokens and the buffered body."""
        answer = self._answers.pop(attempt_id, None)
        if answer is None:
            return 0, b''
        return answer.tokens, b''.join(answer.buffered)

    def pop_broken(self) -> list[AttemptId]:
        """Return the attempts whose answers broke since the last call."""
        broken, self._broken = self._broken, []
        return broken

    def pop_dropped(self) -> Counter[str]:
        """Return the counts of dropped chunks since the last call."""
        dropped, self.dropped = self.dropped, Counter()
        return dropped

    def __len__(self) -> int:
        """Return how many answers are in progress."""
        return len(self._answers)

    def _mark_broken(self, attempt_id: AttemptId, answer: _Answer) -> None:
        answer.is_broken = True
        answer.buffered.clear()
        self._broken.append(attempt_id)


def _find_drop_reason(answer: _Answer | None, peer: Peer, chunk: AnswerChunk) -> str | None:
    if answer is None:
        return 'unknown_attempt'
    if answer.agent != peer.node or answer.incarnation != peer.incarnation:
        return 'other_sender'
    if answer.is_broken:
        return 'broken'
    if chunk.sequence == answer.chunks:
        return None
    return _GAP if chunk.sequence > answer.chunks else 'duplicate'
