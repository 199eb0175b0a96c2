"""Ends attempts and requests."""

from http import HTTPStatus

from basilcove.core.events import Count, Effect, Log, RecordSpan
from basilcove.core.ids import Outcome
from basilcove.helpers.contexts import child_of
from basilcove.requests.claims import AbandonClaim, ReleaseClaim
from basilcove.requests.const import DEFAULT_RETRY_AFTER_S, MIN_SERVER_ERROR_STATUS
from basilcove.requests.events import BreakAnswer, EndAnswer, Refusal, RefuseRequest, Request
from basilcove.requests.models import RequestRecord, RequestsState


def refuse(req: Request, refusal: Refusal) -> list[Effect]:
    """Refuse a request before any byte of an answer went to the caller."""
    return [RefuseRequest(req.request_id, refusal), _count(refusal.outcome.value)]


def trace_attempt(record: RequestRecord, now: float, outcome: str) -> list[Effect]:
    """Record the span of the attempt in flight, which ends now."""
    attempt = record.attempt
    if attempt is None or not record.request.traceparent:
        return []
    fields = (('attempt_id', attempt.attempt_id), ('upstream', attempt.upstream), ('outcome', outcome))
    traceparent = record.request.traceparent
    context = child_of(traceparent, attempt.attempt_id)
    return [RecordSpan('attempt', traceparent, attempt.sent_at, now, fields, context)]


def close_attempt(state: RequestsState, record: RequestRecord, now: float, *, is_failure: bool) -> bytes:
    """Close the attempt in flight; its later messages are dropped.

    Adds the delivered tokens to the record and returns the buffered body.
    """
    attempt = record.attempt
    if attempt is None:
        return b''
    record.attempt = None
    state.attempts.pop(attempt.attempt_id, None)
    tokens, buffered = state.assemblies.close(attempt.attempt_id)
    record.tokens += tokens
    if is_failure:
        state.router.record_failure(attempt.attempt_id, now)
    else:
        state.router.record_success(attempt.attempt_id, now - attempt.sent_at, now)
    return buffered


def remove_request(state: RequestsState, record: RequestRecord) -> None:
    """Remove a request that has ended and has no attempt in flight."""
    state.requests.pop(record.request.request_id, None)
    state.limits.release(record.request.team)
    if record.claim is not None:
        state.claims.pop(record.claim.attempt_id, None)


def fail_request(state: RequestsState, record: RequestRecord, now: float, reason: str) -> list[Effect]:
    """End a request that has no attempt in flight and gets no complete answer."""
    remove_request(state, record)
    effects = _close_claim(record)
    if record.is_caller_gone:
        return [*effects, _count('caller_gone')]
    if record.is_head_sent:
        return [*effects, BreakAnswer(record.request.request_id, reason), _count('broken')]
    is_late = now >= record.deadline
    log = Log('info', f'request refused: {reason}', (('request_id', record.request.request_id),))
    return [*effects, log, *refuse(record.request, _make_refusal(record, reason, is_late=is_late))]


def complete(state: RequestsState, record: RequestRecord, now: float) -> list[Effect]:
    """End a request whose complete answer went to the caller."""
    spans = trace_attempt(record, now, 'answered')
    close_attempt(state, record, now, is_failure=record.status >= MIN_SERVER_ERROR_STATUS)
    remove_request(state, record)
    return [EndAnswer(record.request.request_id), _count('answered'), *spans]


def _make_refusal(record: RequestRecord, reason: str, *, is_late: bool) -> Refusal:
    if record.may_have_run:
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY
        return Refusal(status, Outcome.UNKNOWN, reason)
    retry_after_s = record.retry_after_s or DEFAULT_RETRY_AFTER_S
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, reason, retry_after_s)


def _close_claim(record: RequestRecord) -> list[Effect]:
    claim = record.claim
    if claim is None:
        return []
    if record.may_have_run:
        return [AbandonClaim(claim.key, claim.attempt_id)]
    return [ReleaseClaim(claim.key, claim.attempt_id)]


def _count(outcome: str) -> Count:
    return Count('requests_ended', (('outcome', outcome),))
