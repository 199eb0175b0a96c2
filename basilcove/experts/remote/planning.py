"""Plans the next expert map of a remote group within the bounds of its ranks."""

import heapq
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Self

from basilcove.experts.const import MAX_ESCAPES
from basilcove.experts.models import Layer, Shares
from basilcove.experts.remote.const import MIN_LAYER_SKEW_GAIN, RELIEF_SPEED, TARGET_SKEW
from basilcove.experts.remote.copies import Stage, choose_stages, count_copies
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
    """Experts of a layer that a rank may hold, and how many of them may be new to it.

    ``max_copies`` bounds the experts that a rank copies for one map, over all layers; None if all that the
    layers allow are copied in time.
    """

    slots: int
    max_new: int
    max_copies: int | None = None


def first_layers(layers: int, experts: int, ranks: int) -> tuple[Layer, ...]:
    """Return the map with which a group begins: experts are assigned to ranks in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers


@dataclass(slots=True)
class Draft:
    """A map that is planned layer by layer, since a large group takes longer than a step of the loop may."""

    shares: Sequence[Shares]
    current: tuple[Layer, ...]
    bounds: RankBounds
    speeds: Speeds
    # The placements of each planned layer, from the current one to the best one.
    stages: list[list[Stage]] = field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Return whether all layers are planned."""
        return len(self.stages) == len(self.current)

    def plan(self, count: int) -> Self:
        """Plan up to this many further layers."""
        first = len(self.stages)
        for number in range(first, min(first + count, len(self.current))):
            self.stages.append(self._plan_layer(self.shares[number], self.current[number]))
        return self

    def finish(self) -> Proposal:
        """Return the complete map: the best placement of each layer, or what ranks can copy in time."""
        if self.bounds.max_copies is None:
            chosen = [stages[-1] for stages in self.stages]
        else:
            chosen = choose_stages(self.stages, self.bounds.max_copies)
        count = len(chosen)
        return Proposal(
            tuple(stage.layer for stage in chosen),
            sum(stages[0].skew for stages in self.stages) / count,
            sum(stage.skew for stage in chosen) / count,
        )

    def _plan_layer(self, popularity: Shares, layer: Layer) -> list[Stage]:
        first = Stage(layer, skew_of(popularity, layer, self.speeds))
        improvements = list(_improvements(popularity, layer, self.bounds, self.speeds))
        if self.bounds.max_copies is None:
            improvements = improvements[-1:]
        stages = [first]
        for placement, skew in improvements:
            if first.skew - skew >= MIN_LAYER_SKEW_GAIN:
                stages.append(Stage(placement, skew, count_copies(layer, placement)))
        return stages


def propose(
    shares: Sequence[Shares], current: tuple[Layer, ...], bounds: RankBounds, speeds: Speeds
) -> Proposal:
    """Return a better map within the bounds of the ranks."""
    return Draft(shares, current, bounds, speeds).plan(len(current)).finish()


def skew_of(shares: Shares, layer: Layer, speeds: Speeds) -> float:
    """Return the time of the slowest rank in a layer over the mean of all ranks."""
    return LayerState(shares, layer, speeds).skew


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
        ranks = [
            rank
            for rank in range(len(self.state.slots))
            if self.may_add_any(rank) and self.may_add(rank, expert)
        ]
        return sorted(ranks, key=self.state.time)

    def may_add_any(self, rank: int) -> bool:
        """Return whether a rank is of usual speed and has a free slot."""
        return self.state.capacity[rank] >= RELIEF_SPEED and len(self.state.slots[rank]) < self.bounds.slots

    def may_add(self, rank: int, expert: int) -> bool:
        """Return whether a rank with a free slot can add an expert."""
        experts = self.state.slots[rank]
        if expert in experts:
            return False
        return expert in self.current[rank] or self._new_to(rank, experts) < self.bounds.max_new

    def _new_to(self, rank: int, experts: Sequence[int]) -> int:
        return len(set(experts).difference(self.current[rank]))


def _improvements(
    shares: Shares, layer: Layer, bounds: RankBounds, speeds: Speeds
) -> Iterator[tuple[Layer, float]]:
    """Yield placements of a layer with their skews, each lower than the one before.

    Experts are moved away from slow ranks before the first one.
    """
    state = LayerState(shares, layer, speeds)
    limits = _Limits(state, layer, bounds)
    _relieve_slow_ranks(state, limits)
    best_skew = state.skew
    for _ in _fill_free_slots(state, limits):
        if bounds.max_copies is not None and state.skew < best_skew:
            best_skew = state.skew
            yield _freeze(state)
    yield _freeze(state)
    yield from _search(state, limits)


def _search(state: LayerState, limits: _Limits) -> Iterator[tuple[Layer, float]]:
    """Yield each placement that is better than those before, up to ``TARGET_SKEW``, with its skew."""
    best_skew = state.skew
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
            best_skew = state.skew
            yield _freeze(state)


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


def _fill_free_slots(state: LayerState, limits: _Limits) -> Iterator[int]:
    """Use free slots for replicas of the hottest experts, on the ranks with the shortest time.

    Yields the rank of each replica after it is added.
    """
    free = [rank for rank in range(len(state.slots)) if limits.may_add_any(rank)]
    hottest = [(-unit, expert) for expert, unit in enumerate(state.unit)]
    heapq.heapify(hottest)
    while free and hottest:
        negative_unit, expert = hottest[0]
        if -negative_unit != state.unit[expert]:
            heapq.heapreplace(hottest, (-state.unit[expert], expert))
            continue
        candidates = [rank for rank in free if limits.may_add(rank, expert)]
        if not candidates:
            # Ranks only fill up, so none will be able to add this expert later.
            heapq.heappop(hottest)
            continue
        rank = min(candidates, key=state.time)
        state.add(rank, expert)
        if not limits.may_add_any(rank):
            free.remove(rank)
        yield rank


def _freeze(state: LayerState) -> tuple[Layer, float]:
    return tuple(tuple(experts) for experts in state.slots), state.skew
