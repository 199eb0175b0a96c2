"""Measured speed, ratio of real to estimated work, and decayed rates."""

import math
from dataclasses import dataclass

from basilcove.admission.const import RATE_TIME_CONSTANT_S, RATIO_BOUNDS, SPEED_MEMORY_ATTEMPTS

_KEPT = 1 - 1 / SPEED_MEMORY_ATTEMPTS


@dataclass(slots=True)
class Ratio:
    """Ratio of two sums in which older terms count less."""

    upper: float = 0
    lower: float = 0

    def add(self, upper: float, lower: float) -> None:
        """Add one term to each sum."""
        self.upper = self.upper * _KEPT + upper
        self.lower = self.lower * _KEPT + lower

    @property
    def quotient(self) -> float | None:
        """The ratio; None while nothing has been added."""
        return self.upper / self.lower if self.lower > 0 else None

    @property
    def bounded(self) -> float:
        """The ratio within the bounds for estimates; 1 while nothing has been added."""
        quotient = self.quotient
        if quotient is None:
            return 1
        return min(max(quotient, RATIO_BOUNDS[0]), RATIO_BOUNDS[1])


@dataclass(slots=True)
class Rate:
    """Amount per second, averaged with an exponential window."""

    total: float = 0
    updated: float = 0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at this time."""
        self.total = self._decayed(now) + amount
        self.updated = max(self.updated, now)

    def per_s(self, now: float) -> float:
        """Return the rate at this time."""
        return self._decayed(now) / RATE_TIME_CONSTANT_S

    def _decayed(self, now: float) -> float:
        return self.total * math.exp(min(self.updated - now, 0) / RATE_TIME_CONSTANT_S)
