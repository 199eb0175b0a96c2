"""Applies what upstreams say about themselves in their answers."""

from basilcove.core.events import Count, Effect, Log
from basilcove.core.reducer import Context, handles
from basilcove.gateway.const import HOLD_SPREAD, LEAVING_LIFETIME_S
from basilcove.gateway.events import UpstreamHinted
from basilcove.gateway.models import GatewayState
from basilcove.gateway.pools import PooledUpstream
from basilcove.helpers.hashing import stable_fraction


@handles(UpstreamHinted, GatewayState)
def _on_hinted(state: GatewayState, event: UpstreamHinted, ctx: Context) -> list[Effect]:
    upstream = state.pools.by_instance.get(event.instance)
    if upstream is None or upstream.registration.born_ms != event.born_ms:
        return []
    return _hold(upstream, event, ctx.now)


def _hold(upstream: PooledUpstream, event: UpstreamHinted, now: float) -> list[Effect]:
    """Send no new requests to an upstream that leaves or holds them off; open ones go on."""
    hints = event.hints
    if not hints.holds_requests_off:
        return []
    was_leaving = now < upstream.leaving_until
    if hints.is_leaving:
        upstream.leaving_until = now + LEAVING_LIFETIME_S
    if hints.retry_after_s:
        spread = HOLD_SPREAD * stable_fraction(event.instance, event.key, now)
        upstream.hold(hints.retry_after_s, spread, now)
    elif was_leaving:
        return []
    fields = (
        ('instance', event.instance),
        ('is_leaving', str(hints.is_leaving)),
        ('retry_after_s', f'{hints.retry_after_s:g}'),
        ('held_s', f'{max(0, upstream.held_until - now):.2f}'),
    )
    return [Log('info', 'upstream takes no new requests', fields), Count('gateway_upstream_hints')]
