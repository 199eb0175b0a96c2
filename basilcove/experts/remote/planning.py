"""Plans the next expert map of a remote group within the bounds of its ranks."""

from collections.abc import Sequence
from dataclasses import dataclass

from basilcove.experts.const import MAX_ESCAPES
from basilcove.experts.models import Layer, Shares
from basilcove.experts.remote.const import RELIEF_SPEED, TARGET_SKEW
from basilcove.experts.swaps import Candidate, LayerState

# Speed of each rank; 1 is the usual speed.
Speeds = Sequence[float]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A better map, and the skews of both maps: the mean over the layers of the result of ``skew_of``."""

    layers: tuple[Layer, ...]
    skew_before: float
    skew_after: float


@dataclass(frozen=True, slots=True)
class RankBounds:
    """Experts of a layer that a rank may hold, and how many of them may be new to it."""

    slots: int
    max_new: int


def first_layers(layers: int, experts: int, ranks: int) -> tuple[Layer, ...]:
    """Return the map with which a group begins: experts are assigned to ranks in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers


def propose(
    shares: Sequence[Shares], current: tuple[Layer, ...], bounds: RankBounds, speeds: Speeds
) -> Proposal:
    """Return a better map within the bounds of the ranks."""
    pairs = list(zip(shares, current, strict=True))
    layers = [_improve(popularity, layer, bounds, speeds) for popularity, layer in pairs]
    before = [skew_of(popularity, layer, speeds) for popularity, layer in pairs]
    after = [skew_of(popularity, layer, speeds) for popularity, layer in zip(shares, layers, strict=True)]
    return Proposal(tuple(layers), sum(before) / len(before), sum(after) / len(after))


def skew_of(shares: Shares, layer: Layer, speeds: Speeds) -> float:
    """Return the time of the slowest rank in a layer over the mean of all ranks."""
    return LayerState(shares, layer, speeds).skew


def _improve(shares: Shares, layer: Layer, bounds: RankBounds, speeds: Speeds) -> Layer:
    state = LayerState(shares, layer, speeds)
    limits = _Limits(state, layer, bounds)
    _relieve_slow_ranks(state, limits)
    _fill_free_slots(state, limits)
    best, best_skew = _freeze(state), state.skew
    escapes = 0
    while state.skew > TARGET_SKEW:
        candidate = state.find_best()
        if candidate is None and escapes < MAX_ESCAPES:
            escapes += 1
            candidate = state.find_escape()
        if candidate is None or not limits.allows(candidate):
            break
        _apply(state, candidate)
        if state.skew < best_skew:
            best, best_skew = _freeze(state), state.skew
    return best


@dataclass(frozen=True, slots=True)
class _Limits:
    """Bounds on the experts of each rank, given those that it holds under the current map."""

    state: LayerState
    current: Layer
    bounds: RankBounds

    def allows(self, candidate: Candidate) -> bool:
        """Tell whether a change of slots stays within the bounds of the ranks."""
        experts_of = {rank: list(self.state.slots[rank]) for rank, _, _ in candidate.changes}
        for rank, slot, expert in candidate.changes:
            experts_of[rank][slot] = expert
        for rank, experts in experts_of.items():
            if self._new_to(rank, experts) > self.bounds.max_new or len(set(experts)) < len(experts):
                return False
        return True

    def ranks_for(self, expert: int) -> list[int]:
        """Return the ranks of usual speed that can add an expert, those with the shortest time first."""
        ranks = []
        for rank, experts in enumerate(self.state.slots):
            if self.state.capacity[rank] < RELIEF_SPEED or expert in experts:
                continue
            is_free = len(experts) < self.bounds.slots
            if is_free and self._new_to(rank, (*experts, expert)) <= self.bounds.max_new:
                ranks.append(rank)
        return sorted(ranks, key=self.state.time)

    def _new_to(self, rank: int, experts: Sequence[int]) -> int:
        return len(set(experts).difference(self.current[rank]))


def _relieve_slow_ranks(state: LayerState, limits: _Limits) -> None:
    """Take experts from slow ranks until their time is the mean; each keeps at least one expert."""
    for rank, speed in enumerate(state.capacity):
        if speed < RELIEF_SPEED:
            _relieve_rank(state, limits, rank)


def _relieve_rank(state: LayerState, limits: _Limits, rank: int) -> None:
    for expert in sorted(state.slots[rank], key=state.unit.__getitem__, reverse=True):
        if state.time(rank) <= 1 or len(state.slots[rank]) == 1:
            return
        if len(state.holders[expert]) > 1 or _replicate_elsewhere(state, limits, expert):
            state.drop(rank, expert)


def _replicate_elsewhere(state: LayerState, limits: _Limits, expert: int) -> bool:
    """Add an expert to the rank of usual speed with the shortest time; False if no rank can add it."""
    targets = limits.ranks_for(expert) or _free_slot(state, limits, expert)
    if targets:
        state.add(targets[0], expert)
    return bool(targets)


def _free_slot(state: LayerState, limits: _Limits, expert: int) -> list[int]:
    """Drop the replica with the least load that lets a rank of usual speed add an expert instead."""
    redundant = [
        (state.unit[other], rank, other)
        for other, ranks in enumerate(state.holders)
        if len(ranks) > 1 and other != expert
        for rank in ranks
        if state.capacity[rank] >= RELIEF_SPEED and expert not in state.slots[rank]
    ]
    for _, rank, dropped in sorted(redundant):
        state.drop(rank, dropped)
        if rank in limits.ranks_for(expert):
            return [rank]
        state.add(rank, dropped)
    return []


def _apply(state: LayerState, candidate: Candidate) -> None:
    for rank, slot, expert in candidate.changes:
        state.replace(rank, slot, expert)


def _fill_free_slots(state: LayerState, limits: _Limits) -> None:
    """Use free slots for replicas of the hottest experts, on the ranks with the shortest time."""
    while True:
        hottest = sorted(range(len(state.unit)), key=state.unit.__getitem__, reverse=True)
        for expert in hottest:
            ranks = limits.ranks_for(expert)
            if ranks:
                state.add(ranks[0], expert)
                break
        else:
            return


def _freeze(state: LayerState) -> Layer:
    return tuple(tuple(experts) for experts in state.slots)
