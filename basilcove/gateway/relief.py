"""Takes work from upstreams for which all others of their group wait.

The load pattern that this answers: a rank of a group in lock-step turns slow. Each of its requests makes
every step of the group longer, so all streams of the group are late, and the requests that it has already
hold the group for the longest. New ones go elsewhere, and streams that may run again go on at another rank.
"""

from collections.abc import Collection

from basilcove.core.events import Effect, Log, Received
from basilcove.core.ids import InstanceId, ServiceName
from basilcove.core.reducer import Context, handles_message
from basilcove.environment.models import RouteKind
from basilcove.gateway.attempts import take_repeat
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
    for instance in state.pools.note_slow(msg.instances, ctx.now):
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
        if req.instance not in slow or not _may_move(req):
            continue
        # Drawn anew at each word, so that streams which stayed leave as places come free.
        if stable_fraction(req.request_id, ctx.now) >= shares.share(req.service):
            continue
        if take_repeat(state, req, ctx):
            req.is_moving = True
            effects.append(MoveAttempt(req.key))
    return effects


def _may_move(req: OpenRequest) -> bool:
    return req.named.route.kind is RouteKind.STREAM and req.is_repeatable and not req.is_moving


class _MoveShares:
    """Which part of the requests at slow upstreams of a service has a place elsewhere.

    All gateways decide at the same moment; each moves this part of its own, which together fill the places.
    """

    def __init__(self, state: GatewayState, now: float) -> None:
        self._pools = state.pools
        self._now = now
        self._known: dict[ServiceName, float] = {}

    def share(self, service: ServiceName) -> float:
        """Return the part, 0 to 1."""
        known = self._known.get(service)
        if known is None:
            known = self._share(service)
            self._known[service] = known
        return known

    def _share(self, service: ServiceName) -> float:
        places, held = 0.0, 0.0
        for known in self._pools.ready(service):
            load = self._pools.load(known, self._now)
            if known.is_slow(self._now):
                held += load
            elif not known.is_silent:
                places += max(0, known.registration.slots + QUEUE_ALLOWANCE - load)
        return min(1, places / max(1, held))
