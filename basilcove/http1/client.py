"""Connections to upstreams: one request at a time, kept while they are beyond doubt."""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

import httptools

from basilcove.http1.const import WRITE_BUFFER_BYTES
from basilcove.http1.headers import Headers, find_header, has_body

_OK: Final = 200


@dataclass(slots=True)
class AnswerHead:
    """Status and headers of an answer; ``size`` is None where the head doesn't state it."""

    status: int
    reason: bytes
    headers: Headers
    size: int | None = None


@dataclass(slots=True)
class ClientConfig:
    """Times of connections to upstreams, in seconds but for the last.

    ``kept_s`` holds where the upstream names no time; ``kept_margin_s`` is taken off the time that it names.
    """

    connect_timeout_s: float
    kept_s: float
    kept_margin_s: float
    max_kept: int
    unacknowledged_ms: int


class AnswerReader(Protocol):
    """What takes an answer; all methods run on the loop's thread."""

    def accepts(self, head: AnswerHead) -> bool:
        """Tell whether this answer belongs to the request; another one is skipped."""

    def on_head(self, head: AnswerHead) -> None:
        """Take the head."""

    def on_part(self, part: bytes) -> None:
        """Take a part of the body."""

    def on_end(self) -> None:
        """Note that the answer is whole."""

    def on_broken(self, reason: str) -> None:
        """Note that the answer will not be whole."""


@dataclass(slots=True)
class _Reading:
    """The answer that is being parsed."""

    reader: AnswerReader
    method: bytes
    reason: bytes = b''
    headers: Headers = field(default_factory=list)
    head: AnswerHead | None = None
    is_skipped: bool = False
    ends_with_connection: bool = False


class UpstreamConnection(asyncio.Protocol):
    """A connection to an upstream."""

    def __init__(self, cfg: ClientConfig) -> None:
        """Wait for the first request."""
        self._cfg = cfg
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._reading: _Reading | None = None
        self._keeps_alive = True
        self._kept_s = cfg.kept_s
        self._idle_since = 0.0
        self._is_in_doubt = False
        self.on_idle: Callable[[UpstreamConnection], None] = _ignore

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the time in which a silent connection is noticed."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._cfg.unacknowledged_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer: as whole if it has no other end and the connection was closed in order."""
        self._transport = None
        reading, self._reading = self._reading, None
        self._is_in_doubt = True
        if reading is None:
            return
        if exc is None and reading.ends_with_connection and not reading.is_skipped:
            reading.reader.on_end()
            return
        reading.reader.on_broken(f'connection lost: {exc}' if exc else 'connection closed')

    def data_received(self, chunk: bytes) -> None:
        """Parse a part of the answer."""
        if self._reading is None or self._parser is None:
            # Nothing was asked, so these bytes belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError as exc:
            self._break(f'not an answer: {exc}')
        except httptools.HttpParserUpgrade:
            self._break('the upstream changes the protocol')

    def send(self, request: bytes, method: bytes, reader: AnswerReader) -> None:
        """Send a request; its answer goes to the reader."""
        assert self._transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._reading = _Reading(reader, method)
        self._keeps_alive = True
        self._transport.write(request)

    def close(self) -> None:
        """Close the connection at once; the reader hears nothing more."""
        self._reading = None
        self._is_in_doubt = True
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Stop to read the answer."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Go on to read the answer."""
        if self._transport is not None:
            self._transport.resume_reading()

    def may_be_used(self, now: float) -> bool:
        """Tell whether another request may be sent."""
        if self._is_in_doubt or self._transport is None or self._transport.is_closing():
            return False
        return now - self._idle_since < self._kept_s

    # Parser.

    def on_message_begin(self) -> None:
        """Start an answer; one that follows a whole answer belongs to no request."""
        if self._reading is None:
            self._is_in_doubt = True
            return
        self._reading.headers = []
        self._reading.reason = b''
        self._reading.head = None

    def on_status(self, part: bytes) -> None:
        """Take a part of the reason."""
        if self._reading is not None:
            self._reading.reason += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take a header."""
        if self._reading is not None:
            self._reading.headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Hand on the head, unless the answer is another request's."""
        reading = self._reading
        if reading is None or self._parser is None:
            return
        head = AnswerHead(self._parser.get_status_code(), reading.reason, reading.headers)
        if head.status < _OK:
            return
        reading.head = head
        size = find_header(head.headers, b'content-length')
        head.size = int(size) if size.isdigit() else None
        is_chunked = bool(find_header(head.headers, b'transfer-encoding'))
        carries_body = has_body(reading.method, head.status)
        reading.ends_with_connection = carries_body and head.size is None and not is_chunked
        self._note_keeping(head, is_framed=carries_body and not reading.ends_with_connection)
        reading.is_skipped = not reading.reader.accepts(head)
        if reading.is_skipped:
            # The connection carries the answers of another request too, so it isn't kept.
            self._is_in_doubt = True
            return
        reading.reader.on_head(head)
        if not carries_body:
            self._finish()

    def on_body(self, part: bytes) -> None:
        """Hand on a part of the body."""
        reading = self._reading
        if reading is not None and reading.head is not None and not reading.is_skipped:
            reading.reader.on_part(part)

    def on_message_complete(self) -> None:
        """End the answer, or go on after one that was skipped."""
        reading = self._reading
        if reading is None or reading.head is None:
            return
        if reading.is_skipped:
            reading.is_skipped = False
            return
        self._finish()

    def _note_keeping(self, head: AnswerHead, *, is_framed: bool) -> None:
        tokens = find_header(head.headers, b'connection').lower()
        if 'close' in tokens or not is_framed:
            self._keeps_alive = False
        for option in find_header(head.headers, b'keep-alive').split(','):
            name, _, seconds = option.strip().partition('=')
            if name.lower() == 'timeout' and seconds.isdigit():
                self._kept_s = int(seconds) - self._cfg.kept_margin_s

    def _finish(self) -> None:
        reading, self._reading = self._reading, None
        if reading is None:
            return
        self._idle_since = time.monotonic()
        is_flushed = self._transport is not None and not self._transport.get_write_buffer_size()
        if not self._keeps_alive or not is_flushed or self._is_in_doubt:
            self._is_in_doubt = True
            if self._transport is not None:
                self._transport.close()
        reading.reader.on_end()
        if not self._is_in_doubt:
            # Bytes of the same segment may follow, so the connection is kept only in the next turn.
            asyncio.get_running_loop().call_soon(self.on_idle, self)

    def _break(self, reason: str) -> None:
        reading, self._reading = self._reading, None
        self.close()
        if reading is not None:
            reading.reader.on_broken(reason)


class UpstreamConnections:
    """Kept connections by address."""

    def __init__(self, cfg: ClientConfig) -> None:
        """Start without connections."""
        self._cfg = cfg
        self._kept: dict[str, deque[UpstreamConnection]] = {}
        self.opened = 0

    def kept(self, address: str) -> UpstreamConnection | None:
        """Return a connection that may be used again, the latest one first."""
        idle = self._kept.get(address)
        now = time.monotonic()
        while idle:
            conn = idle.pop()
            if conn.may_be_used(now):
                return conn
            conn.close()
        return None

    async def open(self, address: str) -> UpstreamConnection:
        """Open a connection; OSError or TimeoutError if the upstream can't be reached."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened += 1
        async with asyncio.timeout(self._cfg.connect_timeout_s):
            _, conn = await loop.create_connection(lambda: UpstreamConnection(self._cfg), host, int(port))
        conn.on_idle = lambda idle: self._keep(address, idle)
        return conn

    def close_all(self) -> None:
        """Close all kept connections."""
        for idle in self._kept.values():
            for conn in idle:
                conn.close()
        self._kept.clear()

    def _keep(self, address: str, conn: UpstreamConnection) -> None:
        if not conn.may_be_used(time.monotonic()):
            conn.close()
            return
        idle = self._kept.setdefault(address, deque())
        idle.append(conn)
        if len(idle) > self._cfg.max_kept:
            idle.popleft().close()


def _ignore(idle: UpstreamConnection) -> None:
    """Keep nothing; stands in until a table of connections takes this one."""
