"""Plans the next expert map of a remote group in the steps that its ranks allow."""

from collections.abc import Sequence
from dataclasses import dataclass

from basilcove.experts.const import DIVISIONS
from basilcove.experts.models import Layer, Shares
from basilcove.experts.remote.const import SKEW_WANTED
from basilcove.experts.swaps import LayerState, Trial


@dataclass(frozen=True, slots=True)
class Proposal:
    """A better map, with the mean over the layers of the slowest rank's load over the mean."""

    layers: tuple[Layer, ...]
    skew_before: float
    skew_after: float


def first_layers(layers: int, experts: int, ranks: int) -> tuple[Layer, ...]:
    """Return the map with which a group begins: experts are assigned to ranks in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers


def propose(shares: Sequence[Shares], current: tuple[Layer, ...], slots: int, max_new: int) -> Proposal:
    """Return a better map; in each layer a rank gets ``max_new`` experts at most that are new to it."""
    pairs = list(zip(shares, current, strict=True))
    layers = [_improve(popularity, layer, slots, max_new) for popularity, layer in pairs]
    before = [skew_of(popularity, layer) for popularity, layer in pairs]
    after = [skew_of(popularity, layer) for popularity, layer in zip(shares, layers, strict=True)]
    return Proposal(tuple(layers), sum(before) / len(before), sum(after) / len(after))


def skew_of(shares: Shares, layer: Layer) -> float:
    """Return the load of the slowest rank over the mean."""
    return LayerState(shares, layer, _equal(layer)).skew


def _improve(shares: Shares, layer: Layer, slots: int, max_new: int) -> Layer:
    state = LayerState(shares, _fill(shares, layer, slots, max_new), _equal(layer))
    best, best_skew = _frozen(state), state.skew
    divisions = 0
    while state.skew > SKEW_WANTED:
        trial = state.best()
        if trial is None and divisions < DIVISIONS:
            divisions += 1
            trial = state.divide()
        if trial is None or not _is_allowed(state, trial, layer, max_new):
            break
        _carry_out(state, trial)
        if state.skew < best_skew:
            best, best_skew = _frozen(state), state.skew
    return best


def _carry_out(state: LayerState, trial: Trial) -> None:
    for rank, slot, expert in trial.changes:
        state.replace(rank, slot, expert)


def _fill(shares: Shares, layer: Layer, slots: int, max_new: int) -> Layer:
    """Use free slots for replicas of the hottest experts, on the ranks with the least load."""
    held = [list(experts) for experts in layer]
    while True:
        state = LayerState(shares, tuple(map(tuple, held)), _equal(layer))
        open_ranks = [
            rank
            for rank, experts in enumerate(held)
            if len(experts) < slots and len(set(experts) - set(layer[rank])) < max_new
        ]
        placed = _next_replica(state, held, open_ranks)
        if placed is None:
            return tuple(map(tuple, held))
        held[placed[0]].append(placed[1])


def _next_replica(state: LayerState, held: list[list[int]], open_ranks: list[int]) -> tuple[int, int] | None:
    hottest = sorted(range(len(state.unit)), key=state.unit.__getitem__, reverse=True)
    for expert in hottest:
        free = [rank for rank in open_ranks if expert not in held[rank]]
        if free:
            return min(free, key=state.load.__getitem__), expert
    return None


def _is_allowed(state: LayerState, trial: Trial, layer: Layer, max_new: int) -> bool:
    held = {rank: list(state.slots[rank]) for rank, _, _ in trial.changes}
    for rank, slot, expert in trial.changes:
        held[rank][slot] = expert
    for rank, experts in held.items():
        if len(set(experts) - set(layer[rank])) > max_new or len(set(experts)) < len(experts):
            return False
    return True


def _equal(layer: Layer) -> tuple[float, ...]:
    return (1.0,) * len(layer)


def _frozen(state: LayerState) -> Layer:
    return tuple(tuple(experts) for experts in state.slots)
