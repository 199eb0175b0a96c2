"""Refusals as problem+json (RFC 9457)."""

import json
import math
from http import HTTPStatus

from basilcove.core.ids import Outcome
from basilcove.requests.events import Refusal


def build_problem(refusal: Refusal) -> dict[str, object]:
    """Return the problem object of a refusal."""
    return {
        'type': f'urn:basilcove:{refusal.outcome.value}',
        'title': HTTPStatus(refusal.status).phrase,
        'status': refusal.status,
        'detail': refusal.reason,
        'outcome': refusal.outcome.value,
    }


def build_retry_headers(refusal: Refusal) -> list[tuple[str, str]]:
    """Return Retry-After, in whole seconds rounded up, if a retry may succeed."""
    if refusal.retry_after_s is None:
        return []
    return [('Retry-After', str(max(1, math.ceil(refusal.retry_after_s))))]


def error_event(reason: str, request_id: str) -> bytes:
    """Return the event that ends a stream which can't be completed."""
    refusal = Refusal(HTTPStatus.BAD_GATEWAY, Outcome.UNKNOWN, reason)
    content = {'error': build_problem(refusal) | {'instance': request_id}}
    return f'event: error\ndata: {json.dumps(content)}\n\n'.encode()
