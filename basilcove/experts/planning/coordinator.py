"""Handlers by which the holder of a group's lease merges reports, plans and wants the next map."""

from collections.abc import Iterator

from basilcove.catalog.delivery import deliver
from basilcove.core.events import Count, Effect, Emit, Log, Received, Tick
from basilcove.core.ids import UpstreamName
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.experts.activation.events import MapWanted
from basilcove.experts.activation.models import ActivationState, Phase
from basilcove.experts.messages import PopularityAnswer, PopularityReport
from basilcove.experts.models import Cost, ExpertMap, covers
from basilcove.experts.planner import expected_skew
from basilcove.experts.planning.const import (
    LEAD_S,
    MIN_SELECTIONS_PER_EXPERT,
    PLAN_INTERVAL_S,
    PLAN_SKEW,
    SILENT_INTERVALS,
)
from basilcove.experts.planning.events import (
    ComputePlan,
    PlanComputed,
    PlanFailed,
    PlanningAssigned,
)
from basilcove.experts.planning.models import Heard, PlanBasis, PlanningState
from basilcove.experts.popularity import ReportFault


@handles(PlanningAssigned, PlanningState)
def on_assigned(state: PlanningState, event: PlanningAssigned, ctx: Context) -> list[Effect]:
    """Plan for this group; reports and plans of another shape are of no use."""
    if state.shape != event.shape:
        state.shape = event.shape
        state.end()
    return []


@handles_message(PopularityReport, PlanningState)
def on_report(state: PlanningState, event: Received, ctx: Context) -> list[Effect]:
    """Merge the report of an engine; without the lease it gets no answer."""
    report = event.message
    assert isinstance(report, PopularityReport)
    _follow_lease(state, ctx)
    if state.merger is None or report.group != state.shape.group:
        return []
    member = ctx.node.part(ActivationState).members.get(report.upstream)
    if member is None or member.agent != event.peer.node:
        return [Count('popularity_refused')]
    heard = state.heard.get(report.upstream)
    if heard and (report.incarnation, report.sequence) < (heard.incarnation, heard.sequence):
        return []
    # The numbers of a former process of the agent say nothing about those of this one.
    if heard and heard.incarnation != report.incarnation:
        _forget(state, report.upstream)
    try:
        accepted = state.merger.merge(report.upstream, report.sequence, report.changes, full=report.full)
    except ReportFault as exc:
        return [Log('warning', f'popularity of {report.upstream}: {exc}'), Count('popularity_refused')]
    if accepted:
        state.heard[report.upstream] = Heard(report.incarnation, report.sequence, ctx.now)
    answer = PopularityAnswer(report.group, report.upstream, report.incarnation, report.sequence, accepted)
    return [deliver(state.node, event.peer.node, answer)]


@handles(Tick, PlanningState)
def on_tick(state: PlanningState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """At the end of an interval, take its counts in and plan where that may pay."""
    _follow_lease(state, ctx)
    if state.merger is None or ctx.now < state.due_at:
        return
    state.due_at = ctx.now + state.interval_s
    for upstream, heard in tuple(state.heard.items()):
        if ctx.now - heard.at > SILENT_INTERVALS * state.interval_s:
            _forget(state, upstream)
    size = state.shape.layers * state.shape.experts
    is_complete = state.heard.keys() == set(state.shape.upstreams)
    if not is_complete or state.merger.selections < size * MIN_SELECTIONS_PER_EXPERT:
        return
    state.merger.advance(ctx.now - state.advanced_at)
    state.advanced_at = ctx.now
    yield from _begin_plan(state, ctx)


@handles(PlanComputed, PlanningState)
def on_computed(state: PlanningState, event: PlanComputed, ctx: Context) -> Iterator[Effect]:
    """Want the planned map if lease and map are still those that the plan was begun from."""
    basis = state.basis
    if basis is None or basis.plan_id != event.plan_id:
        yield Count('expert_plans', (('outcome', 'outdated'),))
        return
    state.basis = None
    state.took_s = event.took_s
    if not _is_current(basis, ctx):
        yield Count('expert_plans', (('outcome', 'outdated'),))
        return
    plan = event.plan
    # A plan is bounded in its moves, so that the next one may go on where this one ended.
    state.skew_left = 1 if plan.moves else plan.skew_after
    if not plan.moves or plan.gain_s <= plan.cost_s:
        yield Count('expert_plans', (('outcome', 'kept'),))
        return
    yield Count('expert_plans', (('outcome', 'wanted'),))
    yield Log(
        'info',
        f'expert map planned: {len(plan.moves)} moves, skew {plan.skew_before:.3f} to {plan.skew_after:.3f},'
        f' gain {plan.gain_s:.1f} s, cost {plan.cost_s:.1f} s',
    )
    yield Emit(MapWanted(plan.target.layers))


@handles(PlanFailed, PlanningState)
def on_failed(state: PlanningState, event: PlanFailed, ctx: Context) -> list[Effect]:
    """Plan again after the next interval."""
    if state.basis is not None and state.basis.plan_id == event.plan_id:
        state.basis = None
    return [
        Log('error', f'expert map could not be planned: {event.reason}'),
        Count('expert_plans', (('outcome', 'failed'),)),
    ]


def _follow_lease(state: PlanningState, ctx: Context) -> None:
    """Collect reports for as long as this node holds the lease, and anew under another token."""
    lease = ctx.node.part(ActivationState).lease
    if lease is not None and ctx.now < lease.until:
        if lease.fence == state.fence:
            return
        state.end()
        if state.shape.upstreams:
            state.begin(lease.fence, ctx.now)
    elif state.merger is not None:
        state.end()


def _forget(state: PlanningState, upstream: UpstreamName) -> None:
    state.heard.pop(upstream, None)
    if state.merger is not None:
        state.merger.forget(upstream)


def _begin_plan(state: PlanningState, ctx: Context) -> Iterator[Effect]:
    current = _settled_map(ctx)
    if current is None or state.basis is not None or state.merger is None:
        return
    # The document may name another size than the map has that the ranks run.
    if not covers(current.layers, state.shape.layers, state.shape.experts):
        return
    popularity = state.merger.popularity(LEAD_S)
    state.skew = expected_skew(popularity, current)
    # A skew that the last plan could not lower is no reason for the next one.
    if ctx.now < state.plan_at and state.skew <= PLAN_SKEW * state.skew_left:
        return
    state.plan_at = ctx.now + PLAN_INTERVAL_S
    state.basis = PlanBasis(state.next_name(), state.fence, current.version)
    yield ComputePlan(state.basis.plan_id, popularity, current, Cost())


def _settled_map(ctx: Context) -> ExpertMap | None:
    """Return the map that the ranks run; None while another one is being installed or is wanted."""
    activation = ctx.node.part(ActivationState)
    if activation.phase is not Phase.IDLE or activation.wanted is not None:
        return None
    return activation.current


def _is_current(basis: PlanBasis, ctx: Context) -> bool:
    lease = ctx.node.part(ActivationState).lease
    current = _settled_map(ctx)
    if lease is None or ctx.now >= lease.until or current is None:
        return False
    return (lease.fence, current.version) == (basis.fence, basis.version)
