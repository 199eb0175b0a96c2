"""Popularity of experts: counted at the ranks, reported as changes, merged in the group."""

from array import array
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from basilcove.core.ids import Rank, UpstreamName
from basilcove.experts.const import (
    JUMP_DISTANCE,
    MAX_FORECAST_DECLINE,
    MIN_POPULARITY,
    POPULARITY_HALF_LIFE_S,
    REPORT_CHANGE_FRACTION,
)
from basilcove.experts.models import Popularity

# A report is a sequence of (gap to the previous index, change of the count), each a
# variable-length integer; changes are zigzag-encoded.
_MORE = 0x80
_PAYLOAD = 0x7F
_PAYLOAD_BITS = 7

# Source of reports: a rank, or all ranks of an engine together.
Source: TypeAlias = Rank | UpstreamName


class ReportError(ValueError):
    """A report is malformed or out of range."""


class CountReporter:
    """Encodes the counts of one source as changes since its last report."""

    def __init__(self, layers: int, experts: int) -> None:
        """Start with zero counts."""
        self._experts = experts
        self._reported = array('q', bytes(8 * layers * experts))

    def encode(self, counts: Iterable[int], *, full: bool = False) -> bytes:
        """Encode the counts of one interval, layer by layer; ``full`` after a lost report.

        Counts that changed little are omitted, and the receiver keeps their former values.
        """
        if full:
            self._reported = array('q', bytes(8 * len(self._reported)))
        out = bytearray()
        last = -1
        for index, count in enumerate(counts):
            change = count - self._reported[index]
            if abs(change) <= REPORT_CHANGE_FRACTION * self._reported[index]:
                continue
            _append_varint(out, index - last - 1)
            _append_varint(out, change << 1 if change >= 0 else (-change << 1) - 1)
            self._reported[index] = count
            last = index
        return bytes(out)


@dataclass(slots=True)
class _LastReport:
    """Counts of a source as of its last report."""

    counts: 'array[int]'
    sequence: int


class PopularityMerger:
    """Sums the counts of all sources, decays older intervals and forecasts the next ones."""

    def __init__(self, layers: int, experts: int) -> None:
        """Start with equal popularity of all experts."""
        self._size = layers * experts
        self._experts = experts
        self._sources: dict[Source, _LastReport] = {}
        self._smoothed = [0.0 for _ in range(self._size)]
        self._smoothed_twice = self._smoothed.copy()
        self._trend_per_s = 0.0

    def merge(self, source: Source, sequence: int, report: bytes, *, full: bool = False) -> bool:
        """Apply a report; return False if a former one was lost and a full one is needed.

        A duplicate report changes nothing. Raises ReportError if the report is malformed.
        """
        last = self._sources.get(source)
        if last is not None and sequence == last.sequence:
            return True
        if not full and (last is None or sequence != last.sequence + 1):
            return False
        counts = array('q', bytes(8 * self._size)) if full or last is None else array('q', last.counts)
        for index, change in _decode_changes(report):
            if index >= self._size or counts[index] + change < 0:
                raise ReportError(f'report of rank {source} is out of range at index {index}')
            counts[index] += change
        self._sources[source] = _LastReport(counts, sequence)
        return True

    def remove(self, source: Source) -> None:
        """Drop the counts of a source that is gone."""
        self._sources.pop(source, None)

    @property
    def selections(self) -> int:
        """Sum of all counts in the newest reports."""
        return sum(sum(source.counts) for source in self._sources.values())

    def advance(self, interval_s: float) -> None:
        """End an interval: smooth the counts twice, which yields their level and their trend.

        A layer whose popularity jumped restarts from its newest counts: smoothing would
        take several intervals to follow, and the trend would overshoot.
        """
        totals = [0 for _ in range(self._size)]
        for source in self._sources.values():
            totals = list(map(int.__add__, totals, source.counts))
        decay = 0.5 ** (interval_s / POPULARITY_HALF_LIFE_S)
        for first in range(0, self._size, self._experts):
            self._smooth(totals, first, decay)
        self._trend_per_s = (1 - decay) / decay / interval_s

    def popularity(self, lead_s: float = 0) -> Popularity:
        """Forecast the counts of one interval, ``lead_s`` ahead; none is zero, so that all are placed."""
        floor = MIN_POPULARITY * (1 + sum(self._smoothed) / self._size)
        ahead = 1 + lead_s * self._trend_per_s
        # Level 2a - b plus trend (a - b) of Brown's double exponential smoothing.
        forecast = [
            max(floor, smoothed + ahead * (smoothed - smoothed_twice), smoothed / MAX_FORECAST_DECLINE)
            for smoothed, smoothed_twice in zip(self._smoothed, self._smoothed_twice, strict=True)
        ]
        return Popularity(
            tuple(
                tuple(forecast[first : first + self._experts])
                for first in range(0, self._size, self._experts)
            )
        )

    def _smooth(self, totals: list[int], first: int, decay: float) -> None:
        end = first + self._experts
        has_jumped = _distance(self._smoothed[first:end], totals[first:end]) > JUMP_DISTANCE
        for index in range(first, end):
            count = totals[index]
            if has_jumped:
                self._smoothed[index] = count
                self._smoothed_twice[index] = count
                continue
            smoothed = count + decay * (self._smoothed[index] - count)
            self._smoothed[index] = smoothed
            self._smoothed_twice[index] = smoothed + decay * (self._smoothed_twice[index] - smoothed)


def _distance(former: Sequence[float], latest: Sequence[float]) -> float:
    """Return the part of the selections that moved to other experts, 0 to 1."""
    former_sum = sum(former)
    latest_sum = sum(latest)
    if not former_sum or not latest_sum:
        return float(former_sum != latest_sum)
    scale = latest_sum / former_sum
    difference = sum(abs(scale * old - new) for old, new in zip(former, latest, strict=True))
    return difference / latest_sum / 2


def _append_varint(out: bytearray, number: int) -> None:
    while number > _PAYLOAD:
        out.append(number & _PAYLOAD | _MORE)
        number >>= _PAYLOAD_BITS
    out.append(number)


def _decode_changes(report: bytes) -> Iterable[tuple[int, int]]:
    index = -1
    numbers = _decode_varints(report)
    for gap in numbers:
        coded = next(numbers, None)
        if coded is None:
            raise ReportError('report ends within an entry')
        index += gap + 1
        yield index, -((coded + 1) >> 1) if coded & 1 else coded >> 1


def _decode_varints(report: bytes) -> Iterator[int]:
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
        raise ReportError('report ends within a number')
