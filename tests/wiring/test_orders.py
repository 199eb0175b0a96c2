from collections import Counter

import pytest

from basilcove.core.ids import UpstreamName
from basilcove.environment.models import Group
from basilcove.wiring.orders import first_layers, fits

ENGINES = (UpstreamName('engine-1'),)


class TestFirstMap:
    @pytest.mark.parametrize(('slots', 'filled'), [(None, 64), (3, 72), (4, 96), (64, 1536)])
    def test_first_map_holds_every_expert_and_fills_every_slot(self, slots: int | None, filled: int) -> None:
        """Guards against an expert that no rank holds, and against spare slots without replicas."""
        group = Group(ranks=24, experts=64, layers=2, upstreams=ENGINES, expert_slots=slots)
        layers = first_layers(group)
        assert len(layers) == 2
        for layer in layers:
            copies = Counter(expert for rank in layer for expert in rank)
            assert set(copies) == set(range(64))
            assert max(copies.values()) <= min(copies.values()) + 1
            assert all(len(set(rank)) == len(rank) for rank in layer)
            assert copies.total() == filled

    @pytest.mark.parametrize('change', [{'ranks': 2}, {'experts': 6}, {'layers': 3}, {'expert_slots': 3}])
    def test_map_fits_only_a_group_of_its_size(self, change: dict[str, int]) -> None:
        """Guards against a group that keeps a map of its former size when the document changes."""
        group = Group(ranks=4, experts=8, layers=2, upstreams=ENGINES)
        layers = first_layers(group)
        assert fits(group, layers)
        assert not fits(group.model_copy(update=change), layers)
