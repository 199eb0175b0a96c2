"""Handles the requests at an entry: arrival, answers, deadlines and the planned stop."""

from http import HTTPStatus

from basilcove.core.events import Count, Effect, Received, StopRequested, Tick
from basilcove.core.ids import AttemptId, Outcome, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.environment.events import EnvironmentChanged
from basilcove.requests import links  # noqa: F401 (registers its handlers)
from basilcove.requests.attempts import cancel, expire, fail_attempt, move_if_waiting, start_attempt
from basilcove.requests.claims import ReleaseClaim
from basilcove.requests.const import DEFAULT_RETRY_AFTER_S, LEAVING_PAUSE_S, TEAM_SWEEP_INTERVAL_S
from basilcove.requests.events import CallerGone, Refusal, RequestArrived, StartAnswer, StopCompleted
from basilcove.requests.keyed import deliver_answer, record_answer, request_claim
from basilcove.requests.messages import (
    AnswerEnd,
    AnswerHead,
    AttemptFailed,
    AttemptRefused,
    AttemptStarted,
)
from basilcove.requests.models import Attempt, AttemptPhase, ClaimPhase, RequestRecord, RequestsState
from basilcove.requests.outcomes import (
    close_attempt,
    complete,
    fail_request,
    refuse,
    remove_request,
    trace_attempt,
)
from basilcove.requests.validation import is_repeatable, validate_request


@handles(EnvironmentChanged, RequestsState)
def on_environment(state: RequestsState, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    """Apply a newer document."""
    if state.revision is None or event.revision > state.revision:
        state.revision = event.revision
        state.environment = event.environment
        state.budget.share = event.environment.limits.retry_budget
    return []


@handles(RequestArrived, RequestsState)
def on_arrived(state: RequestsState, event: RequestArrived, ctx: Context) -> list[Effect]:
    """Refuse a request, claim its key, or send its first attempt."""
    req = event.request
    environment = state.environment
    if environment is None or state.stop_by is not None:
        reason = 'the entry has no document yet' if environment is None else 'the entry is stopping'
        return refuse(
            req, Refusal(HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, reason, DEFAULT_RETRY_AFTER_S)
        )
    if req.request_id in state.requests:
        return [Count('events_dropped', (('reason', 'duplicate_request'),))]
    refusal = validate_request(environment, req)
    refusal = refusal or state.limits.admit(req.team, environment.teams[req.team], ctx.now)
    if refusal is not None:
        return refuse(req, refusal)
    level = environment.priorities[req.priority].level
    record = RequestRecord(req, level, ctx.now + req.timeout_s, is_repeatable(environment, req))
    state.requests[req.request_id] = record
    if req.idempotency_key is not None and not record.repeatable:
        return request_claim(state, record, req.idempotency_key)
    return start_attempt(state, record, ctx.now)


@handles(CallerGone, RequestsState)
def on_caller_gone(state: RequestsState, event: CallerGone, ctx: Context) -> list[Effect]:
    """Cancel the request of a caller that disconnected; a call that may run only once runs to its end."""
    record = state.requests.get(event.request_id)
    if record is None:
        return []
    record.is_caller_gone = True
    effects = cancel(record, only_if_waiting=not record.repeatable)
    if record.claim is not None and record.claim.phase is not ClaimPhase.ASKED:
        return effects
    if record.claim is not None:
        effects.append(ReleaseClaim(record.claim.key, record.claim.attempt_id))
    effects.extend(trace_attempt(record, ctx.now, 'caller_gone'))
    close_attempt(state, record, ctx.now, is_failure=False)
    remove_request(state, record)
    return [*effects, Count('requests_ended', (('outcome', 'caller_gone'),))]


@handles_message(AttemptStarted, RequestsState)
def on_started(state: RequestsState, event: Received, ctx: Context) -> list[Effect]:
    """Record that an attempt has started."""
    record, attempt = _find_attempt(state, event)
    if record is None or attempt is None or attempt.phase is not AttemptPhase.SENT:
        return [_count_dropped(event)]
    attempt.phase = AttemptPhase.STARTED
    if record.confirm_by is not None:
        return fail_attempt(state, record, ctx.now, 'the deadline has passed')
    return []


@handles_message(AnswerHead, RequestsState)
def on_head(state: RequestsState, event: Received, ctx: Context) -> list[Effect]:
    """Start the caller's answer; a resumed stream must continue with the same status."""
    record, attempt = _find_attempt(state, event)
    msg = event.message
    if not isinstance(msg, AnswerHead) or record is None or attempt is None:
        return [_count_dropped(event)]
    if attempt.phase is AttemptPhase.ANSWERING:
        return [_count_dropped(event)]
    attempt.phase = AttemptPhase.ANSWERING
    is_buffered = record.claim is not None
    state.assemblies.open(attempt.attempt_id, record.request.request_id, event.peer, is_buffered=is_buffered)
    if record.is_head_sent:
        if msg.status == record.status:
            return []
        cause = f'the stream could not be resumed, status {msg.status}'
        return [*cancel(record, only_if_waiting=False), *fail_attempt(state, record, ctx.now, cause)]
    record.status = msg.status
    record.headers = msg.headers
    if is_buffered:
        return []
    record.is_head_sent = True
    return [StartAnswer(record.request.request_id, msg.status, msg.headers)]


@handles_message(AnswerEnd, RequestsState)
def on_end(state: RequestsState, event: Received, ctx: Context) -> list[Effect]:
    """End the caller's answer if it is complete."""
    record, attempt = _find_attempt(state, event)
    msg = event.message
    if not isinstance(msg, AnswerEnd) or record is None or attempt is None:
        return [_count_dropped(event)]
    if not state.assemblies.is_complete(attempt.attempt_id, msg.chunks, msg.length):
        return fail_attempt(state, record, ctx.now, 'the answer is not whole')
    if record.claim is not None:
        return record_answer(state, record, record.claim, ctx.now)
    return complete(state, record, ctx.now)


@handles_message(AttemptRefused, RequestsState)
def on_refused(state: RequestsState, event: Received, ctx: Context) -> list[Effect]:
    """Retry on another upstream: this attempt is confirmed not to have run."""
    record, attempt = _find_attempt(state, event)
    msg = event.message
    if not isinstance(msg, AttemptRefused) or record is None or attempt is None:
        return [_count_dropped(event)]
    if attempt.phase is AttemptPhase.ANSWERING:
        return fail_attempt(state, record, ctx.now, 'refused after its answer began')
    if msg.leaving:
        state.pause(attempt.upstream, ctx.now + LEAVING_PAUSE_S)
        record.has_reserved_retry |= not record.has_used_free_retry
        record.has_used_free_retry = True
    record.admitted_before |= msg.leaving or attempt.is_moving
    record.retry_after_s = msg.retry_after_s
    spans = trace_attempt(record, ctx.now, 'refused')
    close_attempt(state, record, ctx.now, is_failure=True)
    return [*spans, *start_attempt(state, record, ctx.now, msg.reason)]


@handles_message(AttemptFailed, RequestsState)
def on_failed(state: RequestsState, event: Received, ctx: Context) -> list[Effect]:
    """Retry on another upstream if that is allowed: this attempt may have run."""
    record, attempt = _find_attempt(state, event)
    msg = event.message
    if not isinstance(msg, AttemptFailed) or record is None or attempt is None:
        return [_count_dropped(event)]
    return fail_attempt(state, record, ctx.now, msg.reason)


@handles(StopRequested, RequestsState)
def on_stop(state: RequestsState, event: StopRequested, ctx: Context) -> list[Effect]:
    """Accept no new requests; those in flight may run until the stop timeout."""
    if state.stop_by is None:
        state.stop_by = ctx.now + state.config.stop_timeout_s
    return _check_stop(state)


@handles(Tick, RequestsState)
def on_tick(state: RequestsState, event: Tick, ctx: Context) -> list[Effect]:
    """Enforce deadlines, move attempts that wait too long, and end a planned stop in time."""
    effects = _fail_broken_answers(state, ctx.now)
    is_stop_due = state.stop_by is not None and ctx.now >= state.stop_by
    for record in tuple(state.requests.values()):
        if is_stop_due:
            effects.extend(_abort_request(state, record, ctx.now))
        else:
            effects.extend(_check_request(state, record, ctx.now))
    if ctx.now - state.swept_at >= TEAM_SWEEP_INTERVAL_S and state.environment is not None:
        state.swept_at = ctx.now
        state.limits.sweep(state.environment.teams, ctx.now)
    for reason, dropped in state.assemblies.pop_dropped().items():
        effects.append(Count('chunks_dropped', (('reason', reason),), dropped))
    return [*effects, *_check_stop(state)]


def _check_request(state: RequestsState, record: RequestRecord, now: float) -> list[Effect]:
    claim = record.claim
    if claim is not None and claim.phase is ClaimPhase.RECORDING:
        if claim.answer is None or now < claim.deliver_by:
            return []
        return deliver_answer(state, record, claim.answer)
    if now >= record.deadline:
        return expire(state, record, now)
    return move_if_waiting(state, record, now)


def _abort_request(state: RequestsState, record: RequestRecord, now: float) -> list[Effect]:
    if record.claim is not None and record.claim.answer is not None:
        return deliver_answer(state, record, record.claim.answer)
    effects = cancel(record, only_if_waiting=not record.repeatable)
    record.may_have_run |= record.attempt is not None
    effects.extend(trace_attempt(record, now, 'stopped'))
    close_attempt(state, record, now, is_failure=False)
    return [*effects, *fail_request(state, record, now, 'the entry stopped')]


def _fail_broken_answers(state: RequestsState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for attempt_id in state.assemblies.pop_broken():
        record = state.attempts.get(attempt_id)
        if record is None:
            continue
        effects.extend(cancel(record, only_if_waiting=not record.repeatable))
        effects.extend(fail_attempt(state, record, now, 'a part of the answer is missing or too large'))
    return effects


def _check_stop(state: RequestsState) -> list[Effect]:
    if state.stop_by is None or state.stop_completed or state.requests:
        return []
    state.stop_completed = True
    return [StopCompleted(Role.ENTRY)]


def _find_attempt(state: RequestsState, event: Received) -> tuple[RequestRecord | None, Attempt | None]:
    """Return the request and the attempt of a message if the attempt was sent to the message's sender."""
    record = state.attempts.get(getattr(event.message, 'attempt_id', AttemptId('')))
    attempt = record.attempt if record is not None else None
    if attempt is None or attempt.agent != event.peer.node:
        return None, None
    if attempt.incarnation != event.peer.incarnation:
        return None, None
    return record, attempt


def _count_dropped(event: Received) -> Count:
    kind = type(event.message).__name__
    return Count('messages_dropped', (('kind', kind), ('reason', 'no_attempt')))
