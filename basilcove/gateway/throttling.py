"""Keeps the requests to upstreams that state a limit within the share of this gateway.

Guards against a limit on the requests of all gateways that each of them heeds for itself. Control hosts
divide the limit; a gateway without a share leaves the upstream to others.
"""

from collections.abc import Iterator

from basilcove.core.events import Effect, Log, PeerFound, PeerLost, Received, Send
from basilcove.core.ids import Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.gateway.events import UpstreamHinted
from basilcove.gateway.models import GatewayState
from basilcove.gateway.pools import PooledUpstream
from basilcove.throttling.const import REPEAT_INTERVAL_S
from basilcove.throttling.messages import LimitShare, LimitShares, StatedLimit


@handles(UpstreamHinted, GatewayState)
def _on_hinted(state: GatewayState, event: UpstreamHinted, ctx: Context) -> Iterator[Effect]:
    """Tell the control hosts what an upstream states, at once if it is new to this gateway."""
    upstream = state.pools.by_instance.get(event.instance)
    if upstream is None or upstream.registration.born_ms != event.born_ms:
        return
    throttle, stated = upstream.throttle, event.hints.limit_per_s
    is_repeated = stated == throttle.stated_limit_per_s == throttle.limit_per_s
    if is_repeated and (not stated or ctx.now - throttle.reported_at < REPEAT_INTERVAL_S):
        return
    if throttle.stated_limit_per_s != stated:
        fields = (
            ('instance', event.instance),
            ('limit_per_s', f'{stated:g}'),
            ('former_limit_per_s', f'{throttle.stated_limit_per_s:g}'),
        )
        yield Log('info', 'limit of an upstream changed', fields)
    throttle.state_limit(stated, ctx.now)
    for node in state.sharing.hosts:
        yield Send(node, StatedLimit(event.instance, event.born_ms, stated))


@handles_message(LimitShares, GatewayState)
def _on_limit_shares(state: GatewayState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, LimitShares)
    for share in msg.entries:
        upstream = state.pools.by_instance.get(share.instance)
        if upstream is None or upstream.registration.born_ms != share.born_ms:
            continue
        if msg.asked_at:
            leased = upstream.throttle.leased
            leased.grant(event.peer.node, share.requests_per_s, msg.asked_at, ctx.now)
        else:
            _apply_share(upstream, share, event, ctx.now)
    return []


def _apply_share(upstream: PooledUpstream, share: LimitShare, event: Received, now: float) -> None:
    upstream.throttle.apply_share(event.peer.node, share.limit_per_s, share.requests_per_s, now)


@handles(PeerFound, GatewayState)
def _on_peer_found(state: GatewayState, event: PeerFound, ctx: Context) -> Iterator[Effect]:
    """Tell a host that has just been linked which limits are stated."""
    if Role.CONTROL not in event.peer.roles:
        return
    for instance, upstream in state.pools.by_instance.items():
        limit_per_s = upstream.throttle.stated_limit_per_s
        if limit_per_s:
            yield Send(event.peer.node, StatedLimit(instance, upstream.registration.born_ms, limit_per_s))


@handles(PeerLost, GatewayState)
def _on_peer_lost(state: GatewayState, event: PeerLost, ctx: Context) -> list[Effect]:
    for upstream in state.pools.by_instance.values():
        upstream.throttle.forget_host(event.peer.node, ctx.now)
    return []
