"""Parts of answers, queued for the threads that send them to callers."""

import queue
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from basilcove.core.ids import RequestId
from basilcove.requests.events import Refusal


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers."""

    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Body:
    """Part of the body."""

    content: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer has begun and can't be completed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was refused before its first byte."""

    refusal: Refusal


Part: TypeAlias = Head | Body | Complete | Broken | Refused


class AnswerTable:
    """Queues of answer parts by request; filled on the loop's thread, read by the threads of callers."""

    def __init__(self, observe: Callable[[Part], None] | None = None) -> None:
        """Start with no open request; ``observe`` is called with each part of an open request."""
        self._observe = observe
        self._queues: dict[RequestId, queue.SimpleQueue[Part]] = {}

    def open(self, request_id: RequestId) -> 'queue.SimpleQueue[Part]':
        """Register a request before it is posted; return its queue."""
        parts: queue.SimpleQueue[Part] = queue.SimpleQueue()
        self._queues[request_id] = parts
        return parts

    def close(self, request_id: RequestId) -> None:
        """Remove a request; later parts are dropped."""
        self._queues.pop(request_id, None)

    def put(self, request_id: RequestId, part: Part) -> None:
        """Add a part; ignored if the request is closed."""
        parts = self._queues.get(request_id)
        if parts is None:
            return
        parts.put(part)
        if self._observe is not None:
            self._observe(part)

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._queues)
