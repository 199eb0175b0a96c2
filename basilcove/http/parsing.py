"""Converts callers' HTTP requests to requests for the reducer, or to refusals of invalid ones."""

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final
from uuid import uuid4

from basilcove.core.ids import ModelName, Outcome, PriorityName, RequestId, ServiceName, TeamName
from basilcove.environment.models import Environment
from basilcove.environment.paths import normalise_path
from basilcove.helpers.hashing import stable_hash
from basilcove.requests.events import Refusal, Request
from basilcove.requests.validation import choose_priority, choose_timeout

MODEL_PATHS: Final = frozenset(('/v1/chat/completions', '/v1/completions'))
SERVICES_PREFIX: Final = '/services/'

_DEFAULT_MAX_TOKENS: Final = 256
_MAX_TOKENS: Final = 10_000_000
_CHARACTERS_PER_TOKEN: Final = 4
_PREFIX_BLOCK_CHARACTERS: Final = 512
_MAX_PREFIX_BLOCKS: Final = 16
_IDEMPOTENCY_KEY: Final = re.compile(r'^[\x21-\x7e]{1,255}$')
_METHOD: Final = re.compile('^[A-Z]{1,32}$')
_QUERY: Final = re.compile(r'^[\x21-\x7e]*$')
_TRACEPARENT: Final = re.compile('^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$')
_PRIVATE_HEADERS: Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'traceparent',
        'transfer-encoding',
        'upgrade',
        'x-basilcove-priority',
        'x-basilcove-request-id',
        'x-request-timeout',
        'x-resume-token-offset',
    ),
)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """HTTP request of a caller; header names in lower case, ``path`` as it was sent."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class _CallOptions:
    """The team of a request and the options from its headers."""

    team: TeamName
    priority: PriorityName
    timeout_s: float
    idempotency_key: str | None
    traceparent: str


def parse_call(call: HttpCall, environment: Environment, team: TeamName | None) -> Request | Refusal:
    """Return the request of an authenticated team, or a refusal if it is invalid."""
    if len(call.body) > environment.limits.max_body_bytes:
        return _refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is larger than the environment allows')
    options = _parse_options(call.headers, environment, team)
    if isinstance(options, Refusal):
        return options
    if call.path in MODEL_PATHS:
        return _parse_model_call(call, environment, options)
    if call.path.startswith(SERVICES_PREFIX):
        return _parse_service_call(call, environment, options)
    return _refuse(HTTPStatus.NOT_FOUND, f'no such path: {call.path}')


def _parse_options(
    headers: Mapping[str, str],
    environment: Environment,
    team: TeamName | None,
) -> _CallOptions | Refusal:
    if team is None:
        return _refuse(HTTPStatus.UNAUTHORIZED, 'the bearer key belongs to no team')
    priority = choose_priority(environment, team, headers.get('x-basilcove-priority'))
    if isinstance(priority, Refusal):
        return priority
    timeout_s = choose_timeout(environment, headers.get('x-request-timeout'))
    if isinstance(timeout_s, Refusal):
        return timeout_s
    key = headers.get('idempotency-key')
    if key is not None and not _IDEMPOTENCY_KEY.match(key):
        return _refuse(HTTPStatus.BAD_REQUEST, 'Idempotency-Key must be 1 to 255 printable characters')
    traceparent = headers.get('traceparent', '')
    if not _TRACEPARENT.match(traceparent):
        traceparent = ''
    return _CallOptions(team, priority, timeout_s, key, traceparent)


def _parse_model_call(call: HttpCall, environment: Environment, options: _CallOptions) -> Request | Refusal:
    if call.method != 'POST':
        return _refuse(HTTPStatus.METHOD_NOT_ALLOWED, f'{call.path} takes POST')
    content = _parse_object(call.body)
    if isinstance(content, Refusal):
        return content
    model = content.get('model')
    if not isinstance(model, str) or model not in environment.models:
        return _refuse(HTTPStatus.NOT_FOUND, f'no such model: {model!r}')
    prompt = content.get('messages') if call.path == '/v1/chat/completions' else content.get('prompt')
    if not isinstance(prompt, str | list) or not prompt:
        return _refuse(HTTPStatus.BAD_REQUEST, 'the body has no messages or prompt')
    max_tokens = content.get('max_tokens', _DEFAULT_MAX_TOKENS)
    if isinstance(max_tokens, bool) or not isinstance(max_tokens, int):
        return _refuse(HTTPStatus.BAD_REQUEST, 'max_tokens must be an integer')
    if not 0 < max_tokens <= _MAX_TOKENS:
        return _refuse(HTTPStatus.BAD_REQUEST, f'max_tokens must be from 1 to {_MAX_TOKENS}')
    if not isinstance(content.get('stream', False), bool):
        return _refuse(HTTPStatus.BAD_REQUEST, 'stream must be true or false')
    text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    return _build_request(
        call,
        options,
        model=ModelName(model),
        path=call.path,
        work=len(text) / _CHARACTERS_PER_TOKEN + max_tokens,
        stream=bool(content.get('stream')),
        prefix=_hash_prefix(text),
    )


def _parse_service_call(call: HttpCall, environment: Environment, options: _CallOptions) -> Request | Refusal:
    service, _, rest = call.path.removeprefix(SERVICES_PREFIX).partition('/')
    if service not in environment.services:
        return _refuse(HTTPStatus.NOT_FOUND, f'no such service: {service}')
    path = f'/{rest}'
    if normalise_path(path) is None:
        return _refuse(HTTPStatus.BAD_REQUEST, 'two servers may read the path differently')
    if not _METHOD.match(call.method):
        return _refuse(HTTPStatus.METHOD_NOT_ALLOWED, 'the method is no word of capital letters')
    if not _QUERY.match(call.query):
        return _refuse(HTTPStatus.BAD_REQUEST, 'the query must be printable ASCII without spaces')
    query = f'?{call.query}' if call.query else ''
    return _build_request(
        call,
        options,
        service=ServiceName(service),
        path=f'{path}{query}',
        work=1 + len(call.body) / _CHARACTERS_PER_TOKEN,
    )


def _build_request(
    call: HttpCall,
    options: _CallOptions,
    *,
    path: str,
    work: float,
    model: ModelName | None = None,
    service: ServiceName | None = None,
    stream: bool = False,
    prefix: tuple[int, ...] = (),
) -> Request:
    return Request(
        request_id=RequestId(uuid4().hex),
        team=options.team,
        priority=options.priority,
        model=model,
        service=service,
        method=call.method,
        path=path,
        headers={name: text for name, text in call.headers.items() if name not in _PRIVATE_HEADERS},
        body=call.body,
        timeout_s=options.timeout_s,
        work=work,
        stream=stream,
        idempotency_key=options.idempotency_key,
        traceparent=options.traceparent,
        prefix=prefix,
    )


def _parse_object(body: bytes) -> dict[str, Any] | Refusal:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return _refuse(HTTPStatus.BAD_REQUEST, f'the body is no JSON: {exc}')
    if not isinstance(content, dict):
        return _refuse(HTTPStatus.BAD_REQUEST, 'the body is no JSON object')
    return content


def _hash_prefix(text: str) -> tuple[int, ...]:
    """Return the chained hashes of the complete blocks at the start of the text."""
    hashes: list[int] = []
    for start in range(0, len(text) - _PREFIX_BLOCK_CHARACTERS + 1, _PREFIX_BLOCK_CHARACTERS):
        if len(hashes) == _MAX_PREFIX_BLOCKS:
            break
        block = text[start : start + _PREFIX_BLOCK_CHARACTERS]
        hashes.append(stable_hash(hashes[-1] if hashes else 0, block))
    return tuple(hashes)


def _refuse(status: HTTPStatus, reason: str) -> Refusal:
    return Refusal(status, Outcome.NOT_RUN, reason)
