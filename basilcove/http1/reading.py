"""Reads the requests of one connection; receives the callbacks of the parser."""

from collections.abc import Callable
from http import HTTPStatus

import httptools

from basilcove.http1.config import ConnectionLimits
from basilcove.http1.const import (
    BODY_COPIES,
    BUFFER_GROWTH,
    HEADER_COST_BYTES,
    REQUEST_COST_BYTES,
    REQUEST_PARTS,
)
from basilcove.http1.headers import Headers, HttpRequest
from basilcove.http1.refusals import RefusalKind

OnRequest = Callable[[HttpRequest, int], None]
OnFault = Callable[[HTTPStatus, RefusalKind, str], None]


class RequestReader:
    """Parses requests and passes each complete one on with its cost in bytes of memory.

    After ``drop`` nothing more is parsed or passed on.
    """

    def __init__(
        self, max_leading: int, on_request: OnRequest, on_continue: Callable[[], None], on_fault: OnFault
    ) -> None:
        """Pass requests, expectations of 100 Continue and faults to the callbacks.

        ``max_leading`` bounds the bytes before a request, which the parser skips.
        """
        self._max_leading = max_leading
        self._leading_bytes = 0
        self._pass_request = on_request
        self._pass_continue = on_continue
        self._pass_fault = on_fault
        self._parser = httptools.HttpRequestParser(self)
        self._limits = ConnectionLimits()
        self._is_dropped = False
        self._is_in_head = False
        self._offers_upgrade = False
        self._target = b''
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        # Bytes of the head or, after it, those that arrived since the last part of the body.
        self._overhead_bytes = 0
        self.is_reading = False
        # Messages that have begun, and the work of all that was parsed, in multiples of a header line.
        self.begun = 0
        self.parts = 0

    @property
    def body_bytes(self) -> int:
        """Return the size of the body that has arrived."""
        return len(self._body)

    @property
    def cost_bytes(self) -> int:
        """Return the memory that the unfinished request takes."""
        if not self.is_reading:
            return 0
        return self._head_cost + len(self._body) + len(self._body) // BUFFER_GROWTH

    @property
    def _head_cost(self) -> int:
        content_bytes = len(self._target) + self._head_bytes
        return REQUEST_COST_BYTES + content_bytes + HEADER_COST_BYTES * len(self._headers)

    def feed(self, segment: memoryview, limits: ConnectionLimits) -> bool:
        """Parse received bytes; return whether they are part of a request.

        A request that is not valid HTTP is a fault.
        """
        self._limits = limits
        begun, was_reading = self.begun, self.is_reading
        # A head that begins in this segment may follow a long body, so counting starts with the next segment.
        self._overhead_bytes = self._overhead_bytes + len(segment) if self.is_reading else 0
        try:
            self._parse(segment)
        except httptools.HttpParserError as exc:
            self._fail(HTTPStatus.BAD_REQUEST, RefusalKind.MALFORMED, str(exc))
        if self.is_reading and self._overhead_bytes > limits.max_header_bytes:
            self._fail_head()
        if was_reading or self.begun > begun:
            self._leading_bytes = 0
            return True
        self._leading_bytes += len(segment)
        if self._leading_bytes > self._max_leading:
            reason = 'too many bytes before a request'
            self._fail(HTTPStatus.BAD_REQUEST, RefusalKind.LEADING_BYTES, reason)
        return False

    def _parse(self, segment: memoryview) -> None:
        """Parse bytes; a request that offers another protocol is read as if it didn't.

        The parser takes the bytes after the head of such a request for those of the other protocol.
        """
        rest = segment
        while True:
            try:
                self._parser.feed_data(rest)
            except httptools.HttpParserUpgrade as exc:
                if self._is_dropped:
                    return
                rest = rest[exc.args[0] :]
                head = self._encode_plain_head()
                self._parser = httptools.HttpRequestParser(self)
                self._parser.feed_data(head)
            else:
                return

    def _encode_plain_head(self) -> bytes:
        """Return the head that was read last, without its offers."""
        version = self._parser.get_http_version().encode()
        lines = [b'%s %s HTTP/%s' % (self._parser.get_method(), self._target, version)]
        for name, content in self._headers:
            if name.lower() != b'upgrade':
                lines.append(b'%s: %s' % (name, content))
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    def drop(self) -> None:
        """Drop the unfinished request."""
        self._is_dropped = True
        self.is_reading = False
        self._start()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self.is_reading = not self._is_dropped
        self._is_in_head = True
        self.begun += 1
        self._start()

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        if not self._is_dropped:
            self._target += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Add a header; trailers are dropped, since a header that follows the body was not checked."""
        self.parts += 1
        if self._is_in_head and not self._is_dropped:
            self._headers.append((name, content))
            self._head_bytes += len(name) + len(content)

    def on_headers_complete(self) -> None:
        """Check the size of the head; pass on that a caller expects 100 Continue before its body."""
        self._is_in_head = False
        self._overhead_bytes = 0
        if len(self._target) + self._head_bytes > self._limits.max_header_bytes:
            self._fail_head()
            return
        if self._parser.get_method() == b'CONNECT':
            self._fail(HTTPStatus.BAD_REQUEST, RefusalKind.MALFORMED, 'no tunnels are opened')
            return
        self._offers_upgrade = self._parser.should_upgrade()
        if self._offers_upgrade:
            return
        if not self._is_dropped and any(name.lower() == b'expect' for name, _ in self._headers):
            self._pass_continue()

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        self.parts += 1
        self._overhead_bytes = 0
        if self._is_dropped:
            return
        if len(self._body) + len(part) > self._limits.max_body_bytes:
            self._fail(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, RefusalKind.BODY_TOO_LARGE, 'the body is too large'
            )
            return
        self._body += part

    def on_message_complete(self) -> None:
        """Pass on the request."""
        self.parts += REQUEST_PARTS
        if self._offers_upgrade:
            # The head is read again without the offer, and then its body.
            return
        self.is_reading = False
        if self._is_dropped:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == '1.0',
        )
        cost_bytes = self._head_cost + BODY_COPIES * len(self._body)
        self._start()
        self._pass_request(request, cost_bytes)

    def _start(self) -> None:
        self._target = b''
        self._headers = []
        self._head_bytes = 0
        if self._body:
            self._body = bytearray()

    def _fail_head(self) -> None:
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        self._fail(status, RefusalKind.HEADERS_TOO_LARGE, 'the headers are too large')

    def _fail(self, status: HTTPStatus, kind: RefusalKind, reason: str) -> None:
        if not self._is_dropped:
            self.drop()
            self._pass_fault(status, kind, reason)
