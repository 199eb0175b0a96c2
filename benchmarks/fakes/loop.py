"""Event loop with a virtual clock."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs callbacks in the order of their times; equal times run in the order of scheduling."""

    def __init__(self) -> None:
        """Start at 0 s."""
        self.now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Run a callback at this time, or now if it has passed."""
        heapq.heappush(self._heap, (max(when, self.now), next(self._order), callback))

    def run(self, until: float) -> None:
        """Run all callbacks up to this time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until
