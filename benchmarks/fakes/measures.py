"""Measures over the attempts of a run."""

import math
from collections.abc import Collection, Iterable

from benchmarks.fakes.upstream import Attempt

# A request without an answer counts as one that took this long, the default of ``Limits.max_timeout_s``.
UNANSWERED_S = 600.0


def percentile(samples: Iterable[float], fraction: float) -> float:
    """Return the nearest-rank percentile; the time of an unanswered request without samples."""
    ordered = sorted(samples)
    if not ordered:
        return UNANSWERED_S
    return ordered[max(math.ceil(fraction * len(ordered)) - 1, 0)]


def latency(attempt: Attempt) -> float:
    """Return the time to the whole answer in seconds; ``UNANSWERED_S`` if there was none."""
    if attempt.outcome != 'done' or attempt.ended is None:
        return UNANSWERED_S
    return attempt.ended - attempt.arrived


def queueing(attempt: Attempt) -> float:
    """Return the time until the attempt started in seconds; ``UNANSWERED_S`` if it never did."""
    return UNANSWERED_S if attempt.started is None else attempt.started - attempt.arrived


def jain(shares: Collection[float]) -> float:
    """Return Jain's index of fairness; 1 if all shares are equal or there is none."""
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / len(shares) / squares if squares else 1


def served_work(attempts: Iterable[Attempt], start: float, end: float) -> float:
    """Return the work in tokens that upstreams spent on attempts within a window."""
    total = 0.0
    for attempt in attempts:
        if attempt.started is None or attempt.ended is None or attempt.ended <= attempt.started:
            continue
        overlap = min(attempt.ended, end) - max(attempt.started, start)
        total += attempt.served * max(overlap, 0) / (attempt.ended - attempt.started)
    return total


def goodput(attempts: Iterable[Attempt], start: float, end: float) -> float:
    """Return the tokens per second of whole answers given within a window."""
    done = [attempt for attempt in attempts if attempt.outcome == 'done' and attempt.ended is not None]
    return sum(attempt.work for attempt in done if start <= (attempt.ended or 0) < end) / (end - start)
