"""Applies evacuations of availability zones to the upstreams of a gateway.

Guards against requests to the upstreams of a zone that an operator evacuated: new ones, retries, and moved or
resumed streams. Requests that already run there go on.
"""

from basilcove.core.events import Count, Effect, Log
from basilcove.core.ids import Zone
from basilcove.core.reducer import Context, handles
from basilcove.distribution.events import EvacuationsChanged
from basilcove.gateway.models import GatewayState


@handles(EvacuationsChanged, GatewayState)
def _on_evacuations(state: GatewayState, event: EvacuationsChanged, ctx: Context) -> list[Effect]:
    former = state.pools.evacuated
    restored = state.pools.apply_evacuations(frozenset(row.zone for row in event.zones), ctx.now)
    effects: list[Effect] = []
    for row in event.zones:
        if row.zone not in former:
            fields = _change_fields(row.zone, event, row.time, row.requester, ctx)
            effects.extend((Log('warning', 'zone evacuated', fields), _count('evacuated')))
    for zone in sorted(restored):
        fields = _change_fields(zone, event, event.changed_at, event.changed_by, ctx)
        effects.extend((Log('warning', 'zone restored', fields), _count('restored')))
    return effects


def _change_fields(
    zone: Zone, event: EvacuationsChanged, time: float, requester: str, ctx: Context
) -> tuple[tuple[str, str], ...]:
    return (
        ('zone', zone),
        ('version', str(event.version)),
        ('age_s', f'{ctx.wall_time - time:.3f}'),
        ('requester', requester),
    )


def _count(change: str) -> Effect:
    return Count('gateway_zone_changes', (('change', change),))
