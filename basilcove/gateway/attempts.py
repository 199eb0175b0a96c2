"""Starts the attempts of a request and decides on a retry when one ends."""

from collections.abc import Callable
from dataclasses import replace

from basilcove.core.events import Count, Effect, Log
from basilcove.core.ids import PartId
from basilcove.core.reducer import Context
from basilcove.environment.models import RouteKind
from basilcove.gateway.const import (
    MAX_HELD_RETRY_AFTER_S,
    MAX_UNSENT_ATTEMPTS,
    MIN_ATTEMPT_S,
    QUEUE_ALLOWANCE,
    STREAM_QUEUE_ALLOWANCE,
)
from basilcove.gateway.events import (
    AbortAnswer,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CheckUpstream,
    DeliverBuffered,
    StartAttempt,
)
from basilcove.gateway.models import GatewayState, OpenRequest
from basilcove.gateway.outcomes import (
    ANSWER_LOST,
    HELD,
    NO_ROOM,
    NO_UPSTREAM,
    NOT_STARTED,
    TIMED_OUT,
    end_quarantined,
    end_refused,
    progress_fields,
)
from basilcove.gateway.pools import Choice, PooledUpstream
from basilcove.registry.messages import Registration

EndHandler = Callable[[GatewayState, OpenRequest, AttemptEnded, Context], list[Effect]]

_END_HANDLERS: dict[AttemptResult, EndHandler] = {}

# Results that count as failures of the upstream.
_FAILURES = frozenset((AttemptResult.UNSENT, AttemptResult.FAILED, AttemptResult.LOST, AttemptResult.BROKEN))

_EXPECTED_RESULTS = frozenset((AttemptResult.ANSWERED, AttemptResult.MOVED))


def handles_result(*results: AttemptResult) -> Callable[[EndHandler], EndHandler]:
    """Register the function that handles an attempt that ended with one of these results."""

    def register(function: EndHandler) -> EndHandler:
        for result in results:
            _END_HANDLERS[result] = function
        return function

    return register


def start_attempt(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """Send a request to the best upstream that it has not tried yet, or refuse it."""
    if req.deadline - ctx.now < MIN_ATTEMPT_S:
        return give_up(state, req, ctx) if req.may_have_run else end_refused(state, req, NOT_STARTED, ctx)
    blocked = find_blocked_part(state, req, ctx.now)
    if blocked is not None:
        return give_up(state, req, ctx) if req.may_have_run else end_quarantined(state, req, blocked, ctx)
    chosen = state.pools.choose(req.service, ctx.now, req.tried, req.request_id)
    if chosen is None:
        return give_up(state, req, ctx)
    if not req.sent and not _admit(state, req, chosen, ctx):
        return end_refused(state, req, NO_ROOM, ctx, ('utilisation', f'{chosen.utilisation:.2f}'))
    return _send(req, chosen.upstream, chosen.load, ctx)


def find_blocked_part(state: GatewayState, req: OpenRequest, now: float) -> PartId | None:
    """Return a part of the prompt of a request that may not be sent to an upstream; None if all may."""
    for part in state.quarantine.find_listed(req.parts, now):
        if state.quarantine.is_refused(part, now) or _is_on_trial(state, req, part):
            return part
    return None


def _is_on_trial(state: GatewayState, req: OpenRequest, part: PartId) -> bool:
    others = (other for other in state.requests.values() if other is not req)
    return any(part in other.parts for other in others)


def _admit(state: GatewayState, req: OpenRequest, chosen: Choice, ctx: Context) -> bool:
    is_stream = req.named_route.route.kind is RouteKind.STREAM
    allowance = STREAM_QUEUE_ALLOWANCE if is_stream and chosen.is_sampled else QUEUE_ALLOWANCE
    slots = max(1, chosen.upstream.registration.slots)
    load = chosen.utilisation * slots
    return state.admission.admit(req.level, load, slots, allowance, ctx.now)


def _send(req: OpenRequest, chosen: PooledUpstream, load: float, ctx: Context) -> list[Effect]:
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
    chosen.open_attempts += 1
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
    )
    return [start, Log('info', 'request sent', fields)]


def release_upstream(state: GatewayState, req: OpenRequest) -> PooledUpstream | None:
    """Subtract the attempt of a request from the open attempts of its upstream; return the upstream."""
    upstream = state.pools.by_instance.get(req.instance) if req.instance else None
    req.instance = None
    if upstream is not None:
        upstream.open_attempts -= 1
    return upstream


def end_attempt(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    """Update the upstream of an attempt that ended, and retry or end the request."""
    instance = req.instance or ''
    upstream = release_upstream(state, req)
    if upstream is not None:
        _update_upstream(upstream, event, ctx.now)
    effects = _END_HANDLERS[event.result](state, req, event, ctx)
    fields = (
        ('request', req.request_id),
        ('attempt', str(event.number)),
        ('instance', instance),
        ('result', event.result.value),
        ('status', str(event.status)),
        ('reason', event.reason),
        ('parts', ' '.join(req.parts)),
        *progress_fields(req, ctx.now),
    )
    level = 'info' if event.result in _EXPECTED_RESULTS else 'warning'
    count = Count('gateway_attempts', (('result', event.result.value),))
    return [Log(level, 'attempt ended', fields), count, *effects]


def _update_upstream(upstream: PooledUpstream, event: AttemptEnded, now: float) -> None:
    if event.load is not None:
        upstream.update_load(event.load, now)
    if event.result is AttemptResult.ANSWERED:
        # An upstream that serves requests again no longer holds them off.
        upstream.hold_stated_until = 0
    if event.result is AttemptResult.MISDIRECTED:
        upstream.is_misdirected = True
    if event.result is not AttemptResult.MOVED:
        upstream.record_result(now, failed=event.result in _FAILURES)


@handles_result(AttemptResult.ANSWERED)
def _finish(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    state.requests.pop(req.key, None)
    return []


@handles_result(AttemptResult.UNSENT)
def _after_unsent(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.sent -= 1
    if req.number >= MAX_UNSENT_ATTEMPTS or not _has_candidate(state, req, ctx):
        return give_up(state, req, ctx)
    return start_attempt(state, req, ctx)


@handles_result(AttemptResult.NOT_RUN, AttemptResult.MISDIRECTED)
def _after_not_run(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    return start_attempt(state, req, ctx) if spend_retry(state, req, ctx) else give_up(state, req, ctx)


@handles_result(AttemptResult.FAILED)
def _after_failure(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.may_have_run = True
    req.has_buffered_failure = True
    if req.is_retryable and spend_retry(state, req, ctx):
        return start_attempt(state, req, ctx)
    return give_up(state, req, ctx)


@handles_result(AttemptResult.LOST)
def _after_loss(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.may_have_run = True
    registration = req.registration
    if registration is None or not req.parts or not _is_crash_possible(state, registration, ctx.now):
        return retry_after_loss(state, req, ctx)
    check = CheckUpstream(
        req.key,
        req.number,
        registration.instance,
        registration.address,
        registration.born_ms,
        req.parts,
        has_answer_head=bool(event.status),
    )
    return [check]


def _is_crash_possible(state: GatewayState, registration: Registration, now: float) -> bool:
    """Return whether the end of an upstream would be a crash: one that leaves ends as planned."""
    upstream = state.pools.by_instance.get(registration.instance)
    return upstream is not None and upstream.is_ready and now >= upstream.leaving_until


@handles_result(AttemptResult.BROKEN)
def _after_break(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.may_have_run = True
    req.has_begun = True
    req.last_event = event.last_event
    return retry_after_loss(state, req, ctx)


def retry_after_loss(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """Send a request whose answer was lost to another upstream if it may run again, or end it."""
    # Another upstream can resume a stream only after an event with an id.
    can_resume = req.is_retryable and (not req.has_begun or bool(req.last_event))
    if can_resume and spend_retry(state, req, ctx):
        return start_attempt(state, req, ctx)
    return give_up(state, req, ctx)


@handles_result(AttemptResult.MOVED)
def _after_move(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.may_have_run = True
    req.last_event = event.last_event
    req.is_moving = False
    # The retry budget was charged when the move was decided.
    return start_attempt(state, req, ctx)


def spend_retry(state: GatewayState, req: OpenRequest, ctx: Context) -> bool:
    """Spend a retry of the budget if a request may be sent to another upstream."""
    if req.sent >= req.named_route.route.max_upstreams or not _has_candidate(state, req, ctx):
        return False
    return state.budget(req.service).spend(ctx.now, state.pools.gateways)


def _has_candidate(state: GatewayState, req: OpenRequest, ctx: Context) -> bool:
    if req.deadline - ctx.now < MIN_ATTEMPT_S:
        return False
    return state.pools.has_candidate(req.service, ctx.now, req.tried)


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
    held_s = state.pools.held_for_s(req.service, ctx.now)
    if held_s is not None:
        retry_after_s = min(MAX_HELD_RETRY_AFTER_S, held_s)
        return end_refused(state, req, replace(HELD, retry_after_s=retry_after_s), ctx)
    return end_refused(state, req, NO_ROOM if req.sent else NO_UPSTREAM, ctx)


def expire_if_due(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """End a request whose deadline has passed."""
    if ctx.now < req.deadline:
        return []
    was_sent = req.instance is not None
    release_upstream(state, req)
    if req.has_buffered_failure or req.has_begun:
        return [CancelAttempt(req.key), *give_up(state, req, ctx)]
    is_unknown = was_sent or req.may_have_run
    return [
        CancelAttempt(req.key),
        *end_refused(state, req, TIMED_OUT if is_unknown else NOT_STARTED, ctx),
    ]
