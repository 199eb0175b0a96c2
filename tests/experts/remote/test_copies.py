import random
from collections import Counter

import pytest

from basilcove.experts.models import Shares
from basilcove.experts.remote.const import MAX_COPY_S
from basilcove.experts.remote.copies import Stage, bound_copies, choose_stages, count_copies
from basilcove.experts.remote.planning import Proposal, RankBounds, first_layers, propose

RANKS = 24
EXPERTS = 96
LAYERS = 16
SLOTS = 5
MAX_NEW = 2
EQUAL = (1.0,) * RANKS
# 420 MB an expert over 44 Gbit/s.
COPY_S = 0.076


def popularity(seed: int) -> tuple[Shares, ...]:
    """Return the popularity of the experts of each layer, as it is skewed in deployments."""
    rng = random.Random(seed)
    layers = []
    for _ in range(LAYERS):
        shares = [1 / (position + 1) ** 0.92 for position in range(EXPERTS)]
        rng.shuffle(shares)
        layers.append(tuple(shares))
    return tuple(layers)


def plan(seed: int, copy_s: float) -> tuple[Proposal, float]:
    """Return the first change of a map, and how long its slowest rank copies."""
    current = first_layers(LAYERS, EXPERTS, RANKS)
    bounds = RankBounds(SLOTS, MAX_NEW, bound_copies(copy_s, LAYERS, MAX_NEW))
    proposal = propose(popularity(seed), current, bounds, EQUAL)
    copies: Counter[int] = Counter()
    for before, after in zip(current, proposal.layers, strict=True):
        copies.update(count_copies(before, after))
    return proposal, max(copies.values()) * COPY_S


class TestBoundCopies:
    def test_changes_that_are_copied_in_time_have_no_bound(self) -> None:
        """Guards against other maps where ranks copy all that a change may bring in time."""
        assert bound_copies(0.035, layers=4, max_new=3) is None
        assert bound_copies(0.005, layers=8, max_new=2) is None
        assert bound_copies(0, LAYERS, MAX_NEW) is None
        assert bound_copies(COPY_S, LAYERS, MAX_NEW) == 6

    def test_an_expert_larger_than_the_bound_can_be_copied(self) -> None:
        """Guards against a group whose map never changes."""
        assert bound_copies(3, LAYERS, MAX_NEW) == 1


class TestPlan:
    @pytest.mark.parametrize('seed', range(4))
    def test_a_bounded_change_keeps_most_of_the_gain(self, seed: int) -> None:
        """Guards against a map that is out of date when its copies are complete."""
        best, unbounded_s = plan(seed, copy_s=0)
        bounded, copying_s = plan(seed, COPY_S)
        assert unbounded_s > 1
        assert copying_s <= MAX_COPY_S
        gain = bounded.skew_before - bounded.skew_after
        assert gain > 0.75 * (best.skew_before - best.skew_after)


class TestChooseStages:
    def test_copies_go_where_they_gain_most(self) -> None:
        """Guards against copies for one layer that would gain more in others, and a rank beyond its bound."""
        layer = ((0,), (1,))
        stages = [
            [Stage(layer, 3), Stage(layer, 2, {0: 1}), Stage(layer, 1.9, {0: 3})],
            [Stage(layer, 3), Stage(layer, 2.5, {0: 1, 1: 1})],
            [Stage(layer, 3), Stage(layer, 2.8, {0: 1})],
        ]
        chosen = choose_stages(stages, max_copies=2)
        assert [stage.skew for stage in chosen] == [2, 2.5, 3]
        chosen = choose_stages(stages, max_copies=1)
        assert [stage.skew for stage in chosen] == [2, 3, 3]
