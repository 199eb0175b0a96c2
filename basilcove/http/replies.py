"""WSGI replies with a known length."""

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, TypeAlias

from basilcove.http.const import PROBLEM_JSON
from basilcove.http.problems import headers_of, problem_of
from basilcove.requests.events import Refusal

Start: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]


def status_line(status: int) -> str:
    """Return the code and phrase of a status, also of one without a standard phrase."""
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Status'


def reply(
    start: Start,
    status: int,
    content: bytes,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Answer with a whole body."""
    head = [('Content-Type', content_type), ('Content-Length', str(len(content))), *headers]
    start(status_line(status), head)
    return [content]


def reply_json(start: Start, status: int, content: object) -> Iterable[bytes]:
    """Answer with a JSON body."""
    return reply(start, status, json.dumps(content).encode(), 'application/json')


def refuse(start: Start, refusal: Refusal, request_id: str | None = None) -> Iterable[bytes]:
    """Answer with the problem object of a refusal."""
    headers = headers_of(refusal)
    problem = problem_of(refusal)
    if request_id is not None:
        headers.append(('X-Basilcove-Request-Id', request_id))
        problem['instance'] = request_id
    if refusal.status == HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return reply(start, refusal.status, json.dumps(problem).encode(), PROBLEM_JSON, headers)
