"""The law by which the passes of a group get longer with the requests that run."""

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from statistics import fmean, median
from typing import Self

from basilcove.concurrency.const import (
    BASE_LOAD,
    BASE_WEIGHT,
    INTERVAL_S,
    LEVEL_TIME_S,
    MAX_BASE_LOAD,
    STALL_FACTOR,
    STALL_WEIGHT,
)

_LEVEL_WEIGHT = 1 - math.exp(-INTERVAL_S / LEVEL_TIME_S)


@dataclass(frozen=True, slots=True)
class Interval:
    """Longest pass in an interval, as most streams saw it, and the requests that ran a rank."""

    ended_at: float
    pause_s: float
    load: float


@dataclass(frozen=True, slots=True)
class PassLaw:
    """A pass lasts the sum of ``base`` and the load times a level in seconds that changes with time.

    ``base`` is the requests a rank that lengthen a pass as much as its fixed part.
    """

    base: float = BASE_LOAD

    @classmethod
    def fit(cls, intervals: Collection[Interval]) -> Self:
        """Fit the law to intervals by least squares, with ``BASE_LOAD`` as prior.

        Only intervals without a limit tell: a limit is low where passes are long, which hides what load does.
        """
        prior = cls()
        usual_s = median(map(prior.unit, intervals))
        sound = [interval for interval in intervals if prior.unit(interval) < STALL_FACTOR * usual_s]
        load = fmean(interval.load for interval in sound)
        pause_s = fmean(interval.pause_s for interval in sound)
        variance = fmean((interval.load - load) ** 2 for interval in sound)
        covariance = fmean((interval.load - load) * (interval.pause_s - pause_s) for interval in sound)
        prior_slope = pause_s / (BASE_LOAD + load)
        slope = (covariance + BASE_WEIGHT * prior_slope) / (variance + BASE_WEIGHT)
        if slope <= 0:
            return cls(MAX_BASE_LOAD)
        return cls(min(MAX_BASE_LOAD, max(BASE_LOAD, pause_s / slope - load)))

    def unit(self, interval: Interval) -> float:
        """Return the length of a pass in seconds over the sum of the base and the load."""
        return interval.pause_s / (self.base + interval.load)

    def levels(self, intervals: Collection[Interval]) -> Iterator[float]:
        """Yield the smoothed unit before each interval, and that after the last one."""
        level_s: float | None = None
        for interval in intervals:
            unit_s = self.unit(interval)
            if level_s is None:
                level_s = unit_s
            yield level_s
            ratio = unit_s / level_s
            weight = STALL_WEIGHT if ratio > STALL_FACTOR else 1
            level_s *= math.pow(min(STALL_FACTOR, ratio), _LEVEL_WEIGHT * weight)
        if level_s is not None:
            yield level_s
