"""Turns callers' HTTP requests into requests of the reducer, or says what is wrong with them."""

import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote, unquote
from uuid import uuid4

from basilcove.core.ids import ModelName, PriorityName, RequestId, ServiceName, TeamName
from basilcove.environment.models import Environment
from basilcove.helpers.hashing import stable_hash
from basilcove.http.problems import ClientFault
from basilcove.requests.events import Request

MODEL_PATHS: Final = frozenset(('/v1/chat/completions', '/v1/completions'))
SERVICES_PREFIX: Final = '/services/'

_DEFAULT_MAX_TOKENS: Final = 256
_CHARACTERS_PER_TOKEN: Final = 4
_PREFIX_BLOCK_CHARACTERS: Final = 512
_MAX_PREFIX_BLOCKS: Final = 16
_IDEMPOTENCY_KEY: Final = re.compile(r'^[\x21-\x7e]{1,255}$')
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
    """One HTTP request of a caller; header names in lower case, ``path`` as it was sent."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class _Terms:
    """What a request's headers ask for."""

    team: TeamName
    priority: PriorityName
    timeout_s: float
    idempotency_key: str | None
    traceparent: str


def parse_call(call: HttpCall, environment: Environment, team: TeamName | None) -> Request | ClientFault:
    """Return the request of an authenticated team, or the caller's fault."""
    if len(call.body) > environment.limits.max_body_bytes:
        return ClientFault(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is larger than the environment allows'
        )
    terms = _parse_terms(call.headers, environment, team)
    if isinstance(terms, ClientFault):
        return terms
    if call.path in MODEL_PATHS:
        return _parse_model_call(call, environment, terms)
    if call.path.startswith(SERVICES_PREFIX):
        return _parse_service_call(call, environment, terms)
    return ClientFault(HTTPStatus.NOT_FOUND, f'no such path: {call.path}')


def _parse_terms(
    headers: Mapping[str, str],
    environment: Environment,
    team: TeamName | None,
) -> _Terms | ClientFault:
    if team is None:
        return ClientFault(HTTPStatus.UNAUTHORIZED, 'the bearer key belongs to no team')
    priority = _parse_priority(headers.get('x-basilcove-priority'), environment, team)
    if isinstance(priority, ClientFault):
        return priority
    timeout_s = _parse_timeout(headers.get('x-request-timeout'), environment)
    if isinstance(timeout_s, ClientFault):
        return timeout_s
    key = headers.get('idempotency-key')
    if key is not None and not _IDEMPOTENCY_KEY.match(key):
        return ClientFault(HTTPStatus.BAD_REQUEST, 'Idempotency-Key must be 1 to 255 printable characters')
    traceparent = headers.get('traceparent', '')
    if not _TRACEPARENT.match(traceparent):
        traceparent = ''
    return _Terms(team, priority, timeout_s, key, traceparent)


def _parse_priority(
    text: str | None,
    environment: Environment,
    team: TeamName,
) -> PriorityName | ClientFault:
    allowed = environment.teams[team].priorities
    if text is None:
        return max(allowed, key=lambda name: environment.priorities[name].level)
    name = PriorityName(text)
    if name not in environment.priorities:
        return ClientFault(HTTPStatus.BAD_REQUEST, f'no such priority: {text}')
    if name not in allowed:
        return ClientFault(HTTPStatus.FORBIDDEN, f'team {team} may not use priority {text}')
    return name


def _parse_timeout(text: str | None, environment: Environment) -> float | ClientFault:
    if text is None:
        return environment.limits.default_timeout_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s <= environment.limits.max_timeout_s:
        limit = environment.limits.max_timeout_s
        return ClientFault(HTTPStatus.BAD_REQUEST, f'X-Request-Timeout must be in (0, {limit:g}] seconds')
    return timeout_s


def _parse_model_call(call: HttpCall, environment: Environment, terms: _Terms) -> Request | ClientFault:
    if call.method != 'POST':
        return ClientFault(HTTPStatus.METHOD_NOT_ALLOWED, f'{call.path} takes POST')
    content = _parse_object(call.body)
    if isinstance(content, ClientFault):
        return content
    model = content.get('model')
    if not isinstance(model, str) or model not in environment.models:
        return ClientFault(HTTPStatus.NOT_FOUND, f'no such model: {model!r}')
    prompt = content.get('messages') if call.path == '/v1/chat/completions' else content.get('prompt')
    if not isinstance(prompt, str | list) or not prompt:
        return ClientFault(HTTPStatus.BAD_REQUEST, 'the body has no messages or prompt')
    max_tokens = content.get('max_tokens', _DEFAULT_MAX_TOKENS)
    if isinstance(max_tokens, bool) or not isinstance(max_tokens, int) or max_tokens < 1:
        return ClientFault(HTTPStatus.BAD_REQUEST, 'max_tokens must be a positive integer')
    if not isinstance(content.get('stream', False), bool):
        return ClientFault(HTTPStatus.BAD_REQUEST, 'stream must be true or false')
    text = prompt if isinstance(prompt, str) else json.dumps(prompt)
    return _build(
        call,
        terms,
        model=ModelName(model),
        path=call.path,
        work=len(text) / _CHARACTERS_PER_TOKEN + max_tokens,
        stream=bool(content.get('stream')),
        prefix=_prefix_of(text),
    )


def _parse_service_call(call: HttpCall, environment: Environment, terms: _Terms) -> Request | ClientFault:
    service, _, rest = call.path.removeprefix(SERVICES_PREFIX).partition('/')
    if service not in environment.services:
        return ClientFault(HTTPStatus.NOT_FOUND, f'no such service: {service}')
    # Decoding once and encoding again keeps an encoded slash or dot segment from
    # reaching another call than the one whose rules were applied.
    segments = [unquote(segment) for segment in rest.split('/')]
    if any(segment in {'.', '..'} or '/' in segment or '\\' in segment for segment in segments):
        return ClientFault(HTTPStatus.BAD_REQUEST, 'the path has dot segments or encoded slashes')
    path = '/'.join(quote(segment, safe='') for segment in segments)
    query = f'?{call.query}' if call.query else ''
    return _build(
        call,
        terms,
        service=ServiceName(service),
        path=f'/{path}{query}',
        work=1 + len(call.body) / _CHARACTERS_PER_TOKEN,
    )


def _build(
    call: HttpCall,
    terms: _Terms,
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
        team=terms.team,
        priority=terms.priority,
        model=model,
        service=service,
        method=call.method,
        path=path,
        headers={name: text for name, text in call.headers.items() if name not in _PRIVATE_HEADERS},
        body=call.body,
        timeout_s=terms.timeout_s,
        work=work,
        stream=stream,
        idempotency_key=terms.idempotency_key,
        traceparent=terms.traceparent,
        prefix=prefix,
    )


def _parse_object(body: bytes) -> dict[str, Any] | ClientFault:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return ClientFault(HTTPStatus.BAD_REQUEST, f'the body is no JSON: {exc}')
    if not isinstance(content, dict):
        return ClientFault(HTTPStatus.BAD_REQUEST, 'the body is no JSON object')
    return content


def _prefix_of(text: str) -> tuple[int, ...]:
    """Return the chained hashes of the text's leading whole blocks."""
    hashes: list[int] = []
    for start in range(0, len(text) - _PREFIX_BLOCK_CHARACTERS + 1, _PREFIX_BLOCK_CHARACTERS):
        if len(hashes) == _MAX_PREFIX_BLOCKS:
            break
        block = text[start : start + _PREFIX_BLOCK_CHARACTERS]
        hashes.append(stable_hash(hashes[-1] if hashes else 0, block))
    return tuple(hashes)
