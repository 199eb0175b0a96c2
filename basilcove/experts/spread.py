"""Spreads requests over the ranks of a group by work."""

import heapq
from collections.abc import Sequence

from basilcove.core.ids import Rank


class WorkSpreader:
    """Chooses the rank that needs the least time for its queued work."""

    def __init__(self, capacity: Sequence[float]) -> None:
        """Start idle; ``capacity`` is the relative speed of each rank."""
        self._capacity = list(capacity)
        self._work = [0.0 for _ in capacity]
        self._generation = [0 for _ in capacity]
        self._heap = [(0.0, rank, 0) for rank in range(len(self._capacity))]

    def assign(self, work: float) -> Rank:
        """Choose a rank for a request and add its estimated work to the rank's queue."""
        while self._heap[0][2] != self._generation[self._heap[0][1]]:
            heapq.heappop(self._heap)
        rank = self._heap[0][1]
        self._add_work(rank, work)
        return Rank(rank)

    def finish(self, rank: Rank, work: float) -> None:
        """Subtract work that was done or cancelled."""
        self._add_work(rank, -work)

    def set_capacity(self, capacity: Sequence[float]) -> None:
        """Use new relative speeds from now on."""
        self._capacity = list(capacity)
        for rank, _ in enumerate(capacity):
            self._add_work(rank, 0)

    def queued(self, rank: Rank) -> float:
        """Return the queued work of a rank."""
        return self._work[rank]

    def _add_work(self, rank: int, work: float) -> None:
        self._work[rank] = max(0.0, self._work[rank] + work)
        self._generation[rank] += 1
        # Outdated entries are recognised by their generation. They are dropped when they get to the top
        # or, if their work changes far more often than ranks are chosen, all together.
        heapq.heappush(self._heap, (self._work[rank] / self._capacity[rank], rank, self._generation[rank]))
        if len(self._heap) > 8 * len(self._capacity):
            self._heap = [entry for entry in self._heap if entry[2] == self._generation[entry[1]]]
            heapq.heapify(self._heap)
