"""Measured speed, ratio of real to estimated work, and decayed rates."""

import math
from dataclasses import dataclass, field

from basilcove.admission.const import (
    DEMAND_FACTOR,
    DEMAND_FRACTION,
    DEMAND_TIME_CONSTANT_S,
    DEMAND_WARM_UP_S,
    RATE_TIME_CONSTANT_S,
    RATIO_BOUNDS,
    SPEED_MEMORY_ATTEMPTS,
)

_KEPT = 1 - 1 / SPEED_MEMORY_ATTEMPTS


@dataclass(slots=True)
class Ratio:
    """Ratio of two sums in which older terms count less.

    ``quotient`` is None while nothing has been added; ``bounded`` is then 1, and otherwise the quotient
    within the bounds for estimates.
    """

    upper: float = 0
    lower: float = 0
    quotient: float | None = None
    bounded: float = 1

    def add(self, upper: float, lower: float) -> None:
        """Add one term to each sum."""
        self.upper = self.upper * _KEPT + upper
        self.lower = self.lower * _KEPT + lower
        if self.lower > 0:
            self.quotient = self.upper / self.lower
            self.bounded = min(max(self.quotient, RATIO_BOUNDS[0]), RATIO_BOUNDS[1])


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


@dataclass(slots=True)
class Demand:
    """Slow average of the work offered per second; short floods count in part only."""

    recent: Rate = field(default_factory=Rate)
    total: float = 0
    average: float = 0
    first: float | None = None
    updated: float = 0
    held_until: float = 0

    def hold(self, now: float) -> None:
        """Leave the average as it is for a while: what is offered in a flood is no measure."""
        self.held_until = now + RATE_TIME_CONSTANT_S

    def add(self, work: float, tokens_per_s: float, now: float) -> None:
        """Add work that was offered, at an upstream of this speed."""
        if self.first is None:
            self.first = now
            self.updated = now
        self.recent.add(work, now)
        self.total += work
        self.per_s(tokens_per_s, now)

    def per_s(self, tokens_per_s: float, now: float) -> float:
        """Return the average at this time."""
        if self.first is None:
            return 0
        elapsed = now - self.first
        if elapsed < DEMAND_WARM_UP_S:
            self.average = self.total / DEMAND_WARM_UP_S
        elif now >= self.held_until:
            most = max(self.average * DEMAND_FACTOR, tokens_per_s * DEMAND_FRACTION)
            gain = -math.expm1(min(self.updated - now, 0) / DEMAND_TIME_CONSTANT_S)
            self.average += gain * (min(self.recent.per_s(now), most) - self.average)
        self.updated = now
        return self.average
