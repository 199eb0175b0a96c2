"""Handlers by which an armed rank learns the decision when its coordinator is silent."""

from basilcove.catalog.commands import ReadMap
from basilcove.catalog.events import Query, QueryAnswered, QueryFailed
from basilcove.catalog.outcomes import MapDecided
from basilcove.core.events import Effect, Emit, Tick
from basilcove.core.reducer import Context, handles
from basilcove.orders.const import ASK_DECISION_AFTER_S, ENGINE_TIMEOUT_S, LEARN_TIMEOUT_S
from basilcove.orders.coordinator import call_engine
from basilcove.orders.events import EngineAnswered
from basilcove.orders.messages import Order, OrderKind
from basilcove.orders.models import OrdersState


@handles(EngineAnswered, OrdersState)
def on_engine_armed(state: OrdersState, event: EngineAnswered, ctx: Context) -> list[Effect]:
    """Leave the coordinator some time to pass the decision on."""
    state.ask_at = ctx.now + ASK_DECISION_AFTER_S
    return []


@handles(Tick, OrdersState)
def on_tick(state: OrdersState, event: Tick, ctx: Context) -> list[Effect]:
    """Read the decision if the engine is armed and nothing was heard for a while."""
    if state.status is None or not state.status.armed or state.ask_id or ctx.now < state.ask_at:
        return []
    state.ask_id = state.next_name('decision')
    return [Emit(Query(state.ask_id, ReadMap(state.group), ctx.now + LEARN_TIMEOUT_S))]


@handles(QueryAnswered, OrdersState)
def on_map_read(state: OrdersState, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Tell the engine what was decided on the map that it is armed for.

    A newer decision is recorded only after every rank knew the one before, so an engine that is
    still armed for an older version was armed by a late order and must not activate it.
    """
    if event.query_id != state.ask_id:
        return []
    state.ask_id = ''
    state.ask_at = ctx.now + ASK_DECISION_AFTER_S
    decided = event.answer
    if state.status is None or not isinstance(decided, MapDecided):
        return []
    armed = state.status.armed
    if not armed or decided.version < armed:
        return []
    order = Order(
        order_id=state.next_name('order'),
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
    """Stay armed and ask again later."""
    if event.query_id == state.ask_id:
        state.ask_id = ''
        state.ask_at = ctx.now + ASK_DECISION_AFTER_S
    return []
