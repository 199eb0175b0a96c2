"""Decides on a retry when an attempt ends."""

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from basilcove.core.events import Count, Effect, Log
from basilcove.core.reducer import Context
from basilcove.gateway.attempts import give_up, has_candidate, release_upstream, spend_retry, start_attempt
from basilcove.gateway.const import MAX_UNSENT_ATTEMPTS
from basilcove.gateway.events import AttemptEnded, AttemptResult, CheckUpstream
from basilcove.gateway.models import GatewayState, OpenRequest
from basilcove.gateway.outcomes import progress_fields
from basilcove.gateway.pools import PooledUpstream
from basilcove.gateway.soundness import note_answer
from basilcove.quarantine.answers import WHOLE
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
        ('digest', req.digest),
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
    state.stop.answer_times.record(req.named_route.name, ctx.now - req.arrived_at, ctx.now)
    if not HTTPStatus.OK <= event.status < HTTPStatus.MULTIPLE_CHOICES:
        return []
    if not event.is_unframed:
        return note_answer(state, req, WHOLE, ctx)
    # An upstream that crashes between two events ends such an answer as well.
    check = _make_check(state, req, event, ctx)
    effects = note_answer(state, req, event.reach_s or 0, ctx)
    return effects if check is None else [*effects, replace(check, is_awaited=False)]


@handles_result(AttemptResult.UNSENT)
def _after_unsent(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.sent -= 1
    if req.number >= MAX_UNSENT_ATTEMPTS or not has_candidate(state, req, ctx):
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
    check = _make_check(state, req, event, ctx)
    return retry_after_loss(state, req, ctx) if check is None else [check]


def _make_check(
    state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context
) -> CheckUpstream | None:
    """Return the check of the upstream of an attempt; None if its end would be no crash or tell nothing."""
    registration = req.registration
    if registration is None or not req.blamable or not _is_crash_possible(state, registration, ctx.now):
        return None
    return CheckUpstream(
        req.key,
        req.number,
        registration.instance,
        registration.address,
        registration.born_ms,
        req.parts,
        has_answer_head=bool(event.status),
        digest=req.digest,
        has_event=event.reach_s is not None,
        reach_s=event.reach_s or 0,
    )


def _is_crash_possible(state: GatewayState, registration: Registration, now: float) -> bool:
    """Return whether the end of an upstream would be a crash: one that leaves ends as planned."""
    upstream = state.pools.by_instance.get(registration.instance)
    return upstream is not None and upstream.is_ready and now >= upstream.leaving_until


@handles_result(AttemptResult.BROKEN)
def _after_break(state: GatewayState, req: OpenRequest, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req.may_have_run = True
    req.has_begun = True
    req.last_event = event.last_event
    check = _make_check(state, req, event, ctx)
    if check is None:
        return retry_after_loss(state, req, ctx)
    if check.lost.is_fresh:
        return [check]
    # A stream that has gone on for a while is resumed at once; its upstream is looked into meanwhile.
    return [replace(check, is_awaited=False), *retry_after_loss(state, req, ctx)]


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
