"""Handlers that pass orders on to the engine of this host, and refuse outdated fencing tokens."""

from basilcove.catalog.commands import ReadLease
from basilcove.catalog.const import MAX_LEASE_S
from basilcove.catalog.delivery import deliver
from basilcove.catalog.events import Query, QueryAnswered, QueryFailed
from basilcove.catalog.outcomes import LeaseRead
from basilcove.core.events import Count, Effect, Emit, Received, Tick
from basilcove.core.ids import FencingNumber, NodeId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.orders.const import CLOCK_DRIFT_S, ENGINE_TIMEOUT_S, READ_RETRY_S, READ_TIMEOUT_S
from basilcove.orders.events import CallEngine, EngineAnswered, EngineAssigned, EngineFailed
from basilcove.orders.messages import EngineStatus, Order, OrderResult
from basilcove.orders.models import EngineCall, OrdersState
from basilcove.orders.rules import lease_name


@handles(EngineAssigned, OrdersState)
def on_assigned(state: OrdersState, event: EngineAssigned, ctx: Context) -> list[Effect]:
    """Pass orders on to this engine; read the token again if the engine or group has changed."""
    if state.started_at is None or (state.upstream, state.group) != (event.upstream, event.group):
        state.started_at = ctx.now
        state.is_fence_current = False
        state.fence = FencingNumber(0)
        state.status = None
        # A former process of this agent may have sent an order just before it ended; an engine that
        # checks tokens refuses such an order itself.
        state.calls_blocked_until = 0 if event.checks_fencing else ctx.now + 2 * ENGINE_TIMEOUT_S
    state.upstream, state.group = event.upstream, event.group
    state.checks_fencing = event.checks_fencing
    return []


@handles_message(Order, OrdersState)
def on_order(state: OrdersState, event: Received, ctx: Context) -> list[Effect]:
    """Pass an order to the engine, or refuse it."""
    order = event.message
    assert isinstance(order, Order)
    origin = event.peer.node
    if origin != state.node and Role.AGENT not in event.peer.roles:
        return [Count('orders_refused')]
    if (order.upstream, order.group) != (state.upstream, state.group):
        return [_answer(state, origin, order, f'this agent serves {state.upstream} of {state.group}')]
    if order.fence < state.fence:
        reason = f'token {order.fence} is older than {state.fence}'
        return [_answer(state, origin, order, reason), Count('orders_stale')]
    state.fence = order.fence
    # An engine that checks tokens loses its own when it restarts together with this agent.
    if not state.is_fence_current:
        return [_answer(state, origin, order, 'the current token is not known yet')]
    # The sender retries an order that has no result.
    return call_engine(state, order, origin, ctx.now + order.lease_s, ctx.now)


def call_engine(
    state: OrdersState, order: Order, origin: NodeId | None, not_after: float, now: float
) -> list[Effect]:
    """Pass an order to the engine if no other is pending: one at a time keeps the orders in sequence."""
    if state.call is not None or now < state.calls_blocked_until:
        return []
    state.call = EngineCall(order, origin)
    return [CallEngine(order, not_after)]


@handles(EngineAnswered, OrdersState)
def on_answered(state: OrdersState, event: EngineAnswered, ctx: Context) -> list[Effect]:
    """Return the engine's answer to the sender of the order."""
    call = state.call
    if call is None or call.order.order_id != event.order_id:
        return []
    state.call = None
    state.status = event.status
    if call.origin is None:
        return []
    return [_answer(state, call.origin, call.order, event.reason, event.status)]


@handles(EngineFailed, OrdersState)
def on_failed(state: OrdersState, event: EngineFailed, ctx: Context) -> list[Effect]:
    """Block calls until an order whose outcome is unknown can no longer take effect."""
    if state.call is None or state.call.order.order_id != event.order_id:
        return []
    state.call = None
    if event.sent and not state.checks_fencing:
        state.calls_blocked_until = ctx.now + ENGINE_TIMEOUT_S
    return [Count('orders_failed')]


@handles(Tick, OrdersState)
def on_tick(state: OrdersState, event: Tick, ctx: Context) -> list[Effect]:
    """Determine the token after a start: from a majority, or by waiting for older leases to end."""
    if state.started_at is None or state.is_fence_current:
        return []
    if ctx.now - state.started_at >= MAX_LEASE_S + CLOCK_DRIFT_S:
        state.is_fence_current = True
        return []
    if state.token_query_id or ctx.now < state.next_token_read_at:
        return []
    state.token_query_id = state.next_id('learn')
    read = ReadLease(lease_name(state.group))
    return [Emit(Query(state.token_query_id, read, ctx.now + READ_TIMEOUT_S))]


@handles(QueryAnswered, OrdersState)
def on_lease_read(state: OrdersState, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Adopt the token that a majority knows, so that orders under older ones are refused."""
    if event.query_id != state.token_query_id:
        return []
    state.token_query_id = ''
    if not isinstance(event.answer, LeaseRead):
        state.next_token_read_at = ctx.now + READ_RETRY_S
        return []
    state.fence = max(state.fence, event.answer.fence)
    state.is_fence_current = True
    return []


@handles(QueryFailed, OrdersState)
def on_read_failed(state: OrdersState, event: QueryFailed, ctx: Context) -> list[Effect]:
    """Retry later."""
    if event.query_id == state.token_query_id:
        state.token_query_id = ''
        state.next_token_read_at = ctx.now + READ_RETRY_S
    return []


def _answer(
    state: OrdersState, origin: NodeId, order: Order, reason: str, status: EngineStatus | None = None
) -> Effect:
    result = OrderResult(order.order_id, state.fence, not reason, reason, status)
    return deliver(state.node, origin, result)
