"""Takes work from upstreams for which all others of their group wait.

The load pattern that this answers: a rank of a group in lock-step turns slow. Each of its requests makes
every step of the group longer, so all streams of the group are late, and the requests that it has already
hold the group for the longest. New ones go elsewhere, and streams that may run again go on at another rank.
"""

from collections.abc import Collection

from basilcove.core.events import Effect, Log, Received
from basilcove.core.ids import InstanceId
from basilcove.core.reducer import Context, handles_message
from basilcove.environment.models import RouteKind
from basilcove.gateway.attempts import take_repeat
from basilcove.gateway.const import QUEUE_ALLOWANCE
from basilcove.gateway.events import MoveAttempt
from basilcove.gateway.messages import SlowInstances
from basilcove.gateway.models import GatewayState, OpenRequest


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
    for req in state.requests.values():
        if req.instance not in slow or not _has_place_elsewhere(state, req, ctx.now):
            continue
        if take_repeat(state, req, ctx):
            req.is_moving = True
            effects.append(MoveAttempt(req.key, req.number))
    return effects


def _has_place_elsewhere(state: GatewayState, req: OpenRequest, now: float) -> bool:
    if req.named.route.kind is not RouteKind.STREAM or not req.is_repeatable or req.is_moving:
        return False
    chosen = state.pools.choose(req.service, now, req.tried, req.request_id)
    if chosen is None or chosen.is_slow(now):
        return False
    return state.pools.load(chosen, now) < chosen.registration.slots + QUEUE_ALLOWANCE
