"""Handlers by which an armed rank reads the decision if its coordinator is silent."""

from basilcove.catalog.commands import ReadMap
from basilcove.catalog.events import Query, QueryAnswered, QueryFailed
from basilcove.catalog.outcomes import MapDecided
from basilcove.core.events import Effect, Emit, Tick
from basilcove.core.reducer import Context, handles
from basilcove.orders.const import ENGINE_TIMEOUT_S, READ_DECISION_AFTER_S, READ_TIMEOUT_S
from basilcove.orders.coordinator import call_engine
from basilcove.orders.events import EngineAnswered
from basilcove.orders.messages import Order, OrderKind
from basilcove.orders.models import OrdersState


@handles(EngineAnswered, OrdersState)
def on_engine_answered(state: OrdersState, event: EngineAnswered, ctx: Context) -> list[Effect]:
    """Give the coordinator time to pass the decision on."""
    state.next_decision_read_at = ctx.now + READ_DECISION_AFTER_S
    return []


@handles(Tick, OrdersState)
def on_tick(state: OrdersState, event: Tick, ctx: Context) -> list[Effect]:
    """Read the decision if the engine is armed and no order has been answered for a while."""
    if (
        state.status is None
        or not state.status.armed
        or state.decision_query_id
        or ctx.now < state.next_decision_read_at
    ):
        return []
    state.decision_query_id = state.next_id('decision')
    return [Emit(Query(state.decision_query_id, ReadMap(state.group), ctx.now + READ_TIMEOUT_S))]


@handles(QueryAnswered, OrdersState)
def on_map_read(state: OrdersState, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Send the engine the decision on the map for which it is armed.

    A newer decision is recorded only after every rank knew the previous one, so an engine that is
    still armed for an older version was armed by a late order and must not activate it.
    """
    if event.query_id != state.decision_query_id:
        return []
    state.decision_query_id = ''
    state.next_decision_read_at = ctx.now + READ_DECISION_AFTER_S
    decided = event.answer
    if state.status is None or not isinstance(decided, MapDecided):
        return []
    armed = state.status.armed
    if not armed or decided.version < armed:
        return []
    order = Order(
        order_id=state.next_id('order'),
        group=state.group,
        upstream=state.upstream,
        fence=state.fence,
        lease_s=ENGINE_TIMEOUT_S,
        kind=OrderKind.DECIDE_MAP,
        map_version=armed,
        step=decided.step,
        accepted=decided.accepted and decided.version == armed,
    )
    return call_engine(state, order, None, ctx.now + ENGINE_TIMEOUT_S, ctx.now)


@handles(QueryFailed, OrdersState)
def on_read_failed(state: OrdersState, event: QueryFailed, ctx: Context) -> list[Effect]:
    """Stay armed and retry later."""
    if event.query_id == state.decision_query_id:
        state.decision_query_id = ''
        state.next_decision_read_at = ctx.now + READ_DECISION_AFTER_S
    return []
