"""Keyed calls that may run only once: the key is claimed before the call, the answer recorded after it.

If the process dies during the first request with a key, the outcome of a second one depends on when it
died. Before the claim is recorded: the second request runs. Before the call is sent or the answer is
recorded: ``in_progress``, and ``unknown`` once the claim is abandoned. Before the caller has the answer:
the second request gets the stored answer.
"""

import hashlib
from http import HTTPStatus

from basilcove.core.events import Count, Effect
from basilcove.core.ids import Outcome
from basilcove.core.reducer import Context, handles
from basilcove.requests.attempts import start_attempt
from basilcove.requests.claims import (
    AbandonClaim,
    ClaimAnswered,
    ClaimKey,
    ClaimOutcome,
    CompleteClaim,
    ReleaseClaim,
    RequestClaim,
    StoredAnswer,
)
from basilcove.requests.const import (
    DEFAULT_RETRY_AFTER_S,
    MAX_STORED_ANSWER_BYTES,
    MIN_SERVER_ERROR_STATUS,
    RECORD_TIMEOUT_S,
)
from basilcove.requests.events import EndAnswer, Refusal, Request, StartAnswer, WriteAnswer
from basilcove.requests.models import ClaimPhase, KeyClaim, RequestRecord, RequestsState
from basilcove.requests.outcomes import close_attempt, refuse, remove_request, trace_attempt

_KEY_BYTES = 16

# A request whose claim isn't granted does not run. The first call with the key may have run, so
# `not_run` is used only where no call with this key and content can have run.
_REFUSALS = {
    ClaimOutcome.IN_PROGRESS: Refusal(
        HTTPStatus.BAD_GATEWAY,
        Outcome.UNKNOWN,
        'a call with this key is in progress',
        DEFAULT_RETRY_AFTER_S,
    ),
    ClaimOutcome.UNKNOWN: Refusal(
        HTTPStatus.BAD_GATEWAY,
        Outcome.UNKNOWN,
        'whether the first call with this key ran is unknown',
    ),
    ClaimOutcome.MISMATCH: Refusal(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        Outcome.NOT_RUN,
        'the key was used for a different call',
    ),
    ClaimOutcome.FULL: Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.NOT_RUN,
        'the table of claims is full',
        DEFAULT_RETRY_AFTER_S,
    ),
    ClaimOutcome.UNAVAILABLE: Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.NOT_RUN,
        'claims are unavailable',
        DEFAULT_RETRY_AFTER_S,
    ),
}


def request_claim(state: RequestsState, record: RequestRecord, key: str) -> list[Effect]:
    """Claim the key of a call before it is sent."""
    attempt_id, _ = state.next_attempt_id()
    claim = KeyClaim(_make_key(record.request, key), attempt_id)
    record.claim = claim
    state.claims[attempt_id] = record
    return [RequestClaim(claim.key, _make_fingerprint(record.request), attempt_id, record.deadline)]


def record_answer(state: RequestsState, record: RequestRecord, claim: KeyClaim, now: float) -> list[Effect]:
    """Record the complete answer of a keyed call before the caller gets it."""
    spans = trace_attempt(record, now, 'answered')
    body = close_attempt(state, record, now, is_failure=record.status >= MIN_SERVER_ERROR_STATUS)
    claim.answer = StoredAnswer(record.status, record.headers, body)
    if len(body) > MAX_STORED_ANSWER_BYTES:
        abandon = AbandonClaim(claim.key, claim.attempt_id)
        return [*spans, abandon, *deliver_answer(state, record, claim.answer)]
    claim.phase = ClaimPhase.RECORDING
    claim.deliver_by = now + RECORD_TIMEOUT_S
    return [*spans, CompleteClaim(claim.key, claim.attempt_id, claim.answer)]


def deliver_answer(state: RequestsState, record: RequestRecord, answer: StoredAnswer) -> list[Effect]:
    """Send the caller a complete answer from memory or from the claim, and end the request."""
    remove_request(state, record)
    if record.is_caller_gone:
        return []
    request_id = record.request.request_id
    return [
        StartAnswer(request_id, answer.status, answer.headers),
        WriteAnswer(request_id, answer.body),
        EndAnswer(request_id),
        Count('requests_ended', (('outcome', 'answered'),)),
    ]


@handles(ClaimAnswered, RequestsState)
def on_claim_answered(state: RequestsState, event: ClaimAnswered, ctx: Context) -> list[Effect]:
    """Continue a keyed call according to the outcome of its claim."""
    record = state.claims.get(event.attempt_id)
    if record is None or record.claim is None:
        return _release_late_grant(event)
    claim = record.claim
    if claim.phase is ClaimPhase.GRANTED:
        return []
    if claim.phase is ClaimPhase.RECORDING:
        return deliver_answer(state, record, claim.answer) if claim.answer else []
    if event.result.outcome is ClaimOutcome.GRANTED:
        claim.phase = ClaimPhase.GRANTED
        return start_attempt(state, record, ctx.now)
    if event.result.answer is not None:
        return deliver_answer(state, record, event.result.answer)
    remove_request(state, record)
    effects = refuse(record.request, _REFUSALS[event.result.outcome])
    if event.result.outcome is ClaimOutcome.UNAVAILABLE:
        # The claim may have been recorded although its answer was lost.
        effects.append(ReleaseClaim(claim.key, claim.attempt_id))
    return effects


def _release_late_grant(event: ClaimAnswered) -> list[Effect]:
    if event.result.outcome is ClaimOutcome.GRANTED:
        return [ReleaseClaim(event.key, event.attempt_id)]
    return []


def _make_key(req: Request, key: str) -> ClaimKey:
    text = f'{req.team}\x00{key}'
    return ClaimKey(hashlib.blake2b(text.encode(), digest_size=_KEY_BYTES).hexdigest())


def _make_fingerprint(req: Request) -> str:
    head = f'{req.service}\x00{req.method}\x00{req.path}\x00'
    return hashlib.sha256(head.encode() + req.body).hexdigest()
