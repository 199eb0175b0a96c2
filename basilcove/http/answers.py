"""Parts of answers, queued for the threads that send them to callers."""

import queue
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import TypeAlias

from basilcove.core.ids import RequestId
from basilcove.http.const import EVENT_STREAM, PART_COST_BYTES
from basilcove.http1.account import ReceiveAccount
from basilcove.requests.events import Refusal


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers."""

    status: int
    headers: dict[str, str]

    @property
    def is_stream(self) -> bool:
        """Return whether the body is passed on to the caller part by part."""
        return self.headers.get('Content-Type', '').startswith(EVENT_STREAM)


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


@dataclass(frozen=True, slots=True)
class CutOff:
    """The rest of the answer was dropped, because the account is exceeded and the caller reads too slowly."""

    reason: str


Part: TypeAlias = Head | Body | Complete | Broken | Refused | CutOff


class AnswerQueue:
    """Parts of one answer, charged until the caller's thread has sent them.

    The load that it handles is streams whose callers read slowly or not at all, while upstreams continue.
    Over the account such a stream gives way: its unread parts are dropped and its connection is aborted.
    Other answers are collected before they are sent, so they don't wait for their callers; they are charged
    as a whole and never give way.
    """

    def __init__(self, account: ReceiveAccount, abort: Callable[[], None]) -> None:
        """Start empty; ``abort`` ends the connection of the caller, on any thread and without blocking."""
        self._abort = abort
        self._lock = threading.Lock()
        self._parts: queue.SimpleQueue[Part] = queue.SimpleQueue()
        self._share = account.open(self._give_way)
        self._is_stream = False
        self._is_ended = False
        self._taken_bytes = 0

    def put(self, part: Part) -> None:
        """Add a part; dropped if the queue was closed or cut off."""
        if isinstance(part, Head):
            self._is_stream = part.is_stream
            if not part.is_stream:
                self._share.complete()
        # Without the lock, because this may cut off the queue itself or another one.
        self._share.add(_cost_of(part))
        with self._lock:
            if not self._is_ended:
                self._parts.put(part)

    def get(self, timeout_s: float) -> Part:
        """Wait for the next part, after the previous one was sent; queue.Empty if none arrives in time."""
        self._share.add(-self._taken_bytes)
        self._taken_bytes = 0
        part = self._parts.get(timeout=timeout_s)
        if self._is_stream:
            self._taken_bytes = _cost_of(part)
        return part

    def close(self) -> None:
        """Drop all parts and give back what is charged."""
        with self._lock:
            self._is_ended = True
        self._share.close()

    def _give_way(self) -> None:
        with self._lock:
            if self._is_ended:
                return
            self._is_ended = True
            # The caller's thread may take the last part meanwhile.
            with suppress(queue.Empty):
                while True:
                    self._parts.get_nowait()
            self._parts.put(CutOff('too many bytes of answers that are not read'))
            self._abort()
        self._share.close()


class AnswerTable:
    """Queues of answer parts by request; filled on the loop's thread, read by the threads of callers."""

    def __init__(self, account: ReceiveAccount, observe: Callable[[Part], None] | None = None) -> None:
        """Start with no open request; ``observe`` is called with each part of an open request."""
        self._account = account
        self._observe = observe
        self._queues: dict[RequestId, AnswerQueue] = {}

    def open(self, request_id: RequestId, abort: Callable[[], None]) -> AnswerQueue:
        """Register a request before it is posted; return its queue, which may ``abort`` its connection."""
        parts = AnswerQueue(self._account, abort)
        self._queues[request_id] = parts
        return parts

    def close(self, request_id: RequestId) -> None:
        """Remove a request; later parts are dropped."""
        parts = self._queues.pop(request_id, None)
        if parts is not None:
            parts.close()

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


def _cost_of(part: Part) -> int:
    content_bytes = len(part.content) if isinstance(part, Body) else 0
    return PART_COST_BYTES + content_bytes
