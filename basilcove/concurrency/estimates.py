"""Estimates how many streams a group can run at the same time so that the most of them are on time.

Guards against a group in lock-step that runs so many streams that nearly all of them are late. Each further
stream makes each pass longer, by about the same fraction whatever makes passes long at the moment: prompts,
the map, skewed popularity. A stream is late if one of its passes is, so the longest pass during its time
counts. Pauses of a stalled group are late at each load, so they don't speak for a lower one.
"""

import math
from bisect import bisect_right
from collections import Counter, deque
from dataclasses import dataclass, field

from basilcove.concurrency.const import (
    ASSUMED_PAUSES,
    BASE_LOAD,
    INTERVAL_S,
    LEVEL_TIME_S,
    LOAD_GROWTH,
    MAX_LEVEL_STEP,
    MAX_STREAM_S,
    MEMORY_S,
    MIN_INTERVALS,
    MIN_LIMIT,
    MIN_LOAD,
    MIN_PAUSES,
    MIN_STREAM_S,
    PAUSE_QUANTILE,
    TARGET_LIFETIME_S,
)
from basilcove.concurrency.messages import GroupPauses
from basilcove.concurrency.pauses import mean_of, quantile_of

_LEVEL_WEIGHT = 1 - math.exp(-INTERVAL_S / LEVEL_TIME_S)
_COUNT_DECAY = math.exp(-INTERVAL_S / MEMORY_S)


@dataclass(frozen=True, slots=True)
class Interval:
    """Longest pass in an interval over load, as all streams saw it, and the level before the interval."""

    ended_at: float
    unit_s: float
    level_s: float


@dataclass(frozen=True, slots=True)
class Outlook:
    """What the pauses of a group lead to expect.

    ``load`` is the number of requests in flight a rank at which the most streams are on time, ``gain`` by
    which factor these are more than with all slots in use, and ``on_time_share`` their share at that load.
    """

    load: float
    gain: float
    on_time_share: float


@dataclass(slots=True)
class GroupEstimate:
    """Pauses of a group; times are monotonic seconds.

    ``level_s`` is the present length of a pass over the sum of ``BASE_LOAD`` and the load.
    """

    level_s: float = 0
    intervals: deque[Interval] = field(default_factory=deque)
    targets: dict[float, float] = field(default_factory=dict)
    mean_pause_s: float = 0
    _counts: Counter[int] = field(default_factory=Counter)
    _streams: float = 0
    _pauses: float = 0

    def add(self, pauses: GroupPauses, now: float) -> None:
        """Add what a gateway reports."""
        self._counts.update(pauses.counts)
        self._pauses += sum(pauses.counts.values())
        self._streams += pauses.streams
        if pauses.counts:
            self.targets[pauses.target_s] = now

    def target_s(self, now: float) -> float | None:
        """Return the tightest target of the streams that ran lately; None if there is none."""
        for target, seen_at in tuple(self.targets.items()):
            if now - seen_at > TARGET_LIFETIME_S:
                del self.targets[target]
        return min(self.targets, default=None)

    def end_interval(self, load: float, now: float) -> bool:
        """Draw on the pauses since the last interval; ``load`` is the requests that run a rank.

        Returns whether the interval had enough pauses and load.
        """
        counts, self._counts = self._counts, Counter()
        while self.intervals and now - self.intervals[0].ended_at > MEMORY_S:
            self.intervals.popleft()
        if load < MIN_LOAD or counts.total() < MIN_PAUSES:
            return False
        self.mean_pause_s = mean_of(counts)
        self._streams *= _COUNT_DECAY
        self._pauses *= _COUNT_DECAY
        unit_s = quantile_of(counts, PAUSE_QUANTILE) / (BASE_LOAD + load)
        level_s = self.level_s or unit_s
        self.intervals.append(Interval(now, unit_s, level_s))
        step = min(MAX_LEVEL_STEP, max(1 / MAX_LEVEL_STEP, unit_s / level_s))
        self.level_s = level_s * math.pow(step, _LEVEL_WEIGHT)
        return True

    def look_ahead(self, slots: int, now: float) -> Outlook | None:
        """Return what to expect; None if too little is known. ``slots`` are those of a rank.

        The cost grows with the intervals remembered, 150 at most, times those within the time of a stream.
        """
        target_s = self.target_s(now)
        excesses = self._excesses(now)
        if target_s is None or len(excesses) < MIN_INTERVALS:
            return None
        bound = target_s / self.level_s
        load = max(MIN_LIMIT, float(slots))
        at_slots = _goodput(load, excesses, bound)
        best, best_load = at_slots, load
        while load > MIN_LIMIT:
            load = max(MIN_LIMIT, load / LOAD_GROWTH)
            goodput = _goodput(load, excesses, bound)
            if goodput > best:
                best, best_load = goodput, load
        share = best * (BASE_LOAD + best_load) / best_load
        return Outlook(best_load, best / at_slots if at_slots else math.inf, share)

    def _excesses(self, now: float) -> list[float]:
        """Return by which factor the longest pass of a stream exceeded the level at its start, in order."""
        stream_s = self._stream_s()
        units: list[float] = []
        excesses = []
        intervals = self.intervals
        ahead = deque[Interval]()
        position = 0
        for interval in intervals:
            if interval.ended_at + stream_s > now:
                break
            while position < len(intervals) and intervals[position].ended_at < interval.ended_at + stream_s:
                ahead.append(intervals[position])
                position += 1
            units = [other.unit_s for other in ahead]
            excesses.append(max(units) / interval.level_s)
            ahead.popleft()
        excesses.sort()
        return excesses

    def _stream_s(self) -> float:
        pauses = self._pauses / self._streams if self._streams else ASSUMED_PAUSES
        return min(MAX_STREAM_S, max(MIN_STREAM_S, pauses * self.mean_pause_s))


def _goodput(load: float, excesses: list[float], bound: float) -> float:
    """Return a measure of the streams that end on time in a second with ``load`` requests a rank."""
    total = BASE_LOAD + load
    # The mean over nearby loads evens out the steps of an empirical distribution.
    shares = [bisect_right(excesses, bound / (total * factor)) for factor in (0.95, 1, 1.05)]
    return load / total * sum(shares) / len(shares) / len(excesses)
