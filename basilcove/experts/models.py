"""Expert maps, popularity and plans."""

from dataclasses import dataclass
from itertools import chain
from typing import TypeAlias

# Experts in the slots of each rank, in one layer.
Layer: TypeAlias = tuple[tuple[int, ...], ...]
MutableLayer: TypeAlias = list[list[int]]
# Popularity of each expert, in one layer, in any unit.
Shares: TypeAlias = tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Which experts each rank holds in each layer; replicas share an expert's tokens evenly."""

    version: int
    layers: tuple[Layer, ...]


def covers(layers: tuple[Layer, ...], count: int, experts: int) -> bool:
    """Tell whether there are ``count`` layers of exactly ``experts`` experts; only the first is checked."""
    return len(layers) == count and set(chain.from_iterable(layers[0])) == set(range(experts))


@dataclass(frozen=True, slots=True)
class Popularity:
    """Decayed counts per layer and expert."""

    layers: tuple[Shares, ...]


@dataclass(frozen=True, slots=True)
class Move:
    """An expert whose weights a rank has to fetch into a slot."""

    layer: int
    rank: int
    slot: int
    expert: int


@dataclass(frozen=True, slots=True)
class Cost:
    """Price of moving weights and bounds of one plan.

    ``horizon_s`` is the time within which a plan has to pay off, ``move_s`` the time that
    the group loses to fetching one expert's weights, ``capacity`` the relative speed of
    each rank (empty: all equal).
    """

    horizon_s: float = 120.0
    move_s: float = 0.002
    max_moves: int = 1200
    max_evaluations: int = 2_500_000
    capacity: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Plan:
    """A target map and the moves that lead to it; without moves the current map stays.

    ``gain_s`` is the time that the group saves over the horizon, ``cost_s`` the time lost
    to the moves. A skew is the expected ratio of the slowest rank's step to the mean.
    """

    target: ExpertMap
    moves: tuple[Move, ...] = ()
    gain_s: float = 0
    cost_s: float = 0
    skew_before: float = 1
    skew_after: float = 1
    evaluated: int = 0


@dataclass(slots=True)
class LayerChange:
    """A better placement of one layer, with its gain in seconds over the horizon."""

    layer: int
    placement: Layer
    moves: tuple[Move, ...]
    gain_s: float
    skew: float
