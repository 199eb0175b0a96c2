"""A small environment, requests for it and their expected answers."""

from basilcove.core.ids import ModelName, ServiceName, Zone
from basilcove.environment.models import Environment
from basilcove.requests.events import Request

ZONE = Zone('bunbury-office')
MODEL, SERVICE = ModelName('guide'), ServiceName('carts')
RETRY_SHARE = 0.25

_DIGEST = 'sha256:' + '0' * 64


def make_environment(**team: object) -> Environment:
    fields = {'kind': 'engine', 'zone': ZONE, 'credential_digest': _DIGEST, 'slots': 2}
    return Environment.model_validate(
        {
            'name': 'trails',
            'priorities': {
                'urgent': {'level': 1, 'target_first_token_s': 1},
                'batch': {'level': 3, 'target_first_token_s': 60},
            },
            'teams': {'kiosk': {'key_digests': [_DIGEST], 'priorities': ['urgent', 'batch'], **team}},
            'groups': {'g': {'ranks': 1, 'experts': 1, 'layers': 1, 'upstreams': []}},
            'models': {MODEL: {'group': 'g'}},
            'services': {SERVICE: {'calls': [{'method': 'GET', 'path': '/stock', 'repeatable': True}]}},
            'upstreams': {f'u{index}': fields for index in range(3)},
            'limits': {'retry_budget': RETRY_SHARE},
        }
    )


def make_request(name: str, kind: str = 'model', timeout_s: float = 10, key: str | None = None) -> Request:
    """Build a request; ``kind`` is stream, model, lookup or charge. Its answer depends on its body alone."""
    is_model = kind in {'model', 'stream'}
    path = {'lookup': '/stock/1', 'charge': '/book'}.get(kind, '/v1/completions')
    return Request(
        name, 'kiosk', 'urgent', MODEL if is_model else None, None if is_model else SERVICE,
        'GET' if kind == 'lookup' else 'POST', path, {}, (key or name).encode(), timeout_s,
        stream=kind == 'stream', idempotency_key=key,
    )  # fmt: skip


def answer_parts(body: bytes) -> list[bytes]:
    """Return the parts of the expected answer to a body, one token each."""
    return [body + b'/%d;' % index for index in range(1 + sum(body) % 5)]
