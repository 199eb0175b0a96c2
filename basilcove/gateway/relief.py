"""Moves work away from upstreams for which all others of their group wait.

Guards against a rank of a lock-step group that becomes slow. Each of its requests makes every step of the
group longer, so all streams of the group are late, and the requests that the rank already has delay the group
the longest. New requests go to other upstreams, and retryable streams are resumed at another rank.
"""

from collections.abc import Collection

from basilcove.core.events import Effect, Log, Received
from basilcove.core.ids import InstanceId, ServiceName
from basilcove.core.reducer import Context, handles_message
from basilcove.environment.models import RouteKind
from basilcove.gateway.attempts import spend_retry
from basilcove.gateway.const import QUEUE_ALLOWANCE
from basilcove.gateway.events import MoveAttempt
from basilcove.gateway.messages import SlowInstances
from basilcove.gateway.models import GatewayState, OpenRequest
from basilcove.helpers.hashing import stable_fraction


@handles_message(SlowInstances, GatewayState)
def _on_slow_instances(state: GatewayState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, SlowInstances)
    effects: list[Effect] = []
    for instance in state.pools.update_slow(msg.instances, ctx.now):
        fields = (
            ('instance', instance),
            ('is_slow', str(instance in msg.instances)),
            ('source', event.peer.node),
        )
        effects.append(Log('info', 'speed of an upstream changed', fields))
    return [*effects, *_move_streams(state, msg.instances, ctx)]


def _move_streams(state: GatewayState, slow: Collection[InstanceId], ctx: Context) -> list[Effect]:
    effects: list[Effect] = []
    shares = _MoveShares(state, ctx.now)
    for req in state.requests.values():
        if req.instance not in slow or not _is_movable(req):
            continue
        # The draw differs for each message, so that the remaining streams move as slots become free.
        if stable_fraction(req.request_id, ctx.now) >= shares.share(req.service):
            continue
        if spend_retry(state, req, ctx):
            req.is_moving = True
            effects.append(MoveAttempt(req.key))
    return effects


def _is_movable(req: OpenRequest) -> bool:
    return req.named_route.route.kind is RouteKind.STREAM and req.is_retryable and not req.is_moving


class _MoveShares:
    """For each service, the share of the requests at slow upstreams for which others have free slots.

    All gateways decide at the same moment. Each moves this share of its own requests; together they fill the
    free slots.
    """

    def __init__(self, state: GatewayState, now: float) -> None:
        self._pools = state.pools
        self._now = now
        self._shares: dict[ServiceName, float] = {}

    def share(self, service: ServiceName) -> float:
        """Return the share for a service, 0 to 1."""
        share = self._shares.get(service)
        if share is None:
            share = self._compute_share(service)
            self._shares[service] = share
        return share

    def _compute_share(self, service: ServiceName) -> float:
        free_slots, slow_load = 0.0, 0.0
        for upstream in self._pools.by_service.get(service, {}).values():
            if not upstream.is_usable(self._now):
                continue
            load = self._pools.load(upstream, self._now)
            if upstream.is_slow(self._now):
                slow_load += load
            elif not upstream.is_silent and upstream.registration.zone not in self._pools.evacuated:
                free_slots += max(0, upstream.registration.slots + QUEUE_ALLOWANCE - load)
        return min(1, free_slots / max(1, slow_load))
