"""Answers to connections that are refused, and the reasons that are logged."""

from http import HTTPStatus
from typing import Final

from basilcove.http.const import RETRY_WHEN_FULL_S
from basilcove.http1.refusals import RefusalKind

REASONS: Final = {
    RefusalKind.MALFORMED: 'the request is malformed',
    RefusalKind.LEADING_BYTES: 'too many bytes before a request',
    RefusalKind.HEADERS_TOO_LARGE: 'the headers are too large',
    RefusalKind.BODY_TOO_LARGE: 'the body is too large',
    RefusalKind.LATE: 'the request did not arrive in time',
    RefusalKind.MEMORY: 'too many bytes of requests that are unfinished or wait',
    RefusalKind.UNREAD: 'too many bytes of answers that are not read',
    RefusalKind.STALLED: 'the caller does not read its answer',
    RefusalKind.CONNECTIONS: 'as many connections are open as may be',
    RefusalKind.DESCRIPTORS: 'no descriptor is left',
}

_STATUSES: Final = {
    RefusalKind.HEADERS_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    RefusalKind.LEADING_BYTES: HTTPStatus.BAD_REQUEST,
    RefusalKind.LATE: HTTPStatus.REQUEST_TIMEOUT,
}
# Kinds of the refusals that cheroot and the application answer, by status.
_KINDS: Final[dict[int, RefusalKind]] = {
    HTTPStatus.BAD_REQUEST: RefusalKind.MALFORMED,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: RefusalKind.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_URI_TOO_LONG: RefusalKind.HEADERS_TOO_LARGE,
}


def find_kind(status: int) -> RefusalKind | None:
    """Return why a request gets this status before the application sees it, if it is refused."""
    return _KINDS.get(status)


def build_refusal(kind: RefusalKind) -> bytes:
    """Return the complete answer of a connection that is closed before its request is run."""
    status = _STATUSES.get(kind, HTTPStatus.SERVICE_UNAVAILABLE)
    retry = '' if kind in _STATUSES else f'Retry-After: {RETRY_WHEN_FULL_S}\r\n'
    head = f'HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: 0\r\n'
    return f'{head}{retry}Connection: close\r\n\r\n'.encode()
