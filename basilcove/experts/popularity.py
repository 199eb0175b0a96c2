"""Popularity of experts: counted at the ranks, reported as changes, merged in the group."""

from array import array
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from basilcove.core.ids import Rank, UpstreamName
from basilcove.experts.const import (
    FORECAST_RANGE,
    JUMP_DISTANCE,
    MIN_POPULARITY,
    POPULARITY_HALF_LIFE_S,
    REPORT_CHANGE_FRACTION,
)
from basilcove.experts.models import Popularity

# A report is a sequence of (gap to the previous index, change of the count), each a
# variable-length integer; changes are zigzag-coded.
_MORE = 0x80
_PAYLOAD = 0x7F
_PAYLOAD_BITS = 7

# What reports: a rank, or the ranks of an engine together.
Source: TypeAlias = Rank | UpstreamName


class ReportFault(ValueError):
    """A report is malformed or out of range."""


class CountReporter:
    """Counts of one rank; encodes what changed since the last report that was sent."""

    def __init__(self, layers: int, experts: int) -> None:
        """Start with zero counts."""
        self._experts = experts
        self._reported = array('q', bytes(8 * layers * experts))

    def encode(self, counts: Iterable[int], *, full: bool = False) -> bytes:
        """Encode the counts of one interval, layer by layer; ``full`` after a lost report.

        Counts that changed little are left out, and the receiver keeps the former ones.
        """
        if full:
            self._reported = array('q', bytes(8 * len(self._reported)))
        out = bytearray()
        last = -1
        for index, count in enumerate(counts):
            change = count - self._reported[index]
            if abs(change) <= REPORT_CHANGE_FRACTION * self._reported[index]:
                continue
            _put(out, index - last - 1)
            _put(out, change << 1 if change >= 0 else (-change << 1) - 1)
            self._reported[index] = count
            last = index
        return bytes(out)


@dataclass(slots=True)
class _Reported:
    counts: 'array[int]'
    sequence: int


class PopularityMerger:
    """Sums the ranks' counts, lets older intervals decay and forecasts the next ones."""

    def __init__(self, layers: int, experts: int) -> None:
        """Start without knowledge: all experts are equally popular."""
        self._size = layers * experts
        self._experts = experts
        self._sources: dict[Source, _Reported] = {}
        self._once = [0.0 for _ in range(self._size)]
        self._twice = self._once.copy()
        self._trend_per_s = 0.0

    def merge(self, rank: Source, sequence: int, report: bytes, *, full: bool = False) -> bool:
        """Apply a report; False asks the rank for a full one, as a report was lost.

        A repeated report changes nothing. ReportFault if the report is malformed.
        """
        source = self._sources.get(rank)
        if source is not None and sequence == source.sequence:
            return True
        if not full and (source is None or sequence != source.sequence + 1):
            return False
        counts = array('q', bytes(8 * self._size)) if full or source is None else array('q', source.counts)
        for index, change in _changes(report):
            if index >= self._size or counts[index] + change < 0:
                raise ReportFault(f'report of rank {rank} is out of range at index {index}')
            counts[index] += change
        self._sources[rank] = _Reported(counts, sequence)
        return True

    def forget(self, rank: Source) -> None:
        """Drop the counts of a rank that left."""
        self._sources.pop(rank, None)

    @property
    def selections(self) -> int:
        """Sum of all counts in the newest reports."""
        return sum(sum(source.counts) for source in self._sources.values())

    def advance(self, interval_s: float) -> None:
        """End an interval: smooth the counts twice, which yields their level and their trend.

        A layer whose mix jumped starts anew from its newest counts: smoothing would
        take several intervals to follow, and the trend would overshoot.
        """
        totals = [0 for _ in range(self._size)]
        for source in self._sources.values():
            totals = list(map(int.__add__, totals, source.counts))
        keep = 0.5 ** (interval_s / POPULARITY_HALF_LIFE_S)
        for first in range(0, self._size, self._experts):
            self._smooth(totals, first, keep)
        self._trend_per_s = (1 - keep) / keep / interval_s

    def popularity(self, lead_s: float = 0) -> Popularity:
        """Forecast the counts of one interval, ``lead_s`` ahead; never zero, so that all are placed."""
        floor = MIN_POPULARITY * (1 + sum(self._once) / self._size)
        ahead = 1 + lead_s * self._trend_per_s
        # Level 2a - b plus trend (a - b) of Brown's double exponential smoothing.
        forecast = [
            max(floor, once + ahead * (once - twice), once / FORECAST_RANGE)
            for once, twice in zip(self._once, self._twice, strict=True)
        ]
        return Popularity(
            tuple(
                tuple(forecast[first : first + self._experts])
                for first in range(0, self._size, self._experts)
            )
        )

    def _smooth(self, totals: list[int], first: int, keep: float) -> None:
        end = first + self._experts
        has_jumped = _distance(self._once[first:end], totals[first:end]) > JUMP_DISTANCE
        for index in range(first, end):
            count = totals[index]
            if has_jumped:
                self._once[index] = count
                self._twice[index] = count
                continue
            once = count + keep * (self._once[index] - count)
            self._once[index] = once
            self._twice[index] = once + keep * (self._twice[index] - once)


def _distance(former: Sequence[float], fresh: Sequence[float]) -> float:
    """Return the part of the selections that changed experts, 0 to 1."""
    former_sum = sum(former)
    fresh_sum = sum(fresh)
    if not former_sum or not fresh_sum:
        return float(former_sum != fresh_sum)
    scale = fresh_sum / former_sum
    apart = sum(abs(scale * old - new) for old, new in zip(former, fresh, strict=True))
    return apart / fresh_sum / 2


def _put(out: bytearray, number: int) -> None:
    while number > _PAYLOAD:
        out.append(number & _PAYLOAD | _MORE)
        number >>= _PAYLOAD_BITS
    out.append(number)


def _changes(report: bytes) -> Iterable[tuple[int, int]]:
    index = -1
    numbers = _numbers(report)
    for gap in numbers:
        coded = next(numbers, None)
        if coded is None:
            raise ReportFault('report ends within an entry')
        index += gap + 1
        yield index, -((coded + 1) >> 1) if coded & 1 else coded >> 1


def _numbers(report: bytes) -> Iterator[int]:
    number = 0
    shift = 0
    for octet in report:
        number |= (octet & _PAYLOAD) << shift
        shift += _PAYLOAD_BITS
        if octet & _MORE:
            continue
        yield number
        number = 0
        shift = 0
    if shift:
        raise ReportFault('report ends within a number')
