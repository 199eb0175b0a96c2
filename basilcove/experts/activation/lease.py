"""Handlers that acquire, renew and lose the lease of a group."""

from basilcove.catalog.commands import AcquireLease, ReadMap, RenewLease
from basilcove.catalog.events import ProposalFailed, Propose, Proposed, Query, QueryAnswered, QueryFailed
from basilcove.catalog.outcomes import LeaseGranted, LeaseHeld, MapDecided
from basilcove.core.events import Effect, Emit, Message, Tick
from basilcove.core.reducer import Context, handles
from basilcove.experts.activation.const import (
    LEASE_MARGIN_S,
    LEASE_S,
    PROPOSAL_TIMEOUT_S,
    RENEW_AFTER_S,
    RETRY_S,
)
from basilcove.experts.activation.models import ActivationState, Decision, Lease, Phase
from basilcove.helpers.hashing import stable_fraction
from basilcove.orders.rules import lease_name


@handles(Tick, ActivationState)
def on_tick(state: ActivationState, event: Tick, ctx: Context) -> list[Effect]:
    """Request the lease or its renewal when due, and read the decision to start from."""
    if state.lease is not None and ctx.now >= state.lease.until:
        state.drop_lease()
    if not state.members:
        return []
    effects: list[Effect] = []
    if not state.lease_proposal_id and ctx.now >= _next_request_at(state):
        effects.append(_request_lease(state, ctx.now))
    if state.phase is Phase.READING and not state.decision_call_id and ctx.now >= state.decision_retry_at:
        state.decision_call_id = state.next_id('read')
        query = Query(state.decision_call_id, ReadMap(state.group), ctx.now + PROPOSAL_TIMEOUT_S)
        effects.append(Emit(query))
    return effects


@handles(Proposed, ActivationState)
def on_proposed(state: ActivationState, event: Proposed, ctx: Context) -> list[Effect]:
    """Accept the lease as of its request, or retry once the lease of its holder has ended."""
    if not state.lease_proposal_id or event.proposal_id != state.lease_proposal_id:
        return []
    state.lease_proposal_id = ''
    outcome = event.result
    if isinstance(outcome, LeaseGranted):
        _accept_lease(state, outcome, ctx.now)
    elif state.lease is None:
        state.lease_retry_at = ctx.now + _retry_delay_s(state, outcome)
    else:
        state.drop_lease()
    return []


@handles(ProposalFailed, ActivationState)
def on_proposal_failed(state: ActivationState, event: ProposalFailed, ctx: Context) -> list[Effect]:
    """Retry; a lease that can not be renewed expires."""
    if state.lease_proposal_id and event.proposal_id == state.lease_proposal_id:
        state.lease_proposal_id = ''
        state.lease_retry_at = ctx.now + RETRY_S
    return []


@handles(QueryAnswered, ActivationState)
def on_map_read(state: ActivationState, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Start from the newest decision, which no former coordinator can change any more."""
    if state.phase is not Phase.READING or event.query_id != state.decision_call_id:
        return []
    decided = event.answer
    state.decision = Decision()
    if isinstance(decided, MapDecided):
        state.decision = Decision(decided.version, decided.step, decided.accepted)
    state.enter(Phase.SETTLING)
    return []


@handles(QueryFailed, ActivationState)
def on_read_failed(state: ActivationState, event: QueryFailed, ctx: Context) -> list[Effect]:
    """Retry the read."""
    if state.phase is Phase.READING and event.query_id == state.decision_call_id:
        state.decision_call_id = ''
        state.decision_retry_at = ctx.now + RETRY_S
    return []


def _next_request_at(state: ActivationState) -> float:
    return state.lease_retry_at if state.lease is None else max(state.lease.renew_at, state.lease_retry_at)


def _request_lease(state: ActivationState, now: float) -> Effect:
    state.lease_proposal_id = state.next_id('lease')
    state.lease_requested_at = now
    name = lease_name(state.group)
    command: Message
    if state.lease is None:
        command = AcquireLease(name, state.holder, LEASE_S)
    else:
        command = RenewLease(name, state.holder, state.lease.fence, LEASE_S)
    return Emit(Propose(state.lease_proposal_id, command, now + PROPOSAL_TIMEOUT_S))


def _accept_lease(state: ActivationState, granted: LeaseGranted, now: float) -> None:
    requested_at = state.lease_requested_at
    lease = Lease(
        granted.fence, requested_at + granted.duration_s - LEASE_MARGIN_S, requested_at + RENEW_AFTER_S
    )
    if now >= lease.until:
        state.drop_lease()
        return
    is_new = state.lease is None or state.lease.fence != granted.fence
    state.lease = lease
    if is_new:
        state.enter(Phase.READING)


def _retry_delay_s(state: ActivationState, outcome: Message) -> float:
    # Jitter keeps the agents of a group from requesting the lease all at the same time.
    jitter_s = RETRY_S * (1 + stable_fraction(state.holder, state.last_number))
    remaining_s = outcome.remaining_s if isinstance(outcome, LeaseHeld) else 0
    return jitter_s + remaining_s
