"""Measured speed, ratio of real to estimated work, and decayed rates."""

import math
from dataclasses import dataclass, field

from basilcove.admission.const import (
    AVERAGED_ATTEMPTS,
    DEMAND_CAP_FACTOR,
    DEMAND_CAP_FRACTION,
    DEMAND_TIME_CONSTANT_S,
    DEMAND_WARM_UP_S,
    RATE_TIME_CONSTANT_S,
    RATIO_BOUNDS,
)

_DECAY = 1 - 1 / AVERAGED_ATTEMPTS


@dataclass(slots=True)
class Ratio:
    """Ratio of two sums whose terms decay exponentially.

    ``quotient`` is None while the denominator is 0, and ``bounded`` is then 1; otherwise ``bounded`` is the
    quotient clamped to ``RATIO_BOUNDS``.
    """

    numerator: float = 0
    denominator: float = 0
    quotient: float | None = None
    bounded: float = 1

    def add(self, numerator: float, denominator: float) -> None:
        """Add one term to each sum."""
        self.numerator = self.numerator * _DECAY + numerator
        self.denominator = self.denominator * _DECAY + denominator
        if self.denominator > 0:
            self.quotient = self.numerator / self.denominator
            self.bounded = min(max(self.quotient, RATIO_BOUNDS[0]), RATIO_BOUNDS[1])


@dataclass(slots=True)
class Rate:
    """Amount per second, averaged over an exponential window."""

    total: float = 0
    updated_at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at this time."""
        self.total = self._decayed(now) + amount
        self.updated_at = max(self.updated_at, now)

    def per_s(self, now: float) -> float:
        """Return the rate at this time."""
        return self._decayed(now) / RATE_TIME_CONSTANT_S

    def _decayed(self, now: float) -> float:
        return self.total * math.exp(min(self.updated_at - now, 0) / RATE_TIME_CONSTANT_S)


@dataclass(slots=True)
class Demand:
    """Slow average of the work offered per second; short overloads count only in part."""

    recent: Rate = field(default_factory=Rate)
    total: float = 0
    average: float = 0
    started_at: float | None = None
    updated_at: float = 0
    frozen_until: float = 0

    def freeze(self, now: float) -> None:
        """Keep the average unchanged for a while: work offered in an overload is not representative."""
        self.frozen_until = now + RATE_TIME_CONSTANT_S

    def add(self, work: float, tokens_per_s: float, now: float) -> None:
        """Add work that was offered to an upstream of this speed."""
        if self.started_at is None:
            self.started_at = now
            self.updated_at = now
        self.recent.add(work, now)
        self.total += work
        self.per_s(tokens_per_s, now)

    def per_s(self, tokens_per_s: float, now: float) -> float:
        """Return the average at this time."""
        if self.started_at is None:
            return 0
        elapsed = now - self.started_at
        if elapsed < DEMAND_WARM_UP_S:
            self.average = self.total / DEMAND_WARM_UP_S
        elif now >= self.frozen_until:
            cap = max(self.average * DEMAND_CAP_FACTOR, tokens_per_s * DEMAND_CAP_FRACTION)
            gain = -math.expm1(min(self.updated_at - now, 0) / DEMAND_TIME_CONSTANT_S)
            self.average += gain * (min(self.recent.per_s(now), cap) - self.average)
        self.updated_at = now
        return self.average
