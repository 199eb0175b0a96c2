"""Connects the claims of keyed calls to the replicated state."""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, TypeAlias

from basilcove.catalog import commands, outcomes
from basilcove.catalog.events import ProposalFailed, Propose, Proposed
from basilcove.core.events import Effect, Emit, Event, Log, Message
from basilcove.core.ids import EnvironmentName, NodeId
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import carries_out
from basilcove.requests.claims import (
    AbandonClaim,
    ClaimAnswered,
    ClaimOutcome,
    ClaimResult,
    CompleteClaim,
    ReleaseClaim,
    RequestClaim,
    StoredAnswer,
)
from basilcove.wiring.const import CLAIM_TIMEOUT_S, RECORD_ATTEMPT_S, RECORD_LIFETIME_S

ClaimEffect: TypeAlias = RequestClaim | CompleteClaim | ReleaseClaim | AbandonClaim

_OUTCOMES: dict[type, ClaimOutcome] = {
    outcomes.ClaimGranted: ClaimOutcome.GRANTED,
    outcomes.ClaimPending: ClaimOutcome.IN_PROGRESS,
    outcomes.ClaimUnknown: ClaimOutcome.UNKNOWN,
    outcomes.ClaimMismatch: ClaimOutcome.MISMATCH,
    outcomes.ClaimTableFull: ClaimOutcome.FULL,
}


@dataclass(frozen=True, slots=True)
class ClaimStep(Event):
    """The request path requests a step of a claim."""

    effect: ClaimEffect


@dataclass(slots=True)
class _Pending:
    """A proposed step; recording the outcome of a call is retried until ``retry_until``."""

    effect: ClaimEffect
    retry_until: float
    tries: int = 0


@dataclass
class ClaimsState:
    """Steps of claims that wait for the replicated state."""

    node: NodeId
    environment: EnvironmentName
    pending: dict[str, _Pending] = field(default_factory=dict)


class ClaimBridge:
    """Turns the four effects of claims into events; the driver of these effects."""

    def __init__(self, apply: Callable[[Event], object]) -> None:
        """Deliver events to ``apply``, on the loop's thread."""
        self.apply = apply


def submit_step(bridge: ClaimBridge, effect: Any) -> None:
    """Pass a step to the reducer."""
    bridge.apply(ClaimStep(effect))


carries_out(RequestClaim, ClaimBridge)(submit_step)
carries_out(CompleteClaim, ClaimBridge)(submit_step)
carries_out(ReleaseClaim, ClaimBridge)(submit_step)
carries_out(AbandonClaim, ClaimBridge)(submit_step)


@handles(ClaimStep, ClaimsState)
def on_step(state: ClaimsState, event: ClaimStep, ctx: Context) -> list[Effect]:
    """Propose a step of a claim."""
    effect = event.effect
    is_request = isinstance(effect, RequestClaim)
    pending = _Pending(effect, ctx.now if is_request else ctx.now + RECORD_LIFETIME_S)
    return [_propose(state, pending, ctx)]


@handles(Proposed, ClaimsState)
def on_proposed(state: ClaimsState, event: Proposed, ctx: Context) -> list[Effect]:
    """Answer the request path."""
    pending = state.pending.pop(event.proposal_id, None)
    if pending is None:
        return []
    effect = pending.effect
    if isinstance(effect, CompleteClaim):
        return [_answer(effect, ClaimResult(ClaimOutcome.GRANTED))]
    if isinstance(effect, RequestClaim):
        return [_answer(effect, _to_result(event.result))]
    return []


@handles(ProposalFailed, ClaimsState)
def on_failed(state: ClaimsState, event: ProposalFailed, ctx: Context) -> list[Effect]:
    """Fail a request for a claim, or retry to record the outcome of a call."""
    pending = state.pending.pop(event.proposal_id, None)
    if pending is None:
        return []
    if isinstance(pending.effect, RequestClaim):
        return [_answer(pending.effect, ClaimResult(ClaimOutcome.UNAVAILABLE))]
    if ctx.now < pending.retry_until:
        return [_propose(state, pending, ctx)]
    return [Log('warning', f'outcome of a claimed call is not recorded: {event.reason}')]


def _propose(state: ClaimsState, pending: _Pending, ctx: Context) -> Effect:
    effect = pending.effect
    pending.tries += 1
    proposal_id = f'{type(effect).__name__}/{effect.attempt_id}/{pending.tries}'
    state.pending[proposal_id] = pending
    deadline = ctx.now + RECORD_ATTEMPT_S
    if isinstance(effect, RequestClaim):
        deadline = min(effect.deadline, ctx.now + CLAIM_TIMEOUT_S)
    return Emit(Propose(proposal_id, _to_command(state, effect), deadline))


def _to_command(state: ClaimsState, effect: ClaimEffect) -> Message:
    key, attempt_id, environment = effect.key, effect.attempt_id, state.environment
    if isinstance(effect, RequestClaim):
        return commands.Claim(key, effect.fingerprint, state.node, attempt_id, environment)
    if isinstance(effect, CompleteClaim):
        return commands.CompleteClaim(key, attempt_id, pack_answer(effect.answer), environment)
    if isinstance(effect, ReleaseClaim):
        return commands.ReleaseClaim(key, attempt_id, environment)
    return commands.AbandonClaim(key, attempt_id, environment)


def _answer(effect: RequestClaim | CompleteClaim, result: ClaimResult) -> Effect:
    return Emit(ClaimAnswered(effect.key, effect.attempt_id, result))


def _to_result(result: Message) -> ClaimResult:
    if isinstance(result, outcomes.ClaimCompleted):
        return ClaimResult(ClaimOutcome.COMPLETED, unpack_answer(result.answer))
    return ClaimResult(_OUTCOMES.get(type(result), ClaimOutcome.UNAVAILABLE))


def pack_answer(answer: StoredAnswer) -> bytes:
    """Encode an answer for the replicated state."""
    body = base64.b64encode(answer.body).decode()
    return json.dumps({'status': answer.status, 'headers': answer.headers, 'body': body}).encode()


def unpack_answer(packed: bytes | None) -> StoredAnswer:
    """Decode a stored answer; if it was too large to store, return a notice that the call ran."""
    if not packed:
        notice = {'detail': 'the call ran once; its answer was too large to keep', 'outcome': 'run'}
        headers = {'Content-Type': 'application/problem+json'}
        return StoredAnswer(HTTPStatus.CONFLICT, headers, json.dumps(notice).encode())
    content = json.loads(packed)
    return StoredAnswer(content['status'], content['headers'], base64.b64decode(content['body']))
