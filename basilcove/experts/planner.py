"""Plans the next expert map of a group: incremental, bounded, and only if it pays off."""

import heapq
from collections.abc import Callable, Sequence

from basilcove.experts.const import LAYER_SKEW_TOLERANCE
from basilcove.experts.models import Cost, ExpertMap, Layer, LayerChange, Move, Plan, Popularity, Shares
from basilcove.experts.swaps import LayerState, improve

Place = Callable[[Shares], Layer]


def plan(popularity: Popularity, current_map: ExpertMap, cost: Cost) -> Plan:
    """Return a plan whose expected gain over the horizon exceeds the cost of its moves."""
    capacity = normalized(cost.capacity, len(current_map.layers[0]))
    states = [
        LayerState(shares, placement, capacity)
        for shares, placement in zip(popularity.layers, current_map.layers, strict=True)
    ]
    skews = [state.skew for state in states]
    changes, evaluated = _search(current_map, states, skews, cost)
    chosen = _limit_moves(changes, cost.max_moves)
    before = sum(skews) / len(skews)
    if not chosen:
        return Plan(current_map, skew_before=before, skew_after=before, evaluated=evaluated)
    layers = list(current_map.layers)
    for change in chosen:
        layers[change.layer] = change.placement
        skews[change.layer] = change.skew
    moves = tuple(move for picked in chosen for move in picked.moves)
    return Plan(
        ExpertMap(current_map.version + 1, tuple(layers)),
        moves,
        gain_s=sum(picked.gain_s for picked in chosen),
        cost_s=len(moves) * cost.move_s,
        skew_before=before,
        skew_after=sum(skews) / len(skews),
        evaluated=evaluated,
    )


def expected_skew(popularity: Popularity, current_map: ExpertMap) -> float:
    """Return the mean over the layers of the slowest rank's load over the mean."""
    capacity = normalized((), len(current_map.layers[0]))
    skews = [
        LayerState(shares, placement, capacity).skew
        for shares, placement in zip(popularity.layers, current_map.layers, strict=True)
    ]
    return sum(skews) / len(skews)


def place_from_scratch(popularity: Popularity, current_map: ExpertMap, place: Place) -> Plan:
    """Place every layer from scratch, at any cost; the baseline and the first map of a group."""
    layers = tuple(place(shares) for shares in popularity.layers)
    moves = tuple(
        move
        for index, (old, new) in enumerate(zip(current_map.layers, layers, strict=True))
        for move in moves_between(index, old, new)
    )
    return Plan(ExpertMap(current_map.version + 1, layers), moves)


def moves_between(layer: int, old: Layer, new: Layer) -> list[Move]:
    """Return the moves for the weights that the ranks do not hold yet."""
    return [
        Move(layer, rank, slot, expert)
        for rank, (held, wanted) in enumerate(zip(old, new, strict=True))
        for slot, expert in enumerate(wanted)
        if expert not in held
    ]


def normalized(capacity: Sequence[float], ranks: int) -> tuple[float, ...]:
    """Scale the capacities of the ranks to a mean of 1; all equal if none are given."""
    if not capacity:
        return (1.0,) * ranks
    mean = sum(capacity) / ranks
    return tuple(speed / mean for speed in capacity)


def _search(
    current_map: ExpertMap,
    states: Sequence[LayerState],
    skews: Sequence[float],
    cost: Cost,
) -> tuple[list[LayerChange], int]:
    """Improve the layers that are out of balance, worst first, until the bound on evaluations."""
    # Time that one unit of a layer's skew costs the group over the horizon.
    value_s = cost.horizon_s / len(skews)
    heap = [(-skew, layer) for layer, skew in enumerate(skews) if skew > LAYER_SKEW_TOLERANCE]
    heapq.heapify(heap)
    changes: list[LayerChange] = []
    evaluated = 0
    while heap and evaluated < cost.max_evaluations:
        layer = heapq.heappop(heap)[1]
        placement, skew = improve(states[layer], cost.move_s / value_s, cost.max_moves)
        evaluated += states[layer].evaluated
        moves = moves_between(layer, current_map.layers[layer], placement)
        gain_s = (skews[layer] - skew) * value_s
        if gain_s > len(moves) * cost.move_s:
            changes.append(LayerChange(layer, placement, tuple(moves), gain_s, skew))
    return changes, evaluated


def _limit_moves(changes: Sequence[LayerChange], max_moves: int) -> list[LayerChange]:
    """Select the layers with the largest gain per move, up to the bound on moves."""
    chosen: list[LayerChange] = []
    moves_left = max_moves
    for change in sorted(changes, key=_gain_per_move, reverse=True):
        if len(change.moves) > moves_left:
            continue
        moves_left -= len(change.moves)
        chosen.append(change)
    return chosen


def _gain_per_move(change: LayerChange) -> float:
    return change.gain_s / max(1, len(change.moves))
