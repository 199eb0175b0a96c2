"""Chooses the copies of experts that lower the skew of a group most, within what its ranks copy in time.

Answers a load whose popular experts change every few seconds while a rank takes longer than that to copy all
experts that are new to it under the best map: that map would be out of date when it comes into effect.
"""

import heapq
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from basilcove.experts.models import Layer
from basilcove.experts.remote.const import MAX_COPY_S


@dataclass(frozen=True, slots=True)
class Stage:
    """A placement of one layer, its skew, and the experts that are new to each rank."""

    layer: Layer
    skew: float
    copies: Mapping[int, int] = field(default_factory=dict)


class _Step(NamedTuple):
    """The step of a layer to a later stage; the one with the largest gain a copy sorts first."""

    negative_gain: float
    layer: int
    stage: int


def bound_copies(copy_s: float, layers: int, max_new: int) -> int | None:
    """Return how many experts a rank may copy for one map; None if all that its layers allow are in time.

    ``copy_s`` is the time in which a rank copies one expert, 0 if it isn't known.
    """
    if not copy_s:
        return None
    max_copies = max(1, int(MAX_COPY_S / copy_s))
    return max_copies if max_copies < layers * max_new else None


def count_copies(current: Layer, placement: Layer) -> dict[int, int]:
    """Return the number of experts that are new to each rank; ranks without any are omitted."""
    counts = (len(set(new).difference(old)) for old, new in zip(current, placement, strict=True))
    return {rank: count for rank, count in enumerate(counts) if count}


def count_most_copies(current: Sequence[Layer], target: Sequence[Layer]) -> int:
    """Return the most experts that are new to any rank over all layers."""
    copies: Counter[int] = Counter()
    for layer, placement in zip(current, target, strict=True):
        copies.update(count_copies(layer, placement))
    return max(copies.values(), default=0)


def choose_stages(stages: Sequence[Sequence[Stage]], max_copies: int) -> list[Stage]:
    """Return a stage of each layer, so that no rank copies more than ``max_copies`` experts.

    ``stages`` holds the stages of each layer, the current placement first. Takes time in proportion to
    the number of all stages times the ranks.
    """
    budget = _Budget(max_copies)
    chosen = [layer_stages[0] for layer_stages in stages]
    left = [list(layer_stages) for layer_stages in stages]
    heap = [step for number, _ in enumerate(chosen) if (step := _best_step(chosen, left, number)) is not None]
    heapq.heapify(heap)
    while heap:
        step = heapq.heappop(heap)
        stage = left[step.layer].pop(step.stage)
        if budget.replace(chosen[step.layer].copies, stage.copies):
            chosen[step.layer] = stage
        following = _best_step(chosen, left, step.layer)
        if following is not None:
            heapq.heappush(heap, following)
    return chosen


def _best_step(chosen: Sequence[Stage], left: Sequence[Sequence[Stage]], layer: int) -> _Step | None:
    """Return the step of a layer with the largest gain for each copy; None if none gains anything."""
    current = chosen[layer]
    copies = sum(current.copies.values())
    best: _Step | None = None
    for number, stage in enumerate(left[layer]):
        gain = current.skew - stage.skew
        if gain <= 0:
            continue
        added = max(1, sum(stage.copies.values()) - copies)
        step = _Step(-gain / added, layer, number)
        best = step if best is None else min(best, step)
    return best


class _Budget:
    """Copies of each rank over all layers."""

    def __init__(self, max_copies: int) -> None:
        self._max_copies = max_copies
        self._used: Counter[int] = Counter()

    def replace(self, former: Mapping[int, int], copies: Mapping[int, int]) -> bool:
        """Replace the copies of one layer; return False, without a change, if a rank exceeds its bound."""
        for rank, count in copies.items():
            if self._used[rank] - former.get(rank, 0) + count > self._max_copies:
                return False
        self._used.subtract(former)
        self._used.update(copies)
        return True
