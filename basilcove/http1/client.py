"""A connection to an upstream: one request at a time."""

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools
from loguru import logger

from basilcove.http1.answers import FINAL_STATUSES, INTERIM_STATUSES, AnswerHead, AnswerReader, Attribution
from basilcove.http1.const import MAX_ANSWER_OVERHEAD_BYTES, MAX_SKIPPED_BYTES, WRITE_BUFFER_BYTES
from basilcove.http1.headers import Headers, find_header, has_body, parse_count


@dataclass(slots=True)
class ClientConfig:
    """Limits of connections to upstreams; the suffixes of the names state the units.

    ``default_keep_alive_s`` applies if the upstream sends no keep-alive timeout; ``keep_alive_margin_s`` is
    subtracted from the timeout that it sends. ``max_idle_connections`` applies to each address.
    """

    connect_timeout_s: float
    default_keep_alive_s: float
    keep_alive_margin_s: float
    max_idle_connections: int
    unacknowledged_timeout_ms: int


@dataclass(slots=True)
class _PendingAnswer:
    """The answer that is being parsed.

    ``unread_bytes`` counts what arrived since the last part of a body. ``parts`` are those that the reader
    hasn't been passed yet. ``fault`` says why its head is none; nothing behind it on the connection is read.
    """

    reader: AnswerReader
    method: bytes
    reason: bytes = b''
    headers: Headers = field(default_factory=list)
    head: AnswerHead | None = None
    is_skipped: bool = False
    has_skipped: bool = False
    unread_bytes: int = 0
    fault: str = ''
    parts: list[bytes] = field(default_factory=list)

    def pass_body(self) -> None:
        """Pass the reader what has arrived of the body as one part, however small its chunks are."""
        parts, self.parts = self.parts, []
        if parts:
            self.reader.on_part(b''.join(parts))

    @property
    def is_oversized(self) -> bool:
        """Return whether more bytes without content for the reader arrived than any regular answer has."""
        limit = MAX_SKIPPED_BYTES if self.has_skipped else MAX_ANSWER_OVERHEAD_BYTES
        return self.unread_bytes > limit


class UpstreamConnection(asyncio.Protocol):
    """A connection to an upstream."""

    def __init__(self, cfg: ClientConfig) -> None:
        """Start without a transport."""
        self._cfg = cfg
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._pending: _PendingAnswer | None = None
        self._allows_reuse = True
        self._is_reused = False
        self._keep_alive_s = cfg.default_keep_alive_s
        self._idle_since = 0.0
        self._is_unusable = False
        self.on_idle: Callable[[UpstreamConnection], None] = _do_nothing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the buffer limits, and the timeout after which unacknowledged bytes end the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._cfg.unacknowledged_timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer: complete if only the end of the connection delimits it and there was no error."""
        self._transport = None
        pending, self._pending = self._pending, None
        self._is_unusable = True
        if pending is None:
            return
        ends_answer = pending.head is not None and pending.head.ends_with_connection
        if exc is None and ends_answer and not pending.is_skipped:
            pending.reader.on_end()
            return
        pending.reader.on_broken(f'connection lost: {exc}' if exc else 'connection closed')

    def data_received(self, chunk: bytes) -> None:
        """Parse a part of the answer, and pass on what it holds of the body."""
        pending = self._pending
        if pending is None:
            # No request is in flight, so these bytes belong to none.
            self.close()
            return
        pending.unread_bytes += len(chunk)
        try:
            fault = self._parse(chunk) or pending.fault
            if pending is self._pending:
                pending.pass_body()
        except Exception as exc:
            # The reader may have failed after the answer was complete, when it is no longer pending.
            self._pending = pending
            logger.opt(exception=exc).error('an answer could not be handled')
            fault = 'the answer could not be handled'
        if fault:
            self._fail(fault)
        elif pending is self._pending and pending.is_oversized:
            self._fail('the head, the trailers or skipped answers are too large')

    def _parse(self, chunk: bytes) -> str:
        """Return why the chunk is no part of an answer; empty if it is one."""
        assert self._parser is not None
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserCallbackError:
            raise
        except httptools.HttpParserError as exc:
            return f'not an answer: {exc}'
        except httptools.HttpParserUpgrade:
            return 'the upstream changes the protocol'
        return ''

    def send(self, request: bytes, method: bytes, reader: AnswerReader) -> None:
        """Send a request; its answer is passed to the reader."""
        assert self._transport is not None
        self._is_reused = self._parser is not None
        self._parser = httptools.HttpResponseParser(self)
        self._pending = _PendingAnswer(reader, method)
        self._allows_reuse = True
        self._transport.write(request)

    def close(self) -> None:
        """Abort the connection; the reader is not called again."""
        self._pending = None
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Pause reading the answer."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading the answer."""
        if self._transport is not None:
            self._transport.resume_reading()

    def is_reusable(self, now: float) -> bool:
        """Return whether another request may be sent."""
        if self._is_unusable or self._transport is None or self._transport.is_closing():
            return False
        return now - self._idle_since < self._keep_alive_s

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start an answer; one that follows a complete answer belongs to no request."""
        if self._pending is None:
            self._is_unusable = True
            return
        if self._pending.fault:
            return
        self._pending.headers = []
        self._pending.reason = b''
        self._pending.head = None

    def on_status(self, part: bytes) -> None:
        """Add a part of the reason phrase."""
        if self._pending is not None:
            self._pending.reason += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Add a header; trailers are dropped, since what they state comes too late to be acted on."""
        if self._pending is not None and self._pending.head is None:
            self._pending.headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Pass on the head, unless the answer belongs to another request."""
        pending = self._pending
        if pending is None or self._parser is None or pending.fault:
            return
        head = AnswerHead(self._parser.get_status_code(), pending.reason, pending.headers)
        if head.status in INTERIM_STATUSES:
            pending.reader.on_interim(head)
            return
        if head.status not in FINAL_STATUSES:
            pending.fault = f'status {head.status} is that of no answer'
            return
        pending.head = head
        stated_size = find_header(head.headers, b'content-length')
        head.size = parse_count(stated_size)
        is_chunked = bool(find_header(head.headers, b'transfer-encoding'))
        answer_has_body = has_body(pending.method, head.status)
        head.ends_with_connection = answer_has_body and not stated_size and not is_chunked
        self._update_keep_alive(head, is_framed=answer_has_body and not head.ends_with_connection)
        attribution = pending.reader.attribute(head)
        if attribution is not Attribution.OWN:
            # Only answers that name their requests can be told apart.
            self._allows_reuse = False
        is_unattributable = attribution is Attribution.UNNAMED and self._is_reused
        pending.is_skipped = is_unattributable or attribution is Attribution.FOREIGN
        if pending.is_skipped:
            # The connection also carries answers to other requests, so it isn't reused.
            self._is_unusable = True
            pending.has_skipped = True
            return
        pending.reader.on_head(head)
        if not answer_has_body:
            self._finish()

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        pending = self._pending
        if pending is not None and pending.head is not None and not pending.is_skipped:
            pending.unread_bytes = 0
            pending.parts.append(part)

    def on_message_complete(self) -> None:
        """End the answer, or wait for the next one if this one was skipped."""
        pending = self._pending
        if pending is None or pending.head is None:
            return
        if pending.is_skipped:
            pending.is_skipped = False
            return
        pending.pass_body()
        self._finish()

    def _update_keep_alive(self, head: AnswerHead, *, is_framed: bool) -> None:
        tokens = find_header(head.headers, b'connection').lower()
        if 'close' in tokens or not is_framed:
            self._allows_reuse = False
        for option in find_header(head.headers, b'keep-alive').split(','):
            name, _, seconds = option.strip().partition('=')
            stated_s = parse_count(seconds) if name.lower() == 'timeout' else None
            if stated_s is not None:
                self._keep_alive_s = stated_s - self._cfg.keep_alive_margin_s

    def _finish(self) -> None:
        pending, self._pending = self._pending, None
        if pending is None:
            return
        self._idle_since = time.monotonic()
        is_flushed = self._transport is not None and not self._transport.get_write_buffer_size()
        if not self._allows_reuse or not is_flushed or self._is_unusable:
            self._is_unusable = True
            if self._transport is not None:
                self._transport.close()
        pending.reader.on_end()
        if not self._is_unusable:
            # More bytes of the same segment may follow, so the connection becomes idle only in the next
            # iteration of the loop.
            asyncio.get_running_loop().call_soon(self.on_idle, self)

    def _fail(self, reason: str) -> None:
        pending, self._pending = self._pending, None
        self.close()
        if pending is not None:
            pending.reader.on_broken(reason)


def _do_nothing(idle: UpstreamConnection) -> None:
    """Do nothing; the default of ``on_idle`` until ``UpstreamConnections`` sets it."""
