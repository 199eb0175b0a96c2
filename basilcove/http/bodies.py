"""Reads the bodies of requests and checks that they are complete."""

import re
from http import HTTPStatus
from typing import Any, Final

from cheroot.errors import MaxSizeExceeded
from cheroot.server import ChunkedRFile

from basilcove.core.ids import Outcome
from basilcove.http.const import MAX_CHUNK_LINE_BYTES, MAX_HEADER_BYTES
from basilcove.requests.events import Refusal

_TOO_LARGE: Final = 'Request Entity Too Large'
_CRLF: Final = b'\r\n'
# RFC 9112, section 7.1.
_CHUNK_LINE: Final = re.compile(rb'[0-9A-Fa-f]{1,16}[ \t]*(;[^\r\n]*)?\r\n')
_TRAILER_LINE: Final = re.compile(rb'[!#$%&\'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n')


class _ChunkSource:
    """Checks the size line of each chunk.

    Cheroot reads these lines without a length limit and accepts whatever ``int`` accepts, such as a negative
    size, which would end the body there.
    """

    def __init__(self, rfile: Any) -> None:
        self._rfile = rfile

    def readline(self) -> bytes:
        line = bytes(self._rfile.readline(MAX_CHUNK_LINE_BYTES))
        if not _CHUNK_LINE.fullmatch(line):
            raise ValueError('malformed size of a chunk')
        return line

    def read(self, size: int) -> bytes:
        return bytes(self._rfile.read(size))


def read_body(environ: dict[str, Any]) -> bytes | Refusal:
    """Return the complete body of a WSGI request; OSError if the sender is too slow or disconnected."""
    rfile = environ['wsgi.input']
    try:
        return _read_chunked(rfile) if isinstance(rfile, ChunkedRFile) else _read_sized(rfile)
    except OSError as exc:
        # For a chunk over the size limit cheroot raises an OSError that only its text identifies.
        if str(exc) != _TOO_LARGE:
            raise
    except MaxSizeExceeded:
        return _refuse_too_large()
    except ValueError as exc:
        return Refusal(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, f'the body is malformed: {exc}')
    return _refuse_too_large()


def _read_sized(rfile: Any) -> bytes:
    body = bytes(rfile.read())
    if rfile.remaining:
        raise ValueError('shorter than its Content-Length')
    return body


def _read_chunked(rfile: Any) -> bytes:
    source = rfile.rfile
    rfile.rfile = _ChunkSource(source)
    body = bytes(rfile.read())
    bytes_left = MAX_HEADER_BYTES
    line = source.readline(bytes_left)
    while line != _CRLF:
        bytes_left -= len(line)
        if bytes_left <= 0 or not _TRAILER_LINE.fullmatch(line):
            raise ValueError('malformed trailer')
        line = source.readline(bytes_left)
    return body


def _refuse_too_large() -> Refusal:
    return Refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Outcome.NOT_RUN, 'the body is too large')
