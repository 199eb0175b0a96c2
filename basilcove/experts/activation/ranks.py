"""State of the ranks in an activation: their maps, steps and weights to fetch."""

from basilcove.core.ids import Step
from basilcove.experts.activation.const import ARM_AHEAD_STEPS, FETCHES_PER_S
from basilcove.experts.activation.models import ActivationState
from basilcove.experts.models import ExpertMap, Layer
from basilcove.experts.planner import moves_between
from basilcove.orders.messages import EngineStatus, LayerSlots, RankSlots


def encode_layers(layers: tuple[Layer, ...]) -> tuple[LayerSlots, ...]:
    """Convert layers to their form in messages."""
    return tuple(LayerSlots(tuple(RankSlots(rank) for rank in layer)) for layer in layers)


def decode_layers(layers: tuple[LayerSlots, ...]) -> tuple[Layer, ...]:
    """Convert layers of a message to the planner's form."""
    return tuple(tuple(rank.experts for rank in layer.ranks) for layer in layers)


def statuses(state: ActivationState) -> list[EngineStatus]:
    """Return the last known status of each engine that has reported."""
    return [member.status for member in state.members.values() if member.status is not None]


def newest_version(state: ActivationState) -> int:
    """Return the highest version that was decided or that an engine has prepared, armed or activated."""
    versions = [max(status.prepared, status.armed, status.active) for status in statuses(state)]
    return max(state.decision.version, *versions, 0)


def has_empty_engine(state: ActivationState) -> bool:
    """Tell whether an engine runs no map, because it has restarted or is new."""
    return any(not status.active for status in statuses(state))


def switch_step(state: ActivationState) -> Step:
    """Return the step at which the ranks are to switch.

    A group with an engine that runs no map does not advance, so it switches at its next step.
    """
    newest_step = max(status.step for status in statuses(state))
    return Step(newest_step if has_empty_engine(state) else newest_step + ARM_AHEAD_STEPS)


def fetch_delays(state: ActivationState, target: ExpertMap) -> list[float]:
    """Return when each member may start to fetch weights, in seconds from the start of the round.

    Members fetch one after another, so that the group stays within the rate of the weight store. The last
    entry is when all fetches are done.
    """
    delays: list[float] = []
    fetches = 0
    for position, member in enumerate(state.members.values()):
        delays.append(fetches / FETCHES_PER_S)
        is_empty = member.status is None or not member.status.active
        fetches += _count_fetches(state, target, position, is_empty)
    return [*delays, fetches / FETCHES_PER_S]


def _count_fetches(state: ActivationState, target: ExpertMap, position: int, is_empty: bool) -> int:
    ranks = len(target.layers[0])
    own_ranks = {rank for rank in range(ranks) if rank * len(state.members) // ranks == position}
    if is_empty or state.current is None or len(state.current.layers) != len(target.layers):
        return sum(len(layer[rank]) for layer in target.layers for rank in own_ranks)
    pairs = zip(state.current.layers, target.layers, strict=True)
    moves = [move for index, pair in enumerate(pairs) for move in moves_between(index, *pair)]
    return sum(1 for move in moves if move.rank in own_ranks)
