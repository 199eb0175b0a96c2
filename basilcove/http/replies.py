"""WSGI replies with a Content-Length."""

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, TypeAlias

from basilcove.http.const import PROBLEM_JSON
from basilcove.http.problems import build_problem, build_retry_headers
from basilcove.requests.events import Refusal

StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]


def status_line(status: int) -> str:
    """Return the code and phrase of a status; ``Status`` if it has no standard phrase."""
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Status'


def reply(
    start_response: StartResponse,
    status: int,
    content: bytes,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Answer with a complete body."""
    head = [('Content-Type', content_type), ('Content-Length', str(len(content))), *headers]
    start_response(status_line(status), head)
    return [content]


def reply_json(start_response: StartResponse, status: int, content: object) -> Iterable[bytes]:
    """Answer with a JSON body."""
    return reply(start_response, status, json.dumps(content).encode(), 'application/json')


def refuse(start_response: StartResponse, refusal: Refusal, request_id: str | None = None) -> Iterable[bytes]:
    """Answer with the problem object of a refusal."""
    headers = build_retry_headers(refusal)
    problem = build_problem(refusal)
    if request_id is not None:
        headers.append(('X-Basilcove-Request-Id', request_id))
        problem['instance'] = request_id
    if refusal.status == HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return reply(start_response, refusal.status, json.dumps(problem).encode(), PROBLEM_JSON, headers)
