"""Spreads requests over the ranks of a group by work."""

import heapq
from collections.abc import Sequence

from basilcove.core.ids import Rank


class WorkSpreader:
    """Chooses the rank whose queued work takes the least time at its capacity."""

    def __init__(self, capacity: Sequence[float]) -> None:
        """Start idle; ``capacity`` is the relative speed of each rank."""
        self._capacity = list(capacity)
        self._work = [0.0 for _ in capacity]
        self._stamp = [0 for _ in capacity]
        self._heap = [(0.0, rank, 0) for rank in range(len(self._capacity))]

    def assign(self, work: float) -> Rank:
        """Choose a rank for a request of this estimated work and charge it."""
        while self._heap[0][2] != self._stamp[self._heap[0][1]]:
            heapq.heappop(self._heap)
        rank = self._heap[0][1]
        self._charge(rank, work)
        return Rank(rank)

    def finish(self, rank: Rank, work: float) -> None:
        """Take off work that was done or cancelled."""
        self._charge(rank, -work)

    def set_capacity(self, capacity: Sequence[float]) -> None:
        """Use new relative speeds from now on."""
        self._capacity = list(capacity)
        for rank, _ in enumerate(capacity):
            self._charge(rank, 0)

    def queued(self, rank: Rank) -> float:
        """Return the work that the rank has yet to do."""
        return self._work[rank]

    def _charge(self, rank: int, work: float) -> None:
        self._work[rank] = max(0.0, self._work[rank] + work)
        self._stamp[rank] += 1
        # Outdated entries are recognised by their stamp; they are dropped when on top
        # or, where ranks are charged far more often than chosen, all at once.
        heapq.heappush(self._heap, (self._work[rank] / self._capacity[rank], rank, self._stamp[rank]))
        if len(self._heap) > 8 * len(self._capacity):
            self._heap = [entry for entry in self._heap if entry[2] == self._stamp[entry[1]]]
            heapq.heapify(self._heap)
