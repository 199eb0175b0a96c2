"""Starts the attempts of a request, and ends a request that gets no further one."""

from dataclasses import replace

from basilcove.core.events import Count, Effect, Log
from basilcove.core.ids import PartId
from basilcove.core.reducer import Context
from basilcove.environment.models import RouteKind
from basilcove.gateway.const import (
    MAX_HELD_RETRY_AFTER_S,
    MIN_ATTEMPT_S,
    QUEUE_ALLOWANCE,
    STREAM_QUEUE_ALLOWANCE,
)
from basilcove.gateway.events import AbortAnswer, CancelAttempt, DeliverBuffered, StartAttempt
from basilcove.gateway.models import GatewayState, OpenRequest
from basilcove.gateway.outcomes import (
    ANSWER_LOST,
    EVACUATED,
    HELD,
    NO_ROOM,
    NO_UPSTREAM,
    NOT_STARTED,
    STOPPED,
    STOPPING,
    TIMED_OUT,
    end_quarantined,
    end_refused,
    end_without_memory,
    progress_fields,
)
from basilcove.gateway.pools import Choice, PooledUpstream
from basilcove.gateway.sharing import announce_long


def start_attempt(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """Send a request to the best upstream that it has not tried yet, or refuse it."""
    if req.deadline - ctx.now < MIN_ATTEMPT_S:
        return give_up(state, req, ctx) if req.may_have_run else end_refused(state, req, NOT_STARTED, ctx)
    blocked = find_blocked_part(state, req, ctx.now)
    if blocked is not None:
        return give_up(state, req, ctx) if req.may_have_run else end_quarantined(state, req, blocked, ctx)
    chosen = state.pools.choose(req.service, ctx.now, req.tried, req.request_id, req.tokens)
    if chosen is None:
        return give_up(state, req, ctx)
    if not req.sent and not _admit(state, req, chosen, ctx):
        return _refuse(state, req, chosen, ctx)
    return _send(state, req, chosen.upstream, chosen.load, ctx)


def find_blocked_part(state: GatewayState, req: OpenRequest, now: float) -> PartId | None:
    """Return what forbids to send a request, a part of its prompt or its digest; None if nothing does."""
    for part in state.quarantine.find_listed(req.blamable, now):
        if state.quarantine.is_refused(part, now) or _is_on_trial(state, req, part):
            return part
    return None


def _is_on_trial(state: GatewayState, req: OpenRequest, part: PartId) -> bool:
    others = (other for other in state.requests.values() if other is not req)
    return any(part in other.blamable for other in others)


def _admit(state: GatewayState, req: OpenRequest, chosen: Choice, ctx: Context) -> bool:
    is_stream = req.named_route.route.kind is RouteKind.STREAM
    allowance = STREAM_QUEUE_ALLOWANCE if is_stream and chosen.is_sampled else QUEUE_ALLOWANCE
    slots = max(1, chosen.upstream.registration.slots)
    load = chosen.utilisation * slots
    return state.admission.admit(req.level, load, slots, allowance, ctx.now, chosen.room)


def _refuse(state: GatewayState, req: OpenRequest, chosen: Choice, ctx: Context) -> list[Effect]:
    effects = end_refused(state, req, NO_ROOM, ctx, ('utilisation', f'{chosen.utilisation:.2f}'))
    if chosen.room is None:
        return effects
    group = chosen.upstream.registration.group
    return [*effects, Count('gateway_limit_refusals', (('group', group),))]


def _send(
    state: GatewayState, req: OpenRequest, chosen: PooledUpstream, load: float, ctx: Context
) -> list[Effect]:
    registration = chosen.registration
    req.number += 1
    req.sent += 1
    req.tried.add(registration.instance)
    req.instance = registration.instance
    req.registration = registration
    fields = (
        ('request', req.request_id),
        ('attempt', str(req.number)),
        ('instance', registration.instance),
        ('load', f'{load:.1f}'),
        ('failure_share', f'{chosen.failure_share(ctx.now):.2f}'),
        *progress_fields(req, ctx.now),
    )
    state.pools.begin_attempt(chosen, req.tokens)
    chosen.throttle.count_request(ctx.now)
    start = StartAttempt(
        req.key,
        req.number,
        registration.instance,
        registration.address,
        registration.born_ms,
        req.deadline - ctx.now,
        req.team,
        req.level,
        is_stream=req.named_route.route.kind is RouteKind.STREAM,
        is_failure_buffered=req.named_route.route.kind is RouteKind.SAFE,
        last_event=req.last_event,
        measures_pauses=bool(registration.group) and req.named_route.route.target_pause_s is not None,
    )
    effects: list[Effect] = [start, Log('info', 'request sent', fields)]
    if state.pools.is_long(req.service, req.tokens):
        effects.extend(announce_long(state, registration.instance, req.tokens))
    if chosen.throttle.cold.is_cold(ctx.now):
        effects.append(Count('gateway_cold_requests'))
    return effects


def release_upstream(state: GatewayState, req: OpenRequest) -> PooledUpstream | None:
    """Subtract the attempt of a request and its tokens from those of its upstream; return the upstream.

    A later start of the upstream never had this attempt.
    """
    upstream = state.pools.by_instance.get(req.instance) if req.instance else None
    req.instance = None
    if upstream is None or req.registration is None:
        return upstream
    if upstream.registration.born_ms == req.registration.born_ms:
        state.pools.end_attempt(upstream, req.tokens)
    return upstream


def spend_retry(state: GatewayState, req: OpenRequest, ctx: Context) -> bool:
    """Spend a retry of the budget if a request may be sent to another upstream."""
    if req.sent >= req.named_route.route.max_upstreams or not has_candidate(state, req, ctx):
        return False
    return state.budget(req.service).spend(ctx.now, state.pools.gateways)


def has_candidate(state: GatewayState, req: OpenRequest, ctx: Context) -> bool:
    """Return whether a request has time for an attempt at an upstream that it has not tried."""
    if req.deadline - ctx.now < MIN_ATTEMPT_S:
        return False
    return state.pools.has_candidate(req.service, ctx.now, req.tried, req.tokens)


def give_up(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """End a request that gets no further attempt."""
    if req.has_begun:
        state.requests.pop(req.key, None)
        fields = (('request', req.request_id), ('last_event', req.last_event), *progress_fields(req, ctx.now))
        return [AbortAnswer(req.key), Log('warning', 'answer broken off', fields)]
    if req.has_buffered_failure:
        state.requests.pop(req.key, None)
        return [DeliverBuffered(req.key)]
    if req.may_have_run:
        return end_refused(state, req, ANSWER_LOST, ctx)
    if state.pools.lacks_memory(req.service, ctx.now, req.tried, req.tokens):
        return end_without_memory(state, req, ctx)
    held_s = state.pools.held_for_s(req.service, ctx.now)
    if held_s is not None:
        retry_after_s = min(MAX_HELD_RETRY_AFTER_S, held_s)
        return end_refused(state, req, replace(HELD, retry_after_s=retry_after_s), ctx)
    if state.pools.is_evacuated(req.service):
        zones = ' '.join(sorted(state.pools.evacuated))
        return end_refused(state, req, EVACUATED, ctx, ('evacuated_zones', zones))
    return end_refused(state, req, NO_ROOM if req.sent else NO_UPSTREAM, ctx)


def expire_if_due(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """End a request whose deadline has passed, or whose answer can't begin before the process ends."""
    is_expired = ctx.now >= req.deadline
    if not is_expired and (req.has_begun or not state.stop.is_due(ctx.now)):
        return []
    was_sent = req.instance is not None
    release_upstream(state, req)
    if req.has_buffered_failure or req.has_begun:
        return [CancelAttempt(req.key), *give_up(state, req, ctx)]
    unknown, not_run = (TIMED_OUT, NOT_STARTED) if is_expired else (STOPPED, STOPPING)
    refusal = unknown if was_sent or req.may_have_run else not_run
    return [CancelAttempt(req.key), *end_refused(state, req, refusal, ctx)]
