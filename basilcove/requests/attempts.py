"""Starts, retries and fails attempts."""

from basilcove.core.events import Count, Effect, Log, Send
from basilcove.core.ids import UpstreamName
from basilcove.helpers.contexts import child_of
from basilcove.requests.const import CONFIRM_TIMEOUT_S, MAX_ATTEMPTS
from basilcove.requests.messages import CancelAttempt, StartAttempt
from basilcove.requests.models import Attempt, AttemptPhase, RequestRecord, RequestsState
from basilcove.requests.outcomes import close_attempt, fail_request, trace_attempt


def start_attempt(state: RequestsState, record: RequestRecord, now: float, cause: str = '') -> list[Effect]:
    """Send the next attempt, or fail the request; ``cause`` is the reason why the last attempt ended.

    Retries are allowed only within the budget and never past the deadline.
    """
    if record.is_caller_gone:
        return fail_request(state, record, now, cause)
    if now >= record.deadline:
        return fail_request(state, record, now, cause or 'the deadline has passed')
    if len(record.tried_upstreams) >= MAX_ATTEMPTS:
        return fail_request(state, record, now, f'{cause}; {MAX_ATTEMPTS} upstreams were tried')
    upstream = state.choose(record, now)
    if upstream is None:
        return fail_request(state, record, now, cause or 'no upstream is available')
    if not record.tried_upstreams:
        state.budget.deposit()
    elif not record.has_reserved_retry and not state.budget.withdraw():
        return fail_request(state, record, now, f'{cause}; the retry budget is spent')
    return _send(state, record, upstream, now)


def fail_attempt(state: RequestsState, record: RequestRecord, now: float, cause: str) -> list[Effect]:
    """End an attempt that may have run; retry on another upstream if that is allowed."""
    attempt = record.attempt
    fields = (
        ('request_id', record.request.request_id),
        ('attempt_id', attempt.attempt_id if attempt else ''),
    )
    log = Log('warning', f'attempt failed: {cause}', fields)
    spans = trace_attempt(record, now, 'failed')
    close_attempt(state, record, now, is_failure=True)
    record.may_have_run = True
    may_continue = record.repeatable and (not record.is_head_sent or record.can_resume)
    if may_continue:
        return [log, *spans, *start_attempt(state, record, now, cause)]
    return [log, *spans, *fail_request(state, record, now, cause)]


def cancel(record: RequestRecord, *, only_if_waiting: bool) -> list[Effect]:
    """Ask the agent to bar the attempt in flight, and to end it unless ``only_if_waiting``."""
    attempt = record.attempt
    if attempt is None:
        return []
    msg = CancelAttempt(attempt.attempt_id, attempt.number, attempt.incarnation, only_if_waiting)
    return [Send(attempt.agent, msg)]


def move_if_waiting(state: RequestsState, record: RequestRecord, now: float) -> list[Effect]:
    """Ask the agent to bar an attempt that waits too long, if another upstream can be tried."""
    attempt = record.attempt
    if attempt is None or attempt.is_moving or attempt.phase is not AttemptPhase.SENT:
        return []
    max_wait_s = min(state.config.max_wait_s, record.request.timeout_s / 2)
    if now - attempt.sent_at < max_wait_s or len(record.tried_upstreams) >= MAX_ATTEMPTS:
        return []
    if state.choose(record, now) is None or not state.budget.withdraw():
        return []
    record.has_reserved_retry = True
    attempt.is_moving = True
    return [*cancel(record, only_if_waiting=True), Count('attempts_moved')]


def expire(state: RequestsState, record: RequestRecord, now: float) -> list[Effect]:
    """End a request at its deadline.

    An attempt that is not known to have started is barred first, so that the refusal can
    state whether it ran.
    """
    attempt = record.attempt
    if attempt is None:
        return fail_request(state, record, now, 'the deadline has passed')
    if record.confirm_by is not None and now < record.confirm_by:
        return []
    cancelled = cancel(record, only_if_waiting=not record.repeatable)
    if attempt.phase is AttemptPhase.SENT and record.confirm_by is None:
        record.confirm_by = now + CONFIRM_TIMEOUT_S
        return cancelled
    return [*cancelled, *fail_attempt(state, record, now, 'the deadline has passed')]


def _send(state: RequestsState, record: RequestRecord, upstream: UpstreamName, now: float) -> list[Effect]:
    req = record.request
    joined = state.upstreams[upstream].joined
    attempt_id, number = state.next_attempt_id()
    record.attempt = Attempt(attempt_id, number, upstream, joined.agent, joined.incarnation, now)
    record.tried_upstreams.add(upstream)
    record.has_reserved_retry = False
    state.attempts[attempt_id] = record
    state.router.record_sent(attempt_id, upstream, record.route, now)
    msg = StartAttempt(
        attempt_id=attempt_id,
        number=number,
        request_id=req.request_id,
        incarnation=joined.incarnation,
        upstream=upstream,
        team=req.team,
        priority=req.priority,
        model=req.model,
        service=req.service,
        method=req.method,
        path=req.path,
        headers=req.headers,
        body=req.body,
        timeout_s=record.deadline - now,
        work=req.work,
        prompt_work=req.prompt_work,
        repeatable=record.repeatable,
        stream=req.stream,
        token_offset=record.tokens,
        traceparent=child_of(req.traceparent, attempt_id),
        admitted_before=record.admitted_before,
    )
    kind = 'first' if len(record.tried_upstreams) == 1 else 'retry'
    return [Send(joined.agent, msg), Count('attempts_sent', (('kind', kind),))]
