"""A caller's connection: reads requests, one of which is answered at a time."""

import asyncio
import time
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

from loguru import logger

from basilcove.http1.const import (
    MAX_PARTS_PER_READ,
    MAX_PIPELINED,
    RETRY_AFTER_S,
    WRITE_BUFFER_BYTES,
)
from basilcove.http1.handover import bind_to_loop
from basilcove.http1.headers import Headers, HttpRequest, encode_answer_head, has_body
from basilcove.http1.reading import RequestReader
from basilcove.http1.refusals import RefusalKind
from basilcove.http1.resets import reset
from basilcove.http1.timeouts import Activity, Overdue
from basilcove.http1.unsent import UnsentBytes

if TYPE_CHECKING:
    from basilcove.http1.server import HttpServer

_RETRY_AFTER: Headers = [(b'Retry-After', b'%d' % RETRY_AFTER_S)]


class CallerConnection(asyncio.BufferedProtocol):
    """A caller's connection; one request is answered at a time.

    All connections of a server read into one buffer, and each segment is parsed at once. What is not read
    yet stays in the kernel, so that no connection has more than one segment parsed in an iteration of the
    event loop.
    """

    def __init__(self, server: 'HttpServer') -> None:
        """Parse requests for the handler of a server."""
        self._server = server
        # None once the connection is lost.
        self.transport: asyncio.Transport | None = None
        self._reader = RequestReader(
            server.cfg.max_leading_bytes, self._on_read, self._continue, self._refuse
        )
        # Requests that were not passed on, which may be dropped: the unfinished one, and those that wait.
        self._reading_share = server.account.open(bind_to_loop(self._evict_reading))
        self._waiting_bytes = 0
        # The request that is being answered.
        self._held_share = server.account.open(_do_nothing)
        self._held_share.complete()
        self._unsent = UnsentBytes(server.account, bind_to_loop(self._evict_unsent))
        self._pipelined: deque[tuple[HttpRequest, int]] = deque()
        self._current: HttpRequest | None = None
        self._is_chunked = False
        self._closes_after = False
        self._has_begun = False
        self._is_refused = False
        self._is_throttled = False
        # Requests passed on since the connection last had its turn.
        self._dispatched = 0
        self._activity = Activity(time.monotonic())
        self.is_writable = True
        self.on_resumed = _do_nothing

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what the connection was charged; notify the handler if a request is unanswered."""
        self.transport = None
        self._pipelined.clear()
        self._reader.drop()
        self._reading_share.close()
        self._held_share.close()
        self._unsent.close()
        self._server.remove(self)
        if self._current is not None:
            self._current = None
            self._server.handler.on_closed(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the server, which is free again when ``buffer_updated`` returns."""
        return self._server.buffer if self._reader.body_bytes else self._server.head_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; those of a refused connection are dropped."""
        if self._is_refused:
            return
        self._dispatched = 0
        reader = self._reader
        begun, parts = reader.begun, reader.parts
        if reader.feed(self._server.buffer[:nbytes], self._server.limits):
            self._activity.last_at = time.monotonic()
            if reader.begun > begun:
                self._activity.reading_since = self._activity.last_at
        if self._is_refused:
            return
        self._reading_share.resize(reader.cost_bytes + self._waiting_bytes)
        if reader.parts - parts > MAX_PARTS_PER_READ:
            self._throttle()

    def pause_writing(self) -> None:
        """Mark the connection as not writable, because the caller reads slowly."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Mark the connection as writable; resume the source of the answer, or answer the next request."""
        self.is_writable = True
        self.on_resumed()
        self._dispatch_next()

    def take_turn(self) -> None:
        """Continue after other connections had their turn."""
        self._is_throttled = False
        self._dispatched = 0
        self._activity.last_at = time.monotonic()
        self._dispatch_next()
        self._update_reading()

    # Callbacks of the reader.

    def _on_read(self, request: HttpRequest, cost_bytes: int) -> None:
        """Pass on a request, or queue it behind the one that is being answered."""
        self._waiting_bytes += cost_bytes
        self._pipelined.append((request, cost_bytes))
        if len(self._pipelined) > MAX_PIPELINED:
            self._update_reading()
        self._dispatch_next()

    def _continue(self) -> None:
        """Send 100 Continue, unless it would be written into an earlier answer."""
        if self.transport is not None and self._current is None and not self._pipelined:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    # Answers.

    def answer(self, status: int, headers: Headers, body: bytes, reason: bytes = b'') -> None:
        """Write a complete answer."""
        self.begin(status, headers, reason, len(body))
        self.write(body)
        self.end()

    def begin(self, status: int, headers: Headers, reason: bytes = b'', size: int | None = None) -> None:
        """Write the head of an answer; without ``size`` its body is sent in chunks."""
        request = self._current
        if request is None or self.transport is None:
            return
        framing: Headers = []
        self._has_begun = True
        self._closes_after = not request.keeps_alive or self._server.is_stopping
        self._is_chunked = False
        if has_body(request.method, status):
            if size is not None:
                framing.append((b'Content-Length', b'%d' % size))
            elif request.is_old_version:
                self._closes_after = True
            else:
                self._is_chunked = True
                framing.append((b'Transfer-Encoding', b'chunked'))
        if self._closes_after:
            framing.append((b'Connection', b'close'))
        self.transport.write(encode_answer_head(status, reason, [*headers, *framing]))

    def write(self, part: bytes) -> None:
        """Write a part of the body."""
        if not part or self.transport is None or self._current is None:
            return
        if self._current.method == b'HEAD':
            return
        self.transport.write(b'%x\r\n%s\r\n' % (len(part), part) if self._is_chunked else part)
        self._unsent.update(self.transport)

    def end(self) -> None:
        """End a complete answer."""
        if self.transport is None or self._current is None:
            return
        if self._is_chunked:
            self.transport.write(b'0\r\n\r\n')
        self._current = None
        self._held_share.resize(0)
        # Reading was paused while too many requests were queued.
        self._activity.last_at = time.monotonic()
        self._activity.reading_since = self._activity.last_at
        if self._closes_after:
            self.transport.close()
            return
        self._update_reading()
        self._dispatch_next()

    def abort(self) -> None:
        """Reset the connection, so that an answer in progress doesn't look complete."""
        self._current = None
        if self.transport is not None:
            reset(self.transport)

    def close_if_idle(self) -> None:
        """Close the connection if no request is being read, waits or is being answered."""
        is_idle = self._current is None and not self._pipelined and not self._reader.is_reading
        if is_idle and self.transport is not None:
            self.transport.close()

    def sweep(self, now: float, *, is_full: bool) -> None:
        """Apply the timeouts for idle connections, the arrival of requests and callers that don't read.

        ``is_full`` states that other connections wait to be accepted.
        """
        transport = self.transport
        if transport is None:
            return
        self._unsent.update(transport)
        limits = self._server.limits
        if (self._current is None or is_full) and self._unsent.is_stalled(now, limits.idle_timeout_s):
            self._server.refusals.add(RefusalKind.STALLED, 'the caller does not read its answer')
            reset(transport)
        elif not (self._current or self._pipelined or self._is_throttled or transport.is_closing()):
            body_bytes = self._reader.body_bytes if self._reader.is_reading else None
            overdue = self._activity.find_overdue(now, limits, body_bytes, is_full=is_full)
            if overdue is not None:
                self._end_overdue(transport, overdue)

    # Helpers.

    def _end_overdue(self, transport: asyncio.Transport, overdue: Overdue) -> None:
        if overdue is Overdue.REQUEST:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, RefusalKind.LATE, 'the request did not arrive in time')
        elif transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    def _throttle(self) -> None:
        if not self._is_throttled:
            self._is_throttled = True
            self._server.throttle(self)
            self._update_reading()

    def _update_reading(self) -> None:
        if self.transport is None:
            return
        is_blocked = self._is_refused and self._current is not None
        if is_blocked or self._is_throttled or len(self._pipelined) > MAX_PIPELINED:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _dispatch_next(self) -> None:
        # While a caller doesn't read its answers, no others are made for it.
        if self._current is not None or not self._pipelined or not self.is_writable:
            return
        if self.transport is None or self.transport.is_closing():
            return
        if self._dispatched >= MAX_PIPELINED:
            self._throttle()
            return
        self._dispatched += 1
        self._current, cost_bytes = self._pipelined.popleft()
        self._waiting_bytes -= cost_bytes
        self._reading_share.resize(self._waiting_bytes)
        self._held_share.resize(cost_bytes)
        self._has_begun = False
        if self._server.account.is_exceeded:
            self._server.refusals.add(RefusalKind.MEMORY, 'too many bytes of requests and answers are held')
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE.value, _RETRY_AFTER, b'')
            return
        try:
            self._server.handler.on_request(self, self._current)
        except Exception:
            # Nothing is known about what the handler did.
            logger.exception('a request could not be handled')
            if self._has_begun:
                self.abort()
            else:
                self.answer(HTTPStatus.INTERNAL_SERVER_ERROR.value, [], b'')

    def _evict_reading(self) -> None:
        if not self._reading_share.is_evicted:
            # Another thread evicted it, and all its requests were passed on before this call.
            return
        self._pipelined.clear()
        self._waiting_bytes = 0
        reason = 'too many bytes of requests that are unfinished or wait'
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, RefusalKind.MEMORY, reason, _RETRY_AFTER)
        self._reading_share.resize(0)

    def _evict_unsent(self) -> None:
        if self.transport is None:
            return
        self._unsent.update(self.transport)
        if self._unsent.is_evicted:
            self._server.refusals.add(RefusalKind.UNREAD, 'too many bytes of answers that are not read')
            reset(self.transport)

    def _refuse(
        self, status: HTTPStatus, kind: RefusalKind, reason: str, headers: Headers | None = None
    ) -> None:
        if self._is_refused or self.transport is None:
            return
        self._is_refused = True
        self._activity.refused_at = time.monotonic()
        self._reader.drop()
        self._reading_share.resize(0)
        self._server.refusals.add(kind, reason)
        if self._current is not None or self._pipelined:
            # The answer to an earlier request is in progress; nothing may be written into it.
            self._update_reading()
            return
        body = reason.encode()
        framing = [(b'Content-Length', b'%d' % len(body)), (b'Connection', b'close')]
        self.transport.write(encode_answer_head(status.value, b'', [*(headers or []), *framing]) + body)
        # Closing a connection with unread bytes resets it, and the caller would lose this answer. Further
        # bytes are dropped until the caller closes the connection, or until REFUSED_LINGER_S has passed.
        if self._server.may_linger(self):
            self.transport.write_eof()
            self._is_throttled = False
            self._update_reading()
        else:
            self.transport.close()


def _do_nothing() -> None:
    """Do nothing; the default of ``on_resumed``."""
