"""Estimates how many streams a group can run at the same time so that the most of them are on time.

Guards against a group in lock-step that runs so many streams that nearly all of them are late. Each further
stream makes each pass longer, by about the same fraction whatever makes passes long at the moment: prompts,
the map, skewed popularity. A stream is late if one of its passes is, so the longest pass during its time
counts. Pauses of a stalled group are late at each load, so they don't speak for a lower one.
"""

import math
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

from basilcove.concurrency.const import (
    ASSUMED_EXCESSES,
    ASSUMED_PAUSES,
    INTERVAL_S,
    LATE_INTERVALS,
    LATE_VALUE,
    LOAD_GROWTH,
    MAX_STREAM_S,
    MEMORY_S,
    MIN_EXCESSES,
    MIN_INTERVALS,
    MIN_LIMIT,
    MIN_LOAD,
    MIN_PAUSES,
    MIN_STREAM_S,
    PAUSE_QUANTILE,
    PROBATION_S,
    RECENT_S,
    STALL_FACTOR,
    TARGET_LIFETIME_S,
)
from basilcove.concurrency.laws import Interval, PassLaw
from basilcove.concurrency.messages import GroupPauses
from basilcove.concurrency.pauses import mean_of, quantile_of

_COUNT_DECAY = math.exp(-INTERVAL_S / MEMORY_S)


@dataclass(frozen=True, slots=True)
class Outlook:
    """What the pauses of a group lead to expect.

    ``load`` is the number of requests in flight a rank at which streams are worth most to callers, ``gain``
    by which factor that is more than with all slots in use, and ``on_time_share`` the share on time there.
    ``seen_share`` is the share of the latest streams that were on time, and ``recent_share`` that of those
    of the last few seconds; 1 if none has ended.
    """

    load: float
    gain: float
    on_time_share: float
    seen_share: float
    recent_share: float


@dataclass(slots=True)
class GroupEstimate:
    """Pauses of a group; times are monotonic seconds."""

    law: PassLaw = field(default_factory=PassLaw)
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

    def end_interval(self, load: float, now: float, *, is_limited: bool) -> bool:
        """Draw on the pauses since the last interval; ``load`` is the requests that run a rank.

        ``is_limited`` tells whether the group has a limit. Returns whether the interval had
        enough pauses and load.
        """
        counts, self._counts = self._counts, Counter()
        while self.intervals and now - self.intervals[0].ended_at > MEMORY_S:
            self.intervals.popleft()
        if load < MIN_LOAD or counts.total() < MIN_PAUSES:
            return False
        self.mean_pause_s = mean_of(counts)
        self._streams *= _COUNT_DECAY
        self._pauses *= _COUNT_DECAY
        self.intervals.append(Interval(now, quantile_of(counts, PAUSE_QUANTILE), load))
        if not is_limited:
            self.law = PassLaw.fit(self.intervals)
        return True

    def look_ahead(self, slots: int, now: float) -> Outlook | None:
        """Return what to expect; None if too little is known. ``slots`` are those of a rank.

        The cost grows with the intervals remembered, 150 at most, times those within the time of a stream.
        """
        target_s = self.target_s(now)
        if target_s is None:
            return None
        is_late = self._is_late(target_s)
        if len(self.intervals) < MIN_INTERVALS and not is_late:
            return None
        levels = tuple(self.law.levels(self.intervals))
        excesses = self._excesses(levels, now)
        if len(excesses) < MIN_EXCESSES:
            excesses = sorted((*excesses, *ASSUMED_EXCESSES))
        loads = _Loads(self.law.base, excesses, target_s / levels[-1])
        best_load, gain = loads.compare(max(MIN_LIMIT, float(slots)))
        return Outlook(
            best_load,
            gain,
            loads.share(best_load),
            self._seen_share(target_s, now, PROBATION_S),
            0 if is_late else self._seen_share(target_s, now, RECENT_S),
        )

    def _is_late(self, target_s: float) -> bool:
        """Return whether every pass of the last intervals was too long for any stream to be on time."""
        latest = islice(reversed(self.intervals), LATE_INTERVALS)
        return len(self.intervals) >= LATE_INTERVALS and all(entry.pause_s > target_s for entry in latest)

    def _excesses(self, levels: tuple[float, ...], now: float) -> list[float]:
        """Return by which factor the longest pass of a stream exceeded the level at its start, in order."""
        excesses = []
        for (_, ahead), level_s in zip(self._streams_until(now), levels, strict=False):
            excess = max(map(self.law.unit, ahead)) / level_s
            excesses.append(excess if excess < STALL_FACTOR else math.inf)
        return sorted(excesses)

    def _seen_share(self, target_s: float, now: float, window_s: float) -> float:
        """Return the share on time of the streams that started within a time and have ended."""
        on_time = [
            all(interval.pause_s <= target_s for interval in ahead)
            for start, ahead in self._streams_until(now)
            if start.ended_at > now - window_s
        ]
        return sum(on_time) / len(on_time) if on_time else 1

    def _streams_until(self, now: float) -> Iterator[tuple[Interval, tuple[Interval, ...]]]:
        """Yield for each interval those during a stream that starts in it and has ended since."""
        stream_s = self._stream_s()
        intervals = tuple(self.intervals)
        end = 0
        for position, interval in enumerate(intervals):
            if interval.ended_at + stream_s > now:
                return
            while end < len(intervals) and intervals[end].ended_at < interval.ended_at + stream_s:
                end += 1
            yield interval, intervals[position:end]

    def _stream_s(self) -> float:
        pauses = self._pauses / self._streams if self._streams else ASSUMED_PAUSES
        return min(MAX_STREAM_S, max(MIN_STREAM_S, pauses * self.mean_pause_s))


@dataclass(frozen=True, slots=True)
class _Loads:
    """Expected streams on time by load; ``bound`` is the target over the present level."""

    base: float
    excesses: list[float]
    bound: float

    def compare(self, slots: float) -> tuple[float, float]:
        """Return the best load up to the slots of a rank, and its gain over all slots."""
        at_slots = self._value(slots)
        best, best_load = at_slots, slots
        load = slots
        while load > MIN_LIMIT:
            load = max(MIN_LIMIT, load / LOAD_GROWTH)
            value = self._value(load)
            if value > best:
                best, best_load = value, load
        return best_load, best / at_slots

    def _value(self, load: float) -> float:
        """Return a measure of what a second of streams is worth with ``load`` requests a rank."""
        share = self.share(load)
        return load / (self.base + load) * (share + LATE_VALUE * (1 - share))

    def share(self, load: float) -> float:
        """Return the share of streams on time."""
        total = self.base + load
        # The mean over nearby loads evens out the steps of an empirical distribution.
        shares = [bisect_right(self.excesses, self.bound / (total * factor)) for factor in (0.95, 1, 1.05)]
        return sum(shares) / len(shares) / len(self.excesses)
