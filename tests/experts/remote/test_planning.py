import random
from collections import Counter
from itertools import chain

import pytest

from basilcove.experts.models import Layer, Shares
from basilcove.experts.remote.const import RELIEF_SPEED
from basilcove.experts.remote.planning import Draft, RankBounds, first_layers, propose, skew_of

RANKS = 12
EXPERTS = 72
SLOTS = 8
MAX_NEW = 3
EQUAL = (1.0,) * RANKS


def skewed(seed: int) -> Shares:
    rng = random.Random(seed)
    shares = [1 / (position + 1) ** 1.3 for position in range(EXPERTS)]
    rng.shuffle(shares)
    return tuple(shares)


def check(former: Layer, layer: Layer) -> None:
    assert set(chain.from_iterable(layer)) == set(range(EXPERTS))
    for before, after in zip(former, layer, strict=True):
        assert len(after) <= SLOTS
        assert max(Counter(after).values()) == 1
        assert len(set(after) - set(before)) <= MAX_NEW


class TestPropose:
    @pytest.mark.parametrize('seed', range(20))
    def test_few_maps_lead_to_even_ranks(self, seed: int) -> None:
        """Guards against passes that wait for one rank, and maps that a rank refuses."""
        shares = skewed(seed)
        layers = first_layers(1, EXPERTS, RANKS)
        before = skew_of(shares, layers[0], EQUAL)
        for _ in range(3):
            proposal = propose((shares,), layers, RankBounds(SLOTS, MAX_NEW), EQUAL)
            check(layers[0], proposal.layers[0])
            assert proposal.skew_after <= proposal.skew_before
            layers = proposal.layers
        assert skew_of(shares, layers[0], EQUAL) < max(1.25, before / 2)

    @pytest.mark.parametrize('seed', range(20))
    def test_maps_follow_popularity(self, seed: int) -> None:
        """Guards against a plan beyond its bounds that starts from a map for another popularity."""
        layers = first_layers(1, EXPERTS, RANKS)
        for step in range(4):
            proposal = propose((skewed(100 * seed + step),), layers, RankBounds(SLOTS, MAX_NEW), EQUAL)
            check(layers[0], proposal.layers[0])
            layers = proposal.layers


class TestRelief:
    @pytest.mark.parametrize('seed', range(20))
    def test_one_map_takes_the_load_off_slow_ranks(self, seed: int) -> None:
        """Guards against a group that waits for two slow ranks through several changes of its map."""
        shares = skewed(seed)
        layers = first_layers(1, EXPERTS, RANKS)
        for _ in range(3):
            layers = propose((shares,), layers, RankBounds(SLOTS, MAX_NEW), EQUAL).layers
        slow = random.Random(seed).sample(range(RANKS), 2)
        speeds = tuple(0.2 if rank in slow else 1.0 for rank in range(RANKS))
        proposal = propose((shares,), layers, RankBounds(SLOTS, MAX_NEW), speeds)
        check(layers[0], proposal.layers[0])
        assert proposal.skew_after < proposal.skew_before / 2

    @pytest.mark.parametrize('seed', range(20))
    def test_any_speeds_leave_a_valid_map(self, seed: int) -> None:
        """Guards against an expert that no rank holds, or a map beyond the bounds of a rank."""
        rng = random.Random(seed)
        layers = first_layers(1, EXPERTS, RANKS)
        for step in range(4):
            speeds = tuple(rng.choice((0.1, RELIEF_SPEED, 0.9, 1.0)) for _ in range(RANKS))
            proposal = propose((skewed(100 * seed + step),), layers, RankBounds(SLOTS, MAX_NEW), speeds)
            check(layers[0], proposal.layers[0])
            assert all(proposal.layers[0])
            layers = proposal.layers


class TestDraft:
    @pytest.mark.parametrize('ranks', [8, 40, 129, 200])
    def test_slices_give_the_same_map(self, ranks: int) -> None:
        """Guards against a plan that depends on how many layers one step of the loop takes."""
        rng = random.Random(ranks)
        current = first_layers(4, 2 * ranks, ranks)
        shares = [tuple(rng.paretovariate(1.2) for _ in range(2 * ranks)) for _ in range(4)]
        bounds, speeds = RankBounds(3, 1), (1.0,) * ranks
        draft = Draft(shares, current, bounds, speeds)
        while not draft.is_complete:
            draft.plan(1)
        assert draft.finish() == propose(shares, current, bounds, speeds)
        assert draft.finish().skew_after < draft.finish().skew_before

    def test_layer_without_gain_keeps_its_experts(self) -> None:
        """Guards against copies of experts that improve nothing."""
        current = first_layers(2, EXPERTS, RANKS)
        even = tuple(1 + 0.001 * expert for expert in range(EXPERTS))
        proposal = propose((even, skewed(1)), current, RankBounds(SLOTS, MAX_NEW), EQUAL)
        assert proposal.layers[0] == current[0]
        assert proposal.layers[1] != current[1]
