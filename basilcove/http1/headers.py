"""Headers as pairs of bytes: lookup, and what concerns one connection only."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

Header = tuple[bytes, bytes]
Headers = list[Header]

# RFC 9110, 7.6.1, with the framing that each connection decides on anew.
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
_REASONS: Final = {status.value: status.phrase.encode() for status in HTTPStatus}
_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value))


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; ``target`` is what the request line holds, names of headers are as sent.

    ``is_old_version`` marks HTTP/1.0, which knows no chunks.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keeps_alive: bool
    is_old_version: bool = False

    @property
    def path(self) -> str:
        """Return the path without query, of the absolute form too."""
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
    for known, content in headers:
        if known.lower() == name:
            return content.decode('latin-1').strip()
    return ''


def end_to_end(headers: Headers, left_out: Collection[bytes] = ()) -> Headers:
    """Return the headers that don't concern one connection; names to leave out are in lower case."""
    named: set[bytes] = set()
    for name, content in headers:
        if name.lower() == b'connection':
            named.update(token.strip().lower() for token in content.split(b','))
    kept: Headers = []
    for name, content in headers:
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in named or lower in left_out:
            continue
        kept.append((name, content))
    return kept


def request_bytes(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Return a request with a body of known length."""
    lines = [b'%s %s HTTP/1.1' % (method, target), *_lines(headers)]
    if body or method in {b'POST', b'PUT', b'PATCH'}:
        lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def answer_head(status: int, reason: bytes, headers: Headers) -> bytes:
    """Return the status line and headers of an answer."""
    phrase = reason or _REASONS.get(status, b'')
    return b'\r\n'.join([b'HTTP/1.1 %d %s' % (status, phrase), *_lines(headers)]) + b'\r\n\r\n'


def has_body(method: bytes, status: int) -> bool:
    """Tell whether an answer to this method has a body."""
    return method != b'HEAD' and status >= HTTPStatus.OK and status not in _BODILESS


def _lines(headers: Headers) -> list[bytes]:
    return [b'%s: %s' % header for header in headers]
