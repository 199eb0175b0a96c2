"""Headers as pairs of bytes: lookup, encoding and removal of hop-by-hop headers."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

Header = tuple[bytes, bytes]
Headers = list[Header]

# RFC 9110, 7.6.1, and the framing headers, which each connection sets for itself.
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# All numbers of so many digits are below 2^53.
_MAX_DIGITS: Final = 15
_REASONS: Final = {status.value: status.phrase.encode() for status in HTTPStatus}
_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value))


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; ``target`` and the header names are as sent.

    ``is_old_version`` marks HTTP/1.0, which has no chunked encoding.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keeps_alive: bool
    is_old_version: bool = False

    @property
    def path(self) -> str:
        """Return the path without the query, also for a target in absolute form."""
        target = self.target.partition(b'?')[0]
        if not target.startswith(b'/'):
            _, _, rest = target.partition(b'://')
            target = b'/' + rest.partition(b'/')[2]
        return target.decode('latin-1')

    def header(self, name: bytes) -> str:
        """Return the first header of a lower-case name, or an empty text."""
        return find_header(self.headers, name)


def find_header(headers: Iterable[Header], name: bytes) -> str:
    """Return the value of the first header of a lower-case name, or an empty text."""
    for header_name, content in headers:
        if header_name.lower() == name:
            return content.decode('latin-1').strip()
    return ''


def parse_count(text: str) -> int | None:
    """Return the number that ASCII digits state; None for any other text, and for a number beyond 2^53."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdecimal():
        return None
    significant = digits.lstrip('0')
    return int(significant or '0') if len(significant) <= _MAX_DIGITS else None


def remove_hop_by_hop(headers: Headers, excluded: Collection[bytes] = ()) -> Headers:
    """Return the headers without hop-by-hop ones and those of the given lower-case names."""
    connection_options: set[bytes] = set()
    for name, content in headers:
        if name.lower() == b'connection':
            connection_options.update(token.strip().lower() for token in content.split(b','))
    forwarded: Headers = []
    for name, content in headers:
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in connection_options or lower in excluded:
            continue
        forwarded.append((name, content))
    return forwarded


def encode_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Encode a request with its body."""
    lines = [b'%s %s HTTP/1.1' % (method, target), *_lines(headers)]
    if body or method in {b'POST', b'PUT', b'PATCH'}:
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def encode_answer_head(status: int, reason: bytes, headers: Headers) -> bytes:
    """Encode the status line and headers of an answer."""
    phrase = reason or _REASONS.get(status, b'')
    return b'\r\n'.join([b'HTTP/1.1 %d %s' % (status, phrase), *_lines(headers)]) + b'\r\n\r\n'


def has_body(method: bytes, status: int) -> bool:
    """Return whether an answer with this status to this method has a body."""
    return method != b'HEAD' and status >= HTTPStatus.OK and status not in _BODILESS


def _lines(headers: Headers) -> list[bytes]:
    return [b'%s: %s' % header for header in headers]
