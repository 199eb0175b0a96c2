"""Refusals that a gateway sends itself, with their log lines and metrics."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from basilcove.core.events import Count, Effect, Log
from basilcove.core.ids import PartId
from basilcove.core.reducer import Context
from basilcove.gateway.const import (
    DEFAULT_RETRY_AFTER_S,
    EVACUATED_RETRY_AFTER_S,
    RETRY_AFTER_SPREAD,
    STARTING_RETRY_AFTER_S,
    STOPPING_RETRY_AFTER_S,
)
from basilcove.gateway.events import Refuse
from basilcove.gateway.models import GatewayState, OpenRequest
from basilcove.helpers.hashing import stable_fraction


@dataclass(frozen=True, slots=True)
class Refusal:
    """Status and reason of an answer that the gateway itself gives.

    The statuses 429 and 503 state that the request did not run and never will. After 502 and 504 it may have
    run.
    """

    status: HTTPStatus
    reason: str
    # Time after which a retry by the caller may succeed; sent with 429 and 503 only. None if none will.
    retry_after_s: float | None = DEFAULT_RETRY_AFTER_S

    @property
    def stated_retry_after_s(self) -> float | None:
        """Return the time for the Retry-After header; None if the answer has no such header."""
        return self.retry_after_s if self._promises_not_run else None

    @property
    def _promises_not_run(self) -> bool:
        return self.status in {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}


NO_DOCUMENT: Final = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE, 'no document is in effect', STARTING_RETRY_AFTER_S
)
STOPPING: Final = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, 'the gateway is stopping', STOPPING_RETRY_AFTER_S)
STOPPED: Final = Refusal(HTTPStatus.GATEWAY_TIMEOUT, 'the gateway stopped before the answer came')
NO_ROUTE: Final = Refusal(HTTPStatus.NOT_FOUND, 'no route matches')
UNKNOWN_KEY: Final = Refusal(HTTPStatus.UNAUTHORIZED, 'the key is unknown')
NO_UPSTREAM: Final = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, 'no upstream takes the request')
EVACUATED: Final = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE, 'the upstreams are in evacuated zones', EVACUATED_RETRY_AFTER_S
)
HELD: Final = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, 'the upstreams hold requests off')
NO_ROOM: Final = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, 'the upstreams have no room')
QUARANTINED: Final = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE, 'a part of the prompt crashes upstreams', retry_after_s=None
)
NOT_STARTED: Final = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, 'the deadline passed before the request ran')
ANSWER_LOST: Final = Refusal(HTTPStatus.BAD_GATEWAY, 'the answer of the upstream was lost')
TIMED_OUT: Final = Refusal(HTTPStatus.GATEWAY_TIMEOUT, 'the deadline passed')


def refuse(
    state: GatewayState,
    key: int,
    request_id: str,
    refusal: Refusal,
    ctx: Context,
    *extra_fields: tuple[str, str],
) -> list[Effect]:
    """Refuse a request, log and count the refusal."""
    retry_after_s = refusal.stated_retry_after_s
    if retry_after_s is not None:
        spread = 1 + RETRY_AFTER_SPREAD * stable_fraction(request_id)
        retry_after_s = round(retry_after_s * spread, 3)
    fields = (
        ('request', request_id),
        ('status', str(refusal.status.value)),
        ('reason', refusal.reason),
        ('revision', str(state.revision)),
        *extra_fields,
    )
    labels = (('status', str(refusal.status.value)), ('reason', refusal.reason))
    return [
        Refuse(key, refusal.status.value, refusal.reason, retry_after_s),
        Log('warning', 'request refused', fields),
        Count('gateway_refusals', labels),
    ]


def end_refused(
    state: GatewayState, req: OpenRequest, refusal: Refusal, ctx: Context, *extra_fields: tuple[str, str]
) -> list[Effect]:
    """End an open request with a refusal."""
    state.requests.pop(req.key, None)
    fields = (*progress_fields(req, ctx.now), ('left_s', f'{req.deadline - ctx.now:.3f}'), *extra_fields)
    return refuse(state, req.key, req.request_id, refusal, ctx, *fields)


def end_quarantined(state: GatewayState, req: OpenRequest, part: PartId, ctx: Context) -> list[Effect]:
    """End a request that has not run because of a part of its prompt."""
    return end_refused(state, req, QUARANTINED, ctx, ('part', part))


def end_without_memory(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """End a request whose tokens fit into the memory of no upstream that may take it."""
    fields = (('tokens', str(req.tokens)), ('memory_tokens', str(state.pools.memory.sizes[req.service])))
    effects = end_refused(state, req, NO_ROOM, ctx, *fields)
    return [*effects, Count('gateway_memory_refusals', (('service', req.service),))]


def progress_fields(req: OpenRequest, now: float) -> tuple[tuple[str, str], ...]:
    """Return the log fields that describe the progress of a request."""
    return (
        ('route', req.named_route.name),
        ('team', req.team),
        ('urgency', str(req.level)),
        ('sent', str(req.sent)),
        ('waited_s', f'{now - req.arrived_at:.3f}'),
    )
