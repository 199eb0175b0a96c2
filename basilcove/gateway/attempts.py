"""Attempts of a request: where the next one goes, and what follows from the end of one."""

from collections.abc import Callable

from basilcove.core.events import Count, Effect, Log
from basilcove.core.reducer import Context
from basilcove.environment.models import RouteKind
from basilcove.gateway.const import MAX_UNSENT_TRIES, MIN_ATTEMPT_S
from basilcove.gateway.events import (
    AttemptEnded,
    AttemptResult,
    BreakAnswer,
    CancelAttempt,
    DeliverHeld,
    StartAttempt,
)
from basilcove.gateway.models import GatewayState, OpenRequest
from basilcove.gateway.outcomes import (
    ANSWER_LOST,
    NO_ROOM,
    NO_UPSTREAM,
    NOT_STARTED,
    TIMED_OUT,
    conclude,
    progress_of,
)
from basilcove.gateway.pools import PooledUpstream

Follow = Callable[[GatewayState, OpenRequest, AttemptEnded, Context], list[Effect]]

_FOLLOW: dict[AttemptResult, Follow] = {}

# Results that say nothing good of the upstream.
_FAILURES = frozenset((AttemptResult.UNSENT, AttemptResult.FAILED, AttemptResult.LOST, AttemptResult.BROKEN))

_PLANNED_ENDS = frozenset((AttemptResult.ANSWERED, AttemptResult.MOVED))


def follows(*results: AttemptResult) -> Callable[[Follow], Follow]:
    """Register the function that decides what follows from an attempt's end."""

    def register(function: Follow) -> Follow:
        for result in results:
            _FOLLOW[result] = function
        return function

    return register


def start_attempt(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """Send a request to the best upstream that it was not sent to yet, or refuse it."""
    if req.deadline - ctx.now < MIN_ATTEMPT_S:
        return _give_up(state, req, ctx) if req.may_have_run else conclude(state, req, NOT_STARTED, ctx)
    chosen = state.pools.choose(req.service, ctx.now, req.tried, req.request_id)
    if chosen is None:
        return _give_up(state, req, ctx)
    load = state.pools.load(chosen, ctx.now)
    if not req.sent and not state.admission.admits(req.level, load, chosen.registration.slots, ctx.now):
        return conclude(state, req, NO_ROOM, ctx, ('load', f'{load:.1f}'))
    return _send(req, chosen, load, ctx)


def _send(req: OpenRequest, chosen: PooledUpstream, load: float, ctx: Context) -> list[Effect]:
    registration = chosen.registration
    req.number += 1
    req.sent += 1
    req.tried.add(registration.instance)
    req.instance = registration.instance
    details = (
        ('request', req.request_id),
        ('attempt', str(req.number)),
        ('instance', registration.instance),
        ('load', f'{load:.1f}'),
        ('failure_share', f'{chosen.failure_share(ctx.now):.2f}'),
        *progress_of(req, ctx.now),
    )
    chosen.open_attempts += 1
    start = StartAttempt(
        req.key,
        req.number,
        registration.instance,
        registration.address,
        req.deadline - ctx.now,
        req.team,
        req.level,
        is_stream=req.named.route.kind is RouteKind.STREAM,
        holds_failures=req.named.route.kind is RouteKind.SAFE,
        last_event=req.last_event,
    )
    return [start, Log('info', 'request sent', details)]


def release(state: GatewayState, req: OpenRequest) -> PooledUpstream | None:
    """Take the attempt of a request off its upstream's count; return the upstream."""
    known = state.pools.by_instance.get(req.instance) if req.instance else None
    req.instance = None
    if known is not None:
        known.open_attempts -= 1
    return known


def end_attempt(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    """Learn from the end of an attempt, and decide what follows."""
    instance = req.instance or ''
    known = release(state, req)
    if known is not None:
        _learn(known, event, ctx.now)
    effects = _FOLLOW[event.result](state, req, event, ctx)
    fields = (
        ('request', req.request_id),
        ('attempt', str(event.number)),
        ('instance', instance),
        ('result', event.result.value),
        ('status', str(event.status)),
        ('reason', event.reason),
        *progress_of(req, ctx.now),
    )
    level = 'info' if event.result in _PLANNED_ENDS else 'warning'
    counted = Count('gateway_attempts', (('result', event.result.value),))
    return [Log(level, 'attempt ended', fields), counted, *effects]


def _learn(known: PooledUpstream, event: AttemptEnded, now: float) -> None:
    if event.load is not None:
        known.note_load(event.load, now)
    if event.result is AttemptResult.MISDIRECTED:
        known.is_misdirected = True
    if event.result is not AttemptResult.MOVED:
        known.note_result(now, failed=event.result in _FAILURES)


@follows(AttemptResult.ANSWERED)
def _finish(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    state.requests.pop(req.key, None)
    return []


@follows(AttemptResult.UNSENT)
def _after_unsent(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.sent -= 1
    if req.number >= MAX_UNSENT_TRIES or not _has_candidate(state, req, ctx):
        return _give_up(state, req, ctx)
    return start_attempt(state, req, ctx)


@follows(AttemptResult.NOT_RUN, AttemptResult.MISDIRECTED)
def _after_not_run(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    return start_attempt(state, req, ctx) if take_repeat(state, req, ctx) else _give_up(state, req, ctx)


@follows(AttemptResult.FAILED)
def _after_failure(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.may_have_run = True
    req.is_failure_held = True
    if req.is_repeatable and take_repeat(state, req, ctx):
        return start_attempt(state, req, ctx)
    return _give_up(state, req, ctx)


@follows(AttemptResult.LOST, AttemptResult.BROKEN)
def _after_loss(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.may_have_run = True
    if event.result is AttemptResult.BROKEN:
        req.has_begun = True
        req.last_event = event.last_event
    # Without the id of an event there is nothing to go on from.
    can_go_on = req.is_repeatable and (not req.has_begun or bool(req.last_event))
    if can_go_on and take_repeat(state, req, ctx):
        return start_attempt(state, req, ctx)
    return _give_up(state, req, ctx)


@follows(AttemptResult.MOVED)
def _after_move(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.may_have_run = True
    req.last_event = event.last_event
    req.is_moving = False
    # The budget was charged when the move was decided.
    return start_attempt(state, req, ctx)


def take_repeat(state: GatewayState, req: OpenRequest, ctx: Context) -> bool:
    """Spend a repeat of the budget if a request may be sent to another upstream."""
    if req.sent >= req.named.route.max_upstreams or not _has_candidate(state, req, ctx):
        return False
    return state.budget(req.service).take(ctx.now, state.gateways)


def _has_candidate(state: GatewayState, req: OpenRequest, ctx: Context) -> bool:
    if req.deadline - ctx.now < MIN_ATTEMPT_S:
        return False
    return state.pools.choose(req.service, ctx.now, req.tried, req.request_id) is not None


def _give_up(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """End a request that gets no further attempt."""
    if req.has_begun:
        state.requests.pop(req.key, None)
        fields = (('request', req.request_id), ('last_event', req.last_event), *progress_of(req, ctx.now))
        return [BreakAnswer(req.key), Log('warning', 'answer broken off', fields)]
    if req.is_failure_held:
        state.requests.pop(req.key, None)
        return [DeliverHeld(req.key)]
    if req.may_have_run:
        return conclude(state, req, ANSWER_LOST, ctx)
    return conclude(state, req, NO_ROOM if req.sent else NO_UPSTREAM, ctx)


def expire_if_due(state: GatewayState, req: OpenRequest, ctx: Context) -> list[Effect]:
    """End a request whose deadline has passed."""
    if ctx.now < req.deadline:
        return []
    was_sent = req.instance is not None
    release(state, req)
    if req.is_failure_held or req.has_begun:
        return [CancelAttempt(req.key), *_give_up(state, req, ctx)]
    is_unknown = was_sent or req.may_have_run
    return [CancelAttempt(req.key), *conclude(state, req, TIMED_OUT if is_unknown else NOT_STARTED, ctx)]
