import random

import pytest

from basilcove.catalog.outcomes import ClaimGranted
from basilcove.core.ids import NodeId
from tests.consensus.cluster import Cluster, claim

EPISODES = 4
# After the last lost host is back or replaced, the time after which it counts as sound again.
CATCH_UP_S = 8.0
MAX_FROZEN_S = 9.0
MAX_DOWN_S = 3.0


class Losses:
    """Draws freezes, lost disks and replaced hosts that overlap, no more disks at once than is promised."""

    def __init__(self, size: int, tolerance: int, seed: int) -> None:
        self.cluster = Cluster(3, seed, admits_unknown=True, fault_tolerance=tolerance)
        self.size, self.tolerance = size, tolerance
        self.rng = random.Random(seed)
        self.claims = 0
        self.added = 3
        for _ in range(3, size):
            self._add()
        self.cluster.run(10)

    def play(self) -> None:
        """Play an episode, and check at its end that every acknowledged claim is held."""
        frozen = self.rng.sample(sorted(self.cluster.hosts), self.rng.randint(0, self.tolerance))
        for name in frozen:
            self.cluster.hosts[name].is_frozen = True
        self.cluster.run(self.rng.uniform(0, MAX_FROZEN_S))
        self._claim()
        lost = self._lose()
        for name in self.rng.sample(frozen, len(frozen)):
            self.cluster.run(self.rng.uniform(0, MAX_DOWN_S))
            if name in self.cluster.hosts:
                self.cluster.thaw(name)
        for name in lost:
            self.cluster.run(self.rng.uniform(0, MAX_DOWN_S))
            self._return(name)
        self.cluster.run(CATCH_UP_S)
        self._claim()
        held = self.cluster.elect().catalog.claims['']
        assert len(held.rows) == self.claims

    def _add(self) -> None:
        self.added += 1
        self.cluster.add_host(NodeId(f'host-{self.added}'))

    def _lose(self) -> list[NodeId]:
        names = self.rng.sample(sorted(self.cluster.hosts), self.rng.randint(1, self.tolerance))
        for name in names:
            self.cluster.lose_disk(name)
            self.cluster.run(self.rng.choice((0, 0, 0.2, 1.5)))
        return names

    def _return(self, name: NodeId) -> None:
        """Start a host with an empty disk at its former address or, in place of it, at a new one."""
        if self.rng.choice((True, False)):
            self.cluster.start(name)
        else:
            self._add()

    def _claim(self) -> None:
        self.claims += 1
        assert self.cluster.ask(f'claim-{self.claims}', claim(self.claims)) == ClaimGranted()


class TestPromisedLosses:
    @pytest.mark.parametrize(('size', 'tolerance'), [(3, 1), (5, 2), (6, 2), (8, 2)])
    @pytest.mark.parametrize('seed', range(5))
    def test_group_holds_what_it_acknowledged_after_losses_that_overlap(
        self, size: int, tolerance: int, seed: int
    ) -> None:
        """Guards against voters that are removed while their disks hold what was acknowledged."""
        losses = Losses(size, tolerance, seed)
        for _ in range(EPISODES):
            losses.play()
