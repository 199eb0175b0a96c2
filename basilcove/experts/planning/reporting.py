"""Handlers that read the counts of an engine and report them to the holder of the group's lease."""

from collections.abc import Iterator

from basilcove.catalog.delivery import deliver
from basilcove.core.events import Count, Effect, Log, Received, Tick
from basilcove.core.ids import Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.experts.messages import PopularityAnswer, PopularityReport
from basilcove.experts.planning.const import MAX_RESENDS, REPORT_RESEND_S
from basilcove.experts.planning.counts import growth, scale
from basilcove.experts.planning.events import CountsFailed, CountsRead, PlanningAssigned, ReadCounts
from basilcove.experts.planning.models import ReportingState
from basilcove.helpers.hashing import stable_fraction
from basilcove.orders.messages import Order


@handles(PlanningAssigned, ReportingState)
def on_assigned(state: ReportingState, event: PlanningAssigned, ctx: Context) -> list[Effect]:
    """Start to read the counts of this engine, with an offset so that agents do not read all together."""
    is_new = not state.upstream
    state.assign(event.shape, event.upstream, event.url)
    if is_new:
        state.next_read_at = ctx.now + state.interval_s * stable_fraction(state.node, state.incarnation)
    return []


@handles_message(Order, ReportingState)
def on_order(state: ReportingState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Report to the agent whose orders carry the newest token; send a full report to a new one."""
    order = event.message
    assert isinstance(order, Order)
    if order.group != state.shape.group or order.fence < state.fence:
        return
    origin = event.peer.node
    if origin != state.node and Role.AGENT not in event.peer.roles:
        return
    is_new = (origin, order.fence) != (state.coordinator, state.fence)
    if not is_new:
        return
    state.coordinator, state.fence = origin, order.fence
    state.needs_full = True
    yield from _report(state, ctx.now)


@handles(Tick, ReportingState)
def on_tick(state: ReportingState, event: Tick, ctx: Context) -> list[Effect]:
    """Read the counts when they are due; retry a report without an answer."""
    effects: list[Effect] = []
    # An engine that hangs is not called again before the call has failed.
    if state.url and not state.is_reading and ctx.now >= state.next_read_at:
        state.is_reading = True
        state.next_read_at = ctx.now + state.interval_s
        effects.append(ReadCounts(state.url))
    if state.pending_report is None or state.coordinator is None or not state.resends_left:
        return effects
    if ctx.now >= state.resend_at:
        state.resend_at = ctx.now + REPORT_RESEND_S
        state.resends_left -= 1
        effects.append(deliver(state.node, state.coordinator, state.pending_report))
    return effects


@handles(CountsRead, ReportingState)
def on_counts(state: ReportingState, event: CountsRead, ctx: Context) -> Iterator[Effect]:
    """Sum the growth of the counts over the ranks and report it."""
    state.is_reading = False
    size = state.shape.layers * state.shape.experts
    if event.url != state.url or not event.ranks:
        return
    if any(len(rank_counts.counts) != size for rank_counts in event.ranks):
        yield Log('warning', f'counts of {state.upstream} do not fit {state.shape.group}')
        yield Count('expert_counts_failed')
        return
    former, state.readings = state.readings, {rank_counts.rank: rank_counts for rank_counts in event.ranks}
    elapsed_s, state.readings_at = ctx.now - state.readings_at, ctx.now
    if not former or elapsed_s <= 0:
        return
    state.counts = scale(growth(former, event.ranks, size), state.interval_s / elapsed_s)
    yield from _report(state, ctx.now)


@handles(CountsFailed, ReportingState)
def on_counts_failed(state: ReportingState, event: CountsFailed, ctx: Context) -> list[Effect]:
    """Read again after the interval; the growth until the next reading covers both intervals."""
    state.is_reading = False
    return [
        Log('debug', f'reading the counts of experts failed: {event.reason}'),
        Count('expert_counts_failed'),
    ]


@handles_message(PopularityAnswer, ReportingState)
def on_answer(state: ReportingState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Report changes from now on, or send a full report if one was lost."""
    answer = event.message
    assert isinstance(answer, PopularityAnswer)
    report = state.pending_report
    if report is None or event.peer.node != state.coordinator:
        return
    if (answer.incarnation, answer.sequence) != (report.incarnation, report.sequence):
        return
    state.pending_report = None
    if not answer.accepted:
        state.needs_full = True
        yield from _report(state, ctx.now)


def _report(state: ReportingState, now: float) -> Iterator[Effect]:
    if state.coordinator is None or state.reporter is None or state.counts is None:
        return
    # After a lost report the receiver detects a gap in the sequence and asks for a full one.
    full, state.needs_full = state.needs_full, False
    state.sequence += 1
    changes = state.reporter.encode(state.counts, full=full)
    report = PopularityReport(
        state.shape.group, state.upstream, state.incarnation, state.sequence, full, changes
    )
    state.pending_report = report
    state.resend_at = now + REPORT_RESEND_S
    state.resends_left = MAX_RESENDS
    yield Count('popularity_reports', (('kind', 'full' if full else 'changes'),))
    yield deliver(state.node, state.coordinator, report)
