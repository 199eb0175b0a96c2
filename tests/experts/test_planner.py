import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilcove.experts.models import Cost, ExpertMap, Popularity
from basilcove.experts.placement import greedy, hierarchical
from basilcove.experts.planner import moves_between, plan
from basilcove.experts.swaps import LayerState

_RANKS, _EXPERTS, _SLOTS = 8, 32, 5
_BALANCED = 1.1
_EVEN = (1.0,) * _RANKS

_shares = st.lists(st.floats(0.001, 100), min_size=_EXPERTS, max_size=_EXPERTS).map(tuple)


def _is_legal(layer: tuple[tuple[int, ...], ...]) -> bool:
    held = {expert for experts in layer for expert in experts}
    return held == set(range(_EXPERTS)) and all(
        len(set(experts)) == len(experts) == _SLOTS for experts in layer
    )


class TestPlacement:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(_shares)
    def test_every_expert_is_placed_once_a_rank(self, shares: tuple[float, ...]) -> None:
        """Guards against a map that lacks an expert or wastes a slot on a second copy."""
        assert _is_legal(greedy(shares, _EVEN, _SLOTS))
        assert _is_legal(hierarchical(shares, _EVEN, _SLOTS, ranks_per_node=2))


class TestPlan:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(_shares, _shares, st.integers(0, 40), st.lists(st.floats(0.3, 1), min_size=8, max_size=8))
    def test_plan_is_legal_bounded_and_pays(
        self,
        before: tuple[float, ...],
        after: tuple[float, ...],
        max_moves: int,
        capacity: list[float],
    ) -> None:
        """Guards against lost experts, unbounded traffic and moves that cost more than they gain."""
        current = ExpertMap(3, (greedy(before, _EVEN, _SLOTS), greedy(after, _EVEN, _SLOTS)))
        cost = Cost(max_moves=max_moves, move_s=0.05, capacity=tuple(capacity))
        made = plan(Popularity((after, after)), current, cost)
        assert all(_is_legal(layer) for layer in made.target.layers)
        assert len(made.moves) <= max_moves
        assert made.gain_s >= made.cost_s
        assert made.skew_after <= made.skew_before + 1e-9
        assert (made.target is current) == (not made.moves)
        expected = [
            move
            for index in range(2)
            for move in moves_between(index, current.layers[index], made.target.layers[index])
        ]
        assert sorted(map(repr, made.moves)) == sorted(map(repr, expected))

    @pytest.mark.parametrize(('move_s', 'is_planned'), [(0.002, True), (1000.0, False)])
    def test_small_gain_does_not_pay_for_expensive_moves(self, move_s: float, is_planned: bool) -> None:
        """Guards against rebalancing where fetching weights costs more than it saves."""
        shares = tuple(1 / (1 + expert) for expert in range(_EXPERTS))
        current = ExpertMap(1, (greedy(shares, _EVEN, _SLOTS),))
        made = plan(Popularity((tuple(reversed(shares)),)), current, Cost(move_s=move_s))
        assert bool(made.moves) == is_planned

    def test_growing_experts_are_replicated(self) -> None:
        """Guards against a search that ends in a local optimum with an expert that is too large."""
        shares = tuple(1 / (1 + expert) for expert in range(_EXPERTS))
        current = ExpertMap(1, (greedy(shares, _EVEN, _SLOTS),))
        for _ in range(8):
            shares = (*shares[:3], 1.4 * shares[3], 1.4 * shares[4], *shares[5:])
            made = plan(Popularity((shares,)), current, Cost())
            current = made.target
            assert made.skew_after < _BALANCED


class TestLayerState:
    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(_shares, st.integers(0, 1 << 30))
    def test_updated_loads_equal_recomputed_ones(self, shares: tuple[float, ...], seed: int) -> None:
        """Guards against loads that drift from the placement during the search."""
        rng = random.Random(seed)
        layer = LayerState(shares, greedy(shares, _EVEN, _SLOTS), _EVEN)
        for _ in range(20):
            rank, slot = rng.randrange(_RANKS), rng.randrange(_SLOTS)
            spare = [
                expert
                for expert in range(_EXPERTS)
                if rank not in layer.holders[expert] and len(layer.holders[layer.slots[rank][slot]]) > 1
            ]
            if spare:
                layer.replace(rank, slot, rng.choice(spare))
        again = LayerState(shares, tuple(map(tuple, layer.slots)), _EVEN)
        assert layer.load == pytest.approx(again.load)
        assert layer.unit == pytest.approx(again.unit)
