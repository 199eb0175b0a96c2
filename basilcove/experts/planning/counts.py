"""Growth of the ranks' counts between two readings."""

import operator
from array import array
from collections.abc import Mapping, Sequence

from basilcove.core.ids import Rank
from basilcove.experts.planning.events import RankCounts


def growth(former: Mapping[Rank, RankCounts], fresh: Sequence[RankCounts], size: int) -> 'array[int]':
    """Return how much each count grew, summed over the ranks; ``size`` is layers times experts.

    The counts of a rank that has restarted began again from 0, so all of them are growth. A rank that
    was not known before is left out: its counts cover an unknown time.
    """
    total = [0 for _ in range(size)]
    for own in fresh:
        before = former.get(own.rank)
        if before is None:
            continue
        grown = list(map(operator.sub, own.counts, before.counts))
        if own.started != before.started or min(grown) < 0:
            grown = list(own.counts)
        total = list(map(operator.add, total, grown))
    return array('q', total)


def scaled(counts: 'array[int]', factor: float) -> 'array[int]':
    """Return counts in proportion, so that an interval that took longer does not weigh more."""
    return array('q', (round(count * factor) for count in counts))
