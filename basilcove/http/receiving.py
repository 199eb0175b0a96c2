"""Collects the bytes of a request until it is complete, without I/O."""

import re
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Final

from basilcove.core.ids import Outcome
from basilcove.http.const import (
    HEADER_LINE_BYTES,
    MAX_CHUNK_LINE_BYTES,
    MAX_HEADER_BYTES,
    RECEIVE_BYTES,
    SMALL_READ_BYTES,
)
from basilcove.http.limits import ListenerLimits
from basilcove.http1.refusals import RefusalKind
from basilcove.requests.events import Refusal

_CRLF: Final = b'\r\n'
_HEXADECIMAL: Final = 16
_HEAD_END: Final = re.compile(rb'\n\r?\n')
_LENGTH: Final = re.compile(
    rb'^content-length[ \t]*:[ \t]*([0-9]{1,18})[ \t]*\r?$', re.IGNORECASE | re.MULTILINE
)
_CHUNKED: Final = re.compile(
    rb'^transfer-encoding[ \t]*:[ \t]*chunked[ \t]*\r?$', re.IGNORECASE | re.MULTILINE
)
_EXPECT: Final = re.compile(rb'^expect[ \t]*:[ \t]*100-continue[ \t]*\r?$', re.IGNORECASE | re.MULTILINE)
# RFC 9112, section 7.1.
_CHUNK_LINE: Final = re.compile(rb'[0-9A-Fa-f]{1,16}[ \t]*(;[^\r\n]*)?\r\n')
_PLAIN_CHUNK_LINE: Final = re.compile(rb'([0-9A-Fa-f]{1,8})\r\n')
_TRAILER_LINE: Final = re.compile(rb'[!#$%&\'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n')


class Stage(Enum):
    """What a receiver expects next."""

    HEAD = 'head'
    SIZED = 'sized body'
    CHUNK_LINE = 'size of a chunk'
    CHUNK = 'chunk'
    CHUNK_END = 'end of a chunk'
    TRAILER = 'trailer'
    COMPLETE = 'complete'
    REFUSED = 'refused'


@dataclass
class ReceivedBody:
    """Body of a request, with its framing; ``fault`` tells why it is incomplete."""

    content: bytearray
    is_chunked: bool = False
    length: int | None = None
    fault: Refusal | None = None


class RequestReceiver:
    """Splits a connection's bytes into requests; the memory of one grows in two buffers.

    The load that it handles is requests that arrive in any pieces: each byte is searched and copied a fixed
    number of times, also in chunks of one byte. A malformed body completes the request with a fault.
    """

    def __init__(self, limits: ListenerLimits) -> None:
        """Expect the first request."""
        self._limits = limits
        self._pending = bytearray()
        self._parsed = 0
        self._empty_bytes = 0
        self._left_bytes = 0
        self._extension_bytes = 0
        self._trailer_bytes = 0
        self.stage = Stage.HEAD
        self.head = b''
        self.body = ReceivedBody(bytearray())
        self.refusal: RefusalKind | None = None
        self.expects_continue = False

    @property
    def has_begun(self) -> bool:
        """Return whether a byte of the request has arrived, other than empty lines."""
        return self.stage is not Stage.HEAD or bool(self._pending)

    @property
    def is_ended(self) -> bool:
        """Return whether the request is complete or refused."""
        return self.stage in (Stage.COMPLETE, Stage.REFUSED)

    @property
    def read_bytes(self) -> int:
        """Return how many bytes to read at once: more than a few only if most of them are content."""
        left = self._left_bytes if self.stage in (Stage.SIZED, Stage.CHUNK) else 0
        return min(RECEIVE_BYTES, max(SMALL_READ_BYTES, left))

    @property
    def cost_bytes(self) -> int:
        """Return the memory that the request takes, with its parsed header lines."""
        lines = self.head.count(b'\n') * HEADER_LINE_BYTES
        return len(self._pending) + len(self.head) + len(self.body.content) + lines

    def feed(self, data: bytes) -> None:
        """Add received bytes; those after the end of a complete request are kept for the next one."""
        self._pending += data
        self._parsed = 0
        is_advancing = True
        while is_advancing:
            is_advancing = not self.is_ended and self._advance()
        del self._pending[: self._parsed]

    def feed_end(self) -> None:
        """Complete the request after its sender closed; what is missing is a fault."""
        if self.stage is Stage.HEAD:
            self._complete(bytes(self._pending))
        elif not self.is_ended:
            self._fail(f'the request ends before the end of its {self.stage.value}')

    def build_next(self) -> 'RequestReceiver':
        """Return the receiver of the next request, which may have arrived already."""
        following = RequestReceiver(self._limits)
        following.feed(bytes(self._pending))
        return following

    def _advance(self) -> bool:
        """Take one step; False if more bytes are needed."""
        if self.stage is Stage.HEAD:
            return self._read_head()
        if self.stage in (Stage.SIZED, Stage.CHUNK):
            return self._read_content()
        if self.stage is Stage.CHUNK_LINE:
            self._read_whole_chunks()
        return self._read_line()

    def _read_head(self) -> bool:
        self._skip_empty_lines()
        # The search starts where the former one ended.
        end = _HEAD_END.search(self._pending, self._left_bytes)
        size = len(self._pending) if end is None else end.end()
        if size > MAX_HEADER_BYTES:
            self._refuse(RefusalKind.HEADERS_TOO_LARGE)
            return False
        if end is None:
            self._left_bytes = max(0, size - 2)
            return False
        self.head = bytes(self._pending[:size])
        self._parsed = size
        self._choose_framing()
        return True

    def _skip_empty_lines(self) -> None:
        stripped = self._pending.lstrip(_CRLF) if self._pending.startswith((b'\r', b'\n')) else self._pending
        self._empty_bytes += len(self._pending) - len(stripped)
        self._pending = stripped
        if self._empty_bytes > self._limits.max_leading_bytes:
            self._refuse(RefusalKind.LEADING_BYTES)

    def _choose_framing(self) -> None:
        self.expects_continue = _EXPECT.search(self.head) is not None
        lengths = _LENGTH.findall(self.head)
        if lengths:
            self.body.length = int(lengths[-1])
        if _CHUNKED.search(self.head):
            self.body.is_chunked = True
            self.stage = Stage.CHUNK_LINE
            return
        self._left_bytes = self.body.length or 0
        if not self._left_bytes or self._left_bytes > self._limits.max_body_bytes:
            # A body over the limit is refused by its length alone.
            self.stage = Stage.COMPLETE
        else:
            self.stage = Stage.SIZED

    def _read_content(self) -> bool:
        size = min(self._left_bytes, len(self._pending) - self._parsed)
        self.body.content += self._pending[self._parsed : self._parsed + size]
        self._parsed += size
        self._left_bytes -= size
        if self._left_bytes:
            return False
        self.stage = Stage.COMPLETE if self.stage is Stage.SIZED else Stage.CHUNK_END
        return True

    def _read_whole_chunks(self) -> None:
        """Take the chunks without extensions that have arrived; the rest is left to the other steps."""
        content, pending, at = self.body.content, bytes(self._pending), self._parsed
        line = _PLAIN_CHUNK_LINE.match(pending, at)
        while line is not None:
            start = line.end()
            end = start + int(line[1], _HEXADECIMAL)
            is_taken = start < end and pending[end : end + 2] == _CRLF
            if not is_taken or len(content) + end - start > self._limits.max_body_bytes:
                break
            content += pending[start:end]
            at = end + 2
            line = _PLAIN_CHUNK_LINE.match(pending, at)
        self._parsed = at

    def _read_line(self) -> bool:
        end = self._pending.find(b'\n', self._parsed, self._parsed + MAX_CHUNK_LINE_BYTES) + 1
        if not end:
            if len(self._pending) - self._parsed >= MAX_CHUNK_LINE_BYTES:
                self._fail(f'malformed {self.stage.value}')
            return False
        line = bytes(self._pending[self._parsed : end])
        self._parsed = end
        if self.stage is Stage.TRAILER:
            self._read_trailer(line)
        elif self.stage is Stage.CHUNK_END:
            self._end_chunk(line)
        else:
            self._start_chunk(line)
        return True

    def _start_chunk(self, line: bytes) -> None:
        if not _CHUNK_LINE.fullmatch(line):
            self._fail(f'malformed {self.stage.value}')
            return
        size, _, extension = line.partition(b';')
        self._extension_bytes += len(extension)
        if self._extension_bytes > self._limits.max_extension_bytes:
            self._fail('too long extensions of chunks')
            return
        self._left_bytes = int(size, _HEXADECIMAL)
        self.stage = Stage.CHUNK if self._left_bytes else Stage.TRAILER
        if len(self.body.content) + self._left_bytes > self._limits.max_body_bytes:
            self._complete(self.head)
            self.body.fault = Refusal(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Outcome.NOT_RUN, 'the body is too large'
            )

    def _end_chunk(self, line: bytes) -> None:
        self.stage = Stage.CHUNK_LINE
        if line != _CRLF:
            self._fail('malformed end of a chunk')

    def _read_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line)
        if line == _CRLF:
            self.stage = Stage.COMPLETE
        elif self._trailer_bytes > MAX_HEADER_BYTES or not _TRAILER_LINE.fullmatch(line):
            self._fail('malformed trailer')

    def _fail(self, reason: str) -> None:
        self.body.fault = Refusal(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, f'the body is malformed: {reason}')
        self._complete(self.head)

    def _complete(self, head: bytes) -> None:
        """End the request; what follows a fault can't be told from a body and is dropped."""
        self.head = head
        self.stage = Stage.COMPLETE
        self._pending.clear()
        self._parsed = 0

    def _refuse(self, kind: RefusalKind) -> None:
        self.refusal = kind
        self.stage = Stage.REFUSED
        self._pending.clear()
        self._parsed = 0
