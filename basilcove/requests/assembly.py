"""Matches the chunks of answers to attempts."""

from collections import Counter
from dataclasses import dataclass, field

from basilcove.core.events import Peer
from basilcove.core.ids import AttemptId, Incarnation, NodeId, RequestId
from basilcove.requests.const import MAX_HELD_ANSWER_BYTES
from basilcove.requests.messages import AnswerChunk

_GAP = 'gap'


@dataclass(frozen=True, slots=True)
class Delivery:
    """Body to be handed to the caller's connection."""

    request_id: RequestId
    body: bytes


@dataclass(slots=True)
class _Answer:
    request_id: RequestId
    agent: NodeId
    incarnation: Incarnation
    is_held: bool
    chunks: int = 0
    length: int = 0
    tokens: int = 0
    is_broken: bool = False
    held: list[bytes] = field(default_factory=list)


class Assemblies:
    """Answers in progress at one entry.

    ``dropped`` counts chunks that were not delivered, by reason.
    """

    def __init__(self) -> None:
        """Start without any answer."""
        self._answers: dict[AttemptId, _Answer] = {}
        self._broken: list[AttemptId] = []
        self.dropped: Counter[str] = Counter()

    def open(self, attempt_id: AttemptId, request_id: RequestId, peer: Peer, *, is_held: bool) -> None:
        """Expect an answer; a held one is kept until it is whole instead of being delivered."""
        self._answers[attempt_id] = _Answer(request_id, peer.node, peer.incarnation, is_held)

    def accept(self, peer: Peer, chunk: AnswerChunk) -> Delivery | None:
        """Return what to hand to the caller; None for a chunk that is dropped or held."""
        answer = self._answers.get(chunk.attempt_id)
        fault = _find_fault(answer, peer, chunk)
        if answer is None or fault is not None:
            self.dropped[str(fault)] += 1
            if answer is not None and fault == _GAP:
                self._break(chunk.attempt_id, answer)
            return None
        answer.chunks += 1
        answer.length += len(chunk.body)
        answer.tokens += chunk.tokens
        if not answer.is_held:
            return Delivery(answer.request_id, chunk.body)
        answer.held.append(chunk.body)
        if answer.length > MAX_HELD_ANSWER_BYTES:
            self._break(chunk.attempt_id, answer)
        return None

    def is_whole(self, attempt_id: AttemptId, chunks: int, length: int) -> bool:
        """Tell whether the answer has all that its end mark states."""
        answer = self._answers.get(attempt_id)
        if answer is None or answer.is_broken:
            return False
        return (answer.chunks, answer.length) == (chunks, length)

    def close(self, attempt_id: AttemptId) -> tuple[int, bytes]:
        """Forget an answer; return its tokens and the body held."""
        answer = self._answers.pop(attempt_id, None)
        if answer is None:
            return 0, b''
        return answer.tokens, b''.join(answer.held)

    def take_broken(self) -> list[AttemptId]:
        """Return the attempts whose answers broke since the last call."""
        broken, self._broken = self._broken, []
        return broken

    def take_dropped(self) -> Counter[str]:
        """Return the counts of dropped chunks since the last call."""
        dropped, self.dropped = self.dropped, Counter()
        return dropped

    def __len__(self) -> int:
        """Return how many answers are in progress."""
        return len(self._answers)

    def _break(self, attempt_id: AttemptId, answer: _Answer) -> None:
        answer.is_broken = True
        answer.held.clear()
        self._broken.append(attempt_id)


def _find_fault(answer: _Answer | None, peer: Peer, chunk: AnswerChunk) -> str | None:
    if answer is None:
        return 'unknown_attempt'
    if answer.agent != peer.node or answer.incarnation != peer.incarnation:
        return 'other_sender'
    if answer.is_broken:
        return 'broken'
    if chunk.sequence == answer.chunks:
        return None
    return _GAP if chunk.sequence > answer.chunks else 'duplicate'
