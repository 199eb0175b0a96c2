"""Detects stragglers from step times and derives the capacity of each rank."""

import statistics
from collections.abc import Sequence

from basilcove.experts.const import (
    MIN_CAPACITY,
    STRAGGLER_RATIO,
    STRAGGLER_RECOVERED_RATIO,
    STRAGGLER_SMOOTHING,
    STRAGGLER_WINDOWS,
)


class StragglerDetector:
    """Compares each rank's time for a unit of work with the group's median."""

    def __init__(self, ranks: int) -> None:
        """Start with all ranks at full capacity."""
        self._ratio = [1.0 for _ in range(ranks)]
        self._slow_windows = [0 for _ in range(ranks)]
        self._is_slow = [False for _ in range(ranks)]

    def observe(self, step_s: Sequence[float], work: Sequence[float]) -> None:
        """Update from the ranks' own times before the barrier and their work in one window.

        The time is divided by the work, so that a rank with popular experts
        is not mistaken for a slow one.
        """
        time_per_work = [
            seconds / amount if amount > 0 else 0.0 for seconds, amount in zip(step_s, work, strict=True)
        ]
        median = statistics.median(time_per_work)
        if median <= 0:
            return
        for rank, own in enumerate(time_per_work):
            self._ratio[rank] += STRAGGLER_SMOOTHING * (own / median - self._ratio[rank])
            self._update_state(rank, own / median)

    def stragglers(self) -> list[int]:
        """Return the ranks that are to be relieved."""
        return [rank for rank, slow in enumerate(self._is_slow) if slow]

    def capacity(self) -> tuple[float, ...]:
        """Return the relative speed of each rank: 1, or less for a straggler."""
        return tuple(
            max(MIN_CAPACITY, min(1.0, 1 / ratio)) if slow else 1.0
            for ratio, slow in zip(self._ratio, self._is_slow, strict=True)
        )

    def _update_state(self, rank: int, ratio: float) -> None:
        if self._is_slow[rank]:
            # Hysteresis on the smoothed ratio prevents weights from moving back and forth.
            self._is_slow[rank] = self._ratio[rank] > STRAGGLER_RECOVERED_RATIO
            return
        self._slow_windows[rank] = self._slow_windows[rank] + 1 if ratio > STRAGGLER_RATIO else 0
        if self._slow_windows[rank] >= STRAGGLER_WINDOWS:
            self._is_slow[rank] = True
            self._slow_windows[rank] = 0
