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
        """Take the ranks' own times before the barrier and their work in one window.

        The time is divided by the work, so that a rank with popular experts
        is not taken for a slow one.
        """
        pace = [seconds / amount if amount > 0 else 0.0 for seconds, amount in zip(step_s, work, strict=True)]
        usual = statistics.median(pace)
        if usual <= 0:
            return
        for rank, own in enumerate(pace):
            self._ratio[rank] += STRAGGLER_SMOOTHING * (own / usual - self._ratio[rank])
            self._judge(rank, own / usual)

    def stragglers(self) -> list[int]:
        """List the ranks that are relieved."""
        return [rank for rank, slow in enumerate(self._is_slow) if slow]

    def capacity(self) -> tuple[float, ...]:
        """Return the relative speed of each rank, at most 1; only stragglers are below."""
        return tuple(
            max(MIN_CAPACITY, min(1.0, 1 / ratio)) if slow else 1.0
            for ratio, slow in zip(self._ratio, self._is_slow, strict=True)
        )

    def _judge(self, rank: int, ratio: float) -> None:
        if self._is_slow[rank]:
            # Hysteresis on the smoothed ratio keeps weights from moving back and forth.
            self._is_slow[rank] = self._ratio[rank] > STRAGGLER_RECOVERED_RATIO
            return
        self._slow_windows[rank] = self._slow_windows[rank] + 1 if ratio > STRAGGLER_RATIO else 0
        if self._slow_windows[rank] >= STRAGGLER_WINDOWS:
            self._is_slow[rank] = True
            self._slow_windows[rank] = 0
