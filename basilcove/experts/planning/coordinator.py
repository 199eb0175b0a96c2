"""Handlers by which the holder of a group's lease merges reports and plans the next map."""

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
from basilcove.experts.planning.models import LastReport, PlanBasis, PlanningState
from basilcove.experts.popularity import ReportError


@handles(PlanningAssigned, PlanningState)
def on_assigned(state: PlanningState, event: PlanningAssigned, ctx: Context) -> list[Effect]:
    """Plan for this group; drop the reports if its shape has changed."""
    if state.shape != event.shape:
        state.shape = event.shape
        state.reset()
    return []


@handles_message(PopularityReport, PlanningState)
def on_report(state: PlanningState, event: Received, ctx: Context) -> list[Effect]:
    """Merge the report of an engine; send no answer without the lease."""
    report = event.message
    assert isinstance(report, PopularityReport)
    _follow_lease(state, ctx)
    if state.merger is None or report.group != state.shape.group:
        return []
    member = ctx.node.part(ActivationState).members.get(report.upstream)
    if member is None or member.agent != event.peer.node:
        return [Count('popularity_refused')]
    last = state.last_reports.get(report.upstream)
    if last and (report.incarnation, report.sequence) < (last.incarnation, last.sequence):
        return []
    # Each process of an agent numbers its reports on its own.
    if last and last.incarnation != report.incarnation:
        _drop_reports(state, report.upstream)
    try:
        accepted = state.merger.merge(report.upstream, report.sequence, report.changes, full=report.full)
    except ReportError as exc:
        return [Log('warning', f'popularity of {report.upstream}: {exc}'), Count('popularity_refused')]
    if accepted:
        state.last_reports[report.upstream] = LastReport(report.incarnation, report.sequence, ctx.now)
    answer = PopularityAnswer(report.group, report.upstream, report.incarnation, report.sequence, accepted)
    return [deliver(state.node, event.peer.node, answer)]


@handles(Tick, PlanningState)
def on_tick(state: PlanningState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """At the end of an interval, add its counts and start a plan if one is due."""
    _follow_lease(state, ctx)
    if state.merger is None or ctx.now < state.interval_ends_at:
        return
    state.interval_ends_at = ctx.now + state.interval_s
    for upstream, last in tuple(state.last_reports.items()):
        if ctx.now - last.at > SILENT_INTERVALS * state.interval_s:
            _drop_reports(state, upstream)
    size = state.shape.layers * state.shape.experts
    is_complete = state.last_reports.keys() == set(state.shape.upstreams)
    if not is_complete or state.merger.selections < size * MIN_SELECTIONS_PER_EXPERT:
        return
    state.merger.advance(ctx.now - state.advanced_at)
    state.advanced_at = ctx.now
    yield from _start_plan(state, ctx)


@handles(PlanComputed, PlanningState)
def on_computed(state: PlanningState, event: PlanComputed, ctx: Context) -> Iterator[Effect]:
    """Request the planned map if lease and map are still those from which the plan was started."""
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
    # The moves of one plan are bounded, so the next one may continue where this one ended.
    state.residual_skew = 1 if plan.moves else plan.skew_after
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
        Log('error', f'planning of an expert map failed: {event.reason}'),
        Count('expert_plans', (('outcome', 'failed'),)),
    ]


def _follow_lease(state: PlanningState, ctx: Context) -> None:
    """Collect reports while this node holds the lease; start over under another token."""
    lease = ctx.node.part(ActivationState).lease
    if lease is not None and ctx.now < lease.until:
        if lease.fence == state.fence:
            return
        state.reset()
        if state.shape.upstreams:
            state.start(lease.fence, ctx.now)
    elif state.merger is not None:
        state.reset()


def _drop_reports(state: PlanningState, upstream: UpstreamName) -> None:
    state.last_reports.pop(upstream, None)
    if state.merger is not None:
        state.merger.remove(upstream)


def _start_plan(state: PlanningState, ctx: Context) -> Iterator[Effect]:
    current = _settled_map(ctx)
    if current is None or state.basis is not None or state.merger is None:
        return
    # The size in the document may differ from that of the map that the ranks run.
    if not covers(current.layers, state.shape.layers, state.shape.experts):
        return
    popularity = state.merger.popularity(LEAD_S)
    state.skew = expected_skew(popularity, current)
    # A skew that the last plan could not lower does not trigger the next one.
    if ctx.now < state.next_plan_at and state.skew <= PLAN_SKEW * state.residual_skew:
        return
    state.next_plan_at = ctx.now + PLAN_INTERVAL_S
    state.basis = PlanBasis(state.next_id(), state.fence, current.version)
    yield ComputePlan(state.basis.plan_id, popularity, current, Cost())


def _settled_map(ctx: Context) -> ExpertMap | None:
    """Return the map that the ranks run; None while another one is wanted or being installed."""
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
