"""Accepts connections and parses requests; answers are written by whoever handles them."""

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
    REFUSED_LINGER_S,
    SWEEP_INTERVAL_S,
    WRITE_BUFFER_BYTES,
)
from basilcove.http1.headers import Headers, HttpRequest, answer_head, has_body
from basilcove.http1.resets import reset


@dataclass(slots=True)
class ConnectionLimits:
    """Bounds of what a caller may send, in bytes, and how long it may take, in seconds."""

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout_s: float = 10
    idle_timeout_s: float = 60


class RequestHandler(Protocol):
    """What is told of requests; both methods run on the loop's thread."""

    def on_request(self, conn: 'CallerConnection', request: HttpRequest) -> None:
        """Take a request, the only one that the connection waits for."""

    def on_closed(self, conn: 'CallerConnection') -> None:
        """Note that the caller left while its request waited for the end of an answer."""


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
        self._head_bytes = 0
        self._is_in_head = False
        self._is_reading = False
        self._waiting: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._is_chunked = False
        self._closes_after = False
        self._is_refused = False
        self._refused_at = 0.0
        self._touched_at = time.monotonic()
        self.is_writable = True
        self.on_resumed = _nothing

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler if a request waits."""
        self._server.connections.discard(self)
        self._transport = None
        self._waiting.clear()
        if self._current is not None:
            self._current = None
            self._server.handler.on_closed(self)

    def data_received(self, chunk: bytes) -> None:
        """Parse what arrived; a request that is no HTTP is refused."""
        self._touched_at = time.monotonic()
        if self._is_refused:
            return
        # A head that begins in this segment may follow a long body, so it is counted from the next one on.
        self._head_bytes = self._head_bytes + len(chunk) if self._is_in_head else 0
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST, 'no other protocol is spoken')
        except httptools.HttpParserError as exc:
            self._refuse(HTTPStatus.BAD_REQUEST, str(exc))
        if self._is_in_head and self._head_bytes > self._server.limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'the headers are too large')

    def pause_writing(self) -> None:
        """Note that the caller reads slowly."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Let the source of the answer go on."""
        self.is_writable = True
        self.on_resumed()

    # Parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._is_reading = True
        self._is_in_head = True
        self._headers = []
        self._target = b''
        self._body = []
        self._body_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Take a part of the target."""
        self._target += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take a header."""
        self._headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Let a caller go on that asks before it sends its body."""
        self._is_in_head = False
        size = len(self._target) + sum(len(name) + len(content) for name, content in self._headers)
        if size > self._server.limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'the headers are too large')
            return
        expectation = [content for name, content in self._headers if name.lower() == b'expect']
        if expectation and self._transport is not None:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(part)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._body = []
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is too large')
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Hand on the request, or queue it behind the one that is answered."""
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
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._hand_on()

    # Answers.

    def answer(self, status: int, headers: Headers, body: bytes, reason: bytes = b'') -> None:
        """Write a whole answer."""
        self.begin(status, headers, reason, len(body))
        self.write(body)
        self.end()

    def begin(self, status: int, headers: Headers, reason: bytes = b'', size: int | None = None) -> None:
        """Write the head of an answer; without ``size`` its body is sent in chunks."""
        request = self._current
        if request is None or self._transport is None:
            return
        framing: Headers = []
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
        self._transport.write(answer_head(status, reason, [*headers, *framing]))

    def write(self, part: bytes) -> None:
        """Write a part of the body."""
        if not part or self._transport is None or self._current is None:
            return
        if self._current.method == b'HEAD':
            return
        self._transport.write(b'%x\r\n%s\r\n' % (len(part), part) if self._is_chunked else part)

    def end(self) -> None:
        """End the answer, which is whole."""
        if self._transport is None or self._current is None:
            return
        if self._is_chunked:
            self._transport.write(b'0\r\n\r\n')
        self._current = None
        self._touched_at = time.monotonic()
        if self._closes_after:
            self._transport.close()
            return
        self._transport.resume_reading()
        self._hand_on()

    def abort(self) -> None:
        """End the connection so that an answer which has begun doesn't look complete."""
        self._current = None
        if self._transport is not None:
            reset(self._transport)

    @property
    def is_idle(self) -> bool:
        """Tell whether no request waits and none is being read."""
        return self._current is None and not self._is_reading

    def close_if_idle(self) -> None:
        """Close a connection on which nothing is under way."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Close a connection that is idle, or whose request arrives, for too long."""
        if self._current is not None or self._transport is None:
            return
        limits = self._server.limits
        if self._is_refused:
            if now - self._refused_at > REFUSED_LINGER_S:
                self._transport.close()
            return
        waited_s = now - self._touched_at
        if self._is_reading and waited_s > limits.header_timeout_s:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT, 'the request did not arrive in time')
        elif not self._is_reading and waited_s > limits.idle_timeout_s:
            self._transport.close()

    def _hand_on(self) -> None:
        if self._current is None and self._waiting:
            self._current = self._waiting.popleft()
            self._server.handler.on_request(self, self._current)

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        if self._is_refused or self._transport is None:
            return
        self._is_refused = True
        self._refused_at = time.monotonic()
        logger.bind(status=status.value).warning('request not accepted: {}', reason)
        if self._current is not None:
            # The answer to an earlier request is under way; nothing may be written into it.
            self._transport.pause_reading()
            return
        body = reason.encode()
        framing = [(b'Content-Length', b'%d' % len(body)), (b'Connection', b'close')]
        self._transport.write(answer_head(status.value, b'', framing) + body)
        # A connection that is closed before all was read is reset, and the caller would lose this answer.
        # What still comes is dropped until the caller closes, or a sweep finds the time spent.
        self._transport.write_eof()


class HttpServer:
    """Listens for callers."""

    def __init__(self, listen: str, handler: RequestHandler) -> None:
        """Bind to ``host:port`` once set up."""
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

    def stop_accepting(self) -> None:
        """Let every further answer end its connection."""
        self.is_stopping = True

    def close_idle(self) -> None:
        """Close connections on which nothing is under way."""
        for conn in tuple(self.connections):
            conn.close_if_idle()

    async def unload(self) -> None:
        """Stop listening and close all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for conn in tuple(self.connections):
            conn.close_if_idle()

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for conn in tuple(self.connections):
                conn.sweep(now)


def _nothing() -> None:
    """Do nothing; stands in where nobody waits for a connection."""
