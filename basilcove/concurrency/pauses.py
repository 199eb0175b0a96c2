"""Histograms of the pauses between events of streams, and their collection in a gateway."""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from basilcove.concurrency.const import BUCKET_GROWTH, MAX_BUCKET, MIN_BUCKET
from basilcove.concurrency.messages import GroupPauses, PauseReport
from basilcove.core.ids import GroupName

_LOG_GROWTH = math.log(BUCKET_GROWTH)


def bucket_of(pause_s: float) -> int:
    """Return the bucket of a pause in seconds; buckets grow by a constant factor."""
    if pause_s <= 0:
        return MIN_BUCKET
    return min(MAX_BUCKET, max(MIN_BUCKET, math.floor(math.log(pause_s) / _LOG_GROWTH)))


def pause_of(bucket: int) -> float:
    """Return the middle of a bucket in seconds."""
    return math.pow(BUCKET_GROWTH, bucket + 0.5)


def mean_of(counts: Mapping[int, int]) -> float:
    """Return the mean of a histogram that isn't empty, in seconds."""
    return sum(pause_of(bucket) * count for bucket, count in counts.items()) / sum(counts.values())


def quantile_of(counts: Mapping[int, int], quantile: float) -> float:
    """Return a quantile of a histogram that isn't empty, in seconds."""
    remaining = quantile * sum(counts.values())
    for bucket in sorted(counts):
        remaining -= counts[bucket]
        if remaining <= 0:
            return pause_of(bucket)
    return pause_of(max(counts))


@dataclass(slots=True)
class _Pauses:
    target_s: float
    counts: Counter[int] = field(default_factory=Counter)
    streams: int = 0


@dataclass(slots=True)
class PauseMeter:
    """Pauses that a gateway has seen since its last report; times are monotonic seconds."""

    reported_at: float = 0
    _groups: dict[GroupName, _Pauses] = field(default_factory=dict)

    def record(self, group: GroupName, pause_s: float, target_s: float, *, is_first: bool) -> None:
        """Add a pause of a stream; ``is_first`` if it is the first one of an attempt."""
        pauses = self._groups.get(group)
        if pauses is None:
            pauses = _Pauses(target_s)
            self._groups[group] = pauses
        pauses.target_s = min(pauses.target_s, target_s)
        pauses.counts[bucket_of(pause_s)] += 1
        pauses.streams += is_first

    def take_report(self, now: float, interval_s: float) -> PauseReport | None:
        """Return the report and start the next one; None if it is empty or not due yet."""
        if not self._groups or now - self.reported_at < interval_s:
            return None
        self.reported_at = now
        groups = tuple(
            GroupPauses(group, dict(pauses.counts), pauses.target_s, pauses.streams)
            for group, pauses in self._groups.items()
        )
        self._groups.clear()
        return PauseReport(groups)
