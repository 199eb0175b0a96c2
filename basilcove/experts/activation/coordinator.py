"""Handlers of the coordinator, which installs each map in a round: prepare, arm, decide, settle."""

import dataclasses
from collections.abc import Iterator

from basilcove.catalog.commands import DecideMap
from basilcove.catalog.events import ProposalFailed, Propose, Proposed
from basilcove.catalog.outcomes import MapDecided
from basilcove.core.events import Count, Effect, Emit, Log, Received, Tick
from basilcove.core.ids import NodeId, Step, UpstreamName
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.experts.activation import lease as _lease  # noqa: F401 (its handlers run first)
from basilcove.experts.activation.const import (
    ARM_TIMEOUT_S,
    PREPARE_TIMEOUT_S,
    PROBE_INTERVAL_S,
    PROPOSAL_TIMEOUT_S,
    RESEND_S,
    RETRY_S,
)
from basilcove.experts.activation.events import GroupAssigned, MapWanted, OrderWanted
from basilcove.experts.activation.models import ActivationState, Decision, Member, Phase
from basilcove.experts.activation.ranks import (
    decode_layers,
    encode_layers,
    fetch_delays,
    has_empty_engine,
    newest_version,
    switch_step,
)
from basilcove.experts.models import ExpertMap
from basilcove.orders.events import SendOrder
from basilcove.orders.messages import EngineStatus, Order, OrderKind, OrderResult

_ORDER_KINDS = {
    Phase.SETTLING: OrderKind.DECIDE_MAP,
    Phase.IDLE: OrderKind.DECIDE_MAP,
    Phase.PREPARING: OrderKind.PREPARE_MAP,
    Phase.ARMING: OrderKind.ARM_MAP,
}


@handles(GroupAssigned, ActivationState)
def on_assigned(state: ActivationState, event: GroupAssigned, ctx: Context) -> list[Effect]:
    """Coordinate this group; if its members have changed, start over."""
    members = {upstream: Member(agent) for upstream, agent in event.members}
    agents = [(name, member.agent) for name, member in state.members.items()]
    if (state.group, agents) != (event.group, list(event.members)):
        state.group, state.members = event.group, members
        state.drop_lease()
    return []


@handles(MapWanted, ActivationState)
def on_wanted(state: ActivationState, event: MapWanted, ctx: Context) -> list[Effect]:
    """Install these layers next, in place of any that are still waiting."""
    if state.lease is not None:
        state.wanted = ExpertMap(0, event.layers)
    return []


@handles(OrderWanted, ActivationState)
def on_order_wanted(state: ActivationState, event: OrderWanted, ctx: Context) -> list[Effect]:
    """Send an order until its engine answers, while the lease is held."""
    if state.lease is not None and event.order.upstream in state.members:
        order_id = state.next_id('order')
        order = dataclasses.replace(
            event.order, order_id=order_id, group=state.group, fence=state.lease.fence, lease_s=0
        )
        state.orders[order_id] = (order, 0)
    return []


@handles(Tick, ActivationState)
def on_tick(state: ActivationState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """Abort rounds that take too long, start the next one, and send the orders that are due."""
    if state.lease is None:
        return
    if state.phase in {Phase.PREPARING, Phase.ARMING} and ctx.now >= state.deadline:
        yield from _abort(state, f'not all ranks completed {state.phase.value} in time')
    if state.phase is Phase.IDLE:
        _start_round(state, ctx.now)
    if state.phase is Phase.DECIDING and not state.decision_call_id and ctx.now >= state.decision_retry_at:
        yield _propose(state, ctx.now)
    yield from _send_due(state, ctx.now)


@handles_message(OrderResult, ActivationState)
def on_result(state: ActivationState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Record the status of an engine; enter the next phase when all members are done."""
    result = event.message
    assert isinstance(result, OrderResult)
    if state.lease is None or ctx.now >= state.lease.until:
        return
    if result.fence > state.lease.fence:
        state.drop_lease()
        return
    if result.order_id in state.orders and result.status is not None:
        state.orders.pop(result.order_id)
    member = _find_member(state, event.peer.node, result.order_id)
    if member is None or result.status is None:
        return
    member.status = result.status
    if not result.taken:
        if state.phase in {Phase.PREPARING, Phase.ARMING}:
            yield from _abort(state, result.reason)
        return
    member.is_done = member.is_done or _is_done(state, result.status)
    yield from _advance(state, result.status, ctx.now)


@handles(Proposed, ActivationState)
def on_proposed(state: ActivationState, event: Proposed, ctx: Context) -> Iterator[Effect]:
    """Pass the recorded decision on to all ranks."""
    if state.phase is not Phase.DECIDING or event.proposal_id != state.decision_call_id:
        return
    outcome = event.result
    if not isinstance(outcome, MapDecided):
        yield Log('warning', f'decision on an expert map refused: {outcome}')
        state.drop_lease()
        return
    state.decision = Decision(outcome.version, outcome.step, outcome.accepted)
    if outcome.accepted and state.target is not None:
        state.current = state.target
    state.target = None
    label = 'accepted' if outcome.accepted else 'aborted'
    yield Count('expert_maps', (('outcome', label),))
    state.enter(Phase.SETTLING)


@handles(ProposalFailed, ActivationState)
def on_proposal_failed(state: ActivationState, event: ProposalFailed, ctx: Context) -> list[Effect]:
    """Retry the same decision: the first proposal may have been recorded."""
    if state.phase is Phase.DECIDING and event.proposal_id == state.decision_call_id:
        state.decision_call_id = ''
        state.decision_retry_at = ctx.now + RETRY_S
    return []


def _start_round(state: ActivationState, now: float) -> None:
    """Install the wanted map, or the current one again if an engine has lost it."""
    layers = None
    if state.wanted is not None:
        layers = state.wanted.layers
    elif state.current is not None and has_empty_engine(state):
        layers = state.current.layers
    if layers is None or any(member.status is None for member in state.members.values()):
        return
    state.wanted = None
    target = ExpertMap(newest_version(state) + 1, layers)
    delays = fetch_delays(state, target)
    state.target = target
    state.enter(Phase.PREPARING, now + delays[-1] + PREPARE_TIMEOUT_S)
    for member, delay_s in zip(state.members.values(), delays, strict=False):
        member.next_send_at = now + delay_s


def _is_done(state: ActivationState, status: EngineStatus) -> bool:
    target = state.target
    if state.phase is Phase.PREPARING and target is not None:
        return status.prepared == target.version
    if state.phase is Phase.ARMING and target is not None:
        return (status.armed, status.armed_step) == (target.version, state.proposed.step)
    return not status.armed and status.decided >= state.decision.version


def _advance(state: ActivationState, status: EngineStatus, now: float) -> Iterator[Effect]:
    if state.phase is Phase.SETTLING and status.layers and status.active:
        _learn_current(state, status)
    if state.phase is Phase.SETTLING and status.armed > state.decision.version:
        # A former coordinator armed this rank and ended before a decision was recorded.
        state.proposed = Decision(status.armed, status.armed_step)
        state.enter(Phase.DECIDING)
    elif all(member.is_done for member in state.members.values()):
        _enter_next(state, now)
        yield from _send_due(state, now)


def _enter_next(state: ActivationState, now: float) -> None:
    if state.phase is Phase.SETTLING:
        state.enter(Phase.IDLE)
    elif state.phase is Phase.PREPARING and state.target is not None:
        state.proposed = Decision(state.target.version, switch_step(state), accepted=True)
        state.enter(Phase.ARMING, now + ARM_TIMEOUT_S)
    elif state.phase is Phase.ARMING:
        state.enter(Phase.DECIDING)


def _learn_current(state: ActivationState, status: EngineStatus) -> None:
    if state.current is None or status.active >= state.current.version:
        state.current = ExpertMap(status.active, decode_layers(status.layers))


def _abort(state: ActivationState, reason: str) -> Iterator[Effect]:
    assert state.target is not None
    yield Log('info', f'activation of expert map {state.target.version} aborted: {reason}')
    state.proposed = Decision(state.target.version, Step(0))
    state.enter(Phase.DECIDING)


def _propose(state: ActivationState, now: float) -> Effect:
    assert state.lease is not None
    state.decision_call_id = state.next_id('decide')
    proposed = state.proposed
    command = DecideMap(state.group, proposed.version, proposed.step, state.lease.fence, proposed.accepted)
    return Emit(Propose(state.decision_call_id, command, now + PROPOSAL_TIMEOUT_S))


def _send_due(state: ActivationState, now: float) -> Iterator[Effect]:
    assert state.lease is not None
    for order_id, (order, next_send_at) in tuple(state.orders.items()):
        if now >= next_send_at:
            state.orders[order_id] = (order, now + RESEND_S)
            yield SendOrder(state.members[order.upstream].agent, order, state.lease.until)
    if state.phase not in _ORDER_KINDS:
        return
    for upstream, member in state.members.items():
        if now >= member.next_send_at and (not member.is_done or state.phase is Phase.IDLE):
            interval_s = PROBE_INTERVAL_S if member.is_done else RESEND_S
            member.next_send_at = now + interval_s
            yield SendOrder(member.agent, _map_order(state, upstream), state.lease.until)


def _map_order(state: ActivationState, upstream: UpstreamName) -> Order:
    """Return the order of this phase; in the settling and idle phases it repeats the last decision."""
    assert state.lease is not None
    order = Order(
        order_id=f'{state.holder}/{state.phase_number}/{upstream}',
        group=state.group,
        upstream=upstream,
        fence=state.lease.fence,
        lease_s=0,
        kind=_ORDER_KINDS[state.phase],
        map_version=state.decision.version,
        step=state.decision.step,
        accepted=state.decision.accepted,
        wants_layers=state.phase is Phase.SETTLING,
    )
    target = state.target
    if target is None or state.phase not in {Phase.PREPARING, Phase.ARMING}:
        return order
    order = dataclasses.replace(order, map_version=target.version, step=Step(0), accepted=False)
    if state.phase is Phase.ARMING:
        return dataclasses.replace(order, step=state.proposed.step)
    return dataclasses.replace(order, layers=encode_layers(target.layers))


def _find_member(state: ActivationState, agent: NodeId, order_id: str) -> Member | None:
    for upstream, member in state.members.items():
        if member.agent == agent and order_id == f'{state.holder}/{state.phase_number}/{upstream}':
            return member
    return None
