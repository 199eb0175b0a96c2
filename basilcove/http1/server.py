"""Accepts connections and parses requests; the request handler writes the answers."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import httptools
from loguru import logger

from basilcove.http1.const import (
    BACKLOG,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_PIPELINED,
    MIN_BODY_BYTES_PER_S,
    REFUSED_LINGER_S,
    SWEEP_INTERVAL_S,
    WRITE_BUFFER_BYTES,
)
from basilcove.http1.headers import Headers, HttpRequest, encode_answer_head, has_body
from basilcove.http1.resets import reset


@dataclass(slots=True)
class ConnectionLimits:
    """Limits on the size of a request, in bytes, and on its arrival and idle times, in seconds."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout_s: float = 10
    idle_timeout_s: float = 60


class RequestHandler(Protocol):
    """Handles requests; both methods run on the loop's thread."""

    def on_request(self, conn: 'CallerConnection', request: HttpRequest) -> None:
        """Handle a request; the connection passes no other one until its answer ends."""

    def on_closed(self, conn: 'CallerConnection') -> None:
        """Handle the disconnection of a caller before its answer ended."""


class CallerConnection(asyncio.Protocol):
    """A caller's connection; one request is answered at a time."""

    def __init__(self, server: 'HttpServer') -> None:
        """Parse requests for the handler of a server."""
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._headers: Headers = []
        self._target = b''
        self._body: list[bytes] = []
        self._body_bytes = 0
        # Bytes of the head or, after it, those that arrived since the last part of the body.
        self._overhead_bytes = 0
        self._is_in_head = False
        self._is_reading = False
        self._reading_since = 0.0
        self._pipelined: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._is_chunked = False
        self._closes_after = False
        self._has_begun = False
        self._is_refused = False
        self._refused_at = 0.0
        self._last_activity_at = time.monotonic()
        self.is_writable = True
        self.on_resumed = _do_nothing

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler if a request is unanswered."""
        self._server.connections.discard(self)
        self._transport = None
        self._pipelined.clear()
        if self._current is not None:
            self._current = None
            self._server.handler.on_closed(self)

    def data_received(self, chunk: bytes) -> None:
        """Parse received bytes; a request that is not valid HTTP is refused."""
        self._last_activity_at = time.monotonic()
        if self._is_refused:
            return
        # A head that begins in this segment may follow a long body, so counting starts with the next segment.
        self._overhead_bytes = self._overhead_bytes + len(chunk) if self._is_reading else 0
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST, 'no other protocol is spoken')
        except httptools.HttpParserError as exc:
            self._refuse(HTTPStatus.BAD_REQUEST, str(exc))
        if self._is_reading and self._overhead_bytes > self._server.limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'the headers are too large')

    def pause_writing(self) -> None:
        """Mark the connection as not writable, because the caller reads slowly."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Mark the connection as writable and resume the source of the answer."""
        self.is_writable = True
        self.on_resumed()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._is_reading = True
        self._is_in_head = True
        self._reading_since = time.monotonic()
        self._headers = []
        self._target = b''
        self._body = []
        self._body_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self._target += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Add a header; trailers are dropped, since a header that follows the body was not checked."""
        if self._is_in_head:
            self._headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Check the size of the head; send 100 Continue to a caller that expects it before its body."""
        self._is_in_head = False
        self._overhead_bytes = 0
        size = len(self._target) + sum(len(name) + len(content) for name, content in self._headers)
        if size > self._server.limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'the headers are too large')
            return
        expectation = [content for name, content in self._headers if name.lower() == b'expect']
        if expectation and self._transport is not None:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        self._overhead_bytes = 0
        self._body_bytes += len(part)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._body = []
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is too large')
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Pass on the request, or queue it behind the one that is being answered."""
        self._is_reading = False
        if self._is_refused:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == '1.0',
        )
        self._body = []
        self._pipelined.append(request)
        if len(self._pipelined) > MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._dispatch_next()

    # Answers.

    def answer(self, status: int, headers: Headers, body: bytes, reason: bytes = b'') -> None:
        """Write a complete answer."""
        self.begin(status, headers, reason, len(body))
        self.write(body)
        self.end()

    def begin(self, status: int, headers: Headers, reason: bytes = b'', size: int | None = None) -> None:
        """Write the head of an answer; without ``size`` its body is sent in chunks."""
        request = self._current
        if request is None or self._transport is None:
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
        self._transport.write(encode_answer_head(status, reason, [*headers, *framing]))

    def write(self, part: bytes) -> None:
        """Write a part of the body."""
        if not part or self._transport is None or self._current is None:
            return
        if self._current.method == b'HEAD':
            return
        self._transport.write(b'%x\r\n%s\r\n' % (len(part), part) if self._is_chunked else part)

    def end(self) -> None:
        """End a complete answer."""
        if self._transport is None or self._current is None:
            return
        if self._is_chunked:
            self._transport.write(b'0\r\n\r\n')
        self._current = None
        self._last_activity_at = time.monotonic()
        # Reading was paused while too many requests were queued.
        self._reading_since = self._last_activity_at
        if self._closes_after:
            self._transport.close()
            return
        self._transport.resume_reading()
        self._dispatch_next()

    def abort(self) -> None:
        """Reset the connection, so that an answer in progress doesn't look complete."""
        self._current = None
        if self._transport is not None:
            reset(self._transport)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being answered and none is being read."""
        return self._current is None and not self._is_reading

    def close_if_idle(self) -> None:
        """Close the connection if it is idle."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Apply the timeouts for idle connections and for the arrival of requests."""
        if self._current is not None or self._transport is None:
            return
        limits = self._server.limits
        if self._is_refused:
            if now - self._refused_at > REFUSED_LINGER_S:
                self._transport.close()
            return
        if not self._is_reading:
            if now - self._last_activity_at > limits.idle_timeout_s:
                self._transport.close()
            return
        allowed_s = limits.header_timeout_s + self._body_bytes / MIN_BODY_BYTES_PER_S
        if now - self._reading_since > allowed_s or now - self._last_activity_at > limits.header_timeout_s:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, 'the request did not arrive in time')

    def _dispatch_next(self) -> None:
        if self._current is not None or not self._pipelined:
            return
        self._current = self._pipelined.popleft()
        self._has_begun = False
        try:
            self._server.handler.on_request(self, self._current)
        except Exception:
            logger.exception('a request could not be handled')
            self._end_unhandled()

    def _end_unhandled(self) -> None:
        """End the request whose handler failed; nothing is known about what it did."""
        if self._has_begun:
            self.abort()
        else:
            self.answer(HTTPStatus.INTERNAL_SERVER_ERROR.value, [], b'')

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        if self._is_refused or self._transport is None:
            return
        self._is_refused = True
        self._refused_at = time.monotonic()
        logger.bind(status=status.value).warning('request not accepted: {}', reason)
        if self._current is not None:
            # The answer to an earlier request is in progress; nothing may be written into it.
            self._transport.pause_reading()
            return
        body = reason.encode()
        framing = [(b'Content-Length', b'%d' % len(body)), (b'Connection', b'close')]
        self._transport.write(encode_answer_head(status.value, b'', framing) + body)
        # Closing a connection with unread bytes resets it, and the caller would lose this answer. Further
        # bytes are dropped until the caller closes the connection, or until REFUSED_LINGER_S has passed.
        self._transport.write_eof()


class HttpServer:
    """Listens for callers."""

    def __init__(self, listen: str, handler: RequestHandler) -> None:
        """Store the address as ``host:port``; ``setup`` binds it."""
        self._listen = listen
        self.handler = handler
        self.limits = ConnectionLimits()
        self.connections: set[CallerConnection] = set()
        self.is_stopping = False
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def setup(self) -> None:
        """Bind and serve."""
        host, _, port = self._listen.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, int(port), backlog=BACKLOG, reuse_address=True
        )
        self._sweeper = asyncio.create_task(self._sweep())

    def close_after_answers(self) -> None:
        """Close each connection after its next answer; new connections are still accepted."""
        self.is_stopping = True

    def close_idle(self) -> None:
        """Close all idle connections."""
        for conn in tuple(self.connections):
            conn.close_if_idle()

    async def unload(self) -> None:
        """Stop listening and close all idle connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for conn in tuple(self.connections):
            conn.close_if_idle()

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for conn in tuple(self.connections):
                conn.sweep(now)


def _do_nothing() -> None:
    """Do nothing; the default of ``on_resumed``."""
