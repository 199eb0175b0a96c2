"""Reports the pauses of streams to control hosts, and obeys the limits of groups that follow from them."""

from basilcove.concurrency.const import MAX_REPORTS_PER_S, REPORT_INTERVAL_S
from basilcove.concurrency.messages import ConcurrencyLimits
from basilcove.core.events import Effect, Log, Received, Send, Tick
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.gateway.events import StreamPaused
from basilcove.gateway.models import GatewayState


@handles(StreamPaused, GatewayState)
def _on_paused(state: GatewayState, event: StreamPaused, ctx: Context) -> list[Effect]:
    req = state.requests.get(event.key)
    if req is None or req.number != event.number or req.registration is None:
        return []
    target_s = req.named_route.route.target_pause_s
    if target_s is not None:
        state.pauses.record(req.registration.group, event.pause_s, target_s, is_first=event.is_first)
    return []


@handles(Tick, GatewayState)
def _on_tick(state: GatewayState, event: Tick, ctx: Context) -> list[Effect]:
    interval_s = max(REPORT_INTERVAL_S, state.pools.gateways / MAX_REPORTS_PER_S)
    report = state.pauses.take_report(ctx.now, interval_s)
    if report is None:
        return []
    return [Send(node, report, may_wait=True) for node in state.sharing.hosts]


@handles_message(ConcurrencyLimits, GatewayState)
def _on_limits(state: GatewayState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, ConcurrencyLimits) or event.peer.node != state.sharing.host:
        return []
    former = state.pools.limits.limits.keys()
    state.pools.limits.update(msg, ctx.now)
    if former == state.pools.limits.limits.keys():
        return []
    fields = (
        ('limits', ' '.join(f'{entry.group}={entry.limit:.1f}' for entry in msg.limits)),
        ('source', event.peer.node),
    )
    return [Log('info', 'limits of groups switched', fields)]
