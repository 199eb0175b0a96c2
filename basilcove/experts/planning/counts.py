"""Growth of the ranks' counts between two readings."""

import operator
from array import array
from collections.abc import Mapping, Sequence

from basilcove.core.ids import Rank
from basilcove.experts.planning.events import RankCounts


def growth(former: Mapping[Rank, RankCounts], latest: Sequence[RankCounts], size: int) -> 'array[int]':
    """Return how much each count grew, summed over the ranks; ``size`` is layers times experts.

    The counts of a rank that has restarted began at 0 again, so all of them are growth. A rank without
    a former reading is skipped: its counts cover an unknown time.
    """
    total = [0 for _ in range(size)]
    for rank_counts in latest:
        before = former.get(rank_counts.rank)
        if before is None:
            continue
        grown = list(map(operator.sub, rank_counts.counts, before.counts))
        if rank_counts.started != before.started or min(grown) < 0:
            grown = list(rank_counts.counts)
        total = list(map(operator.add, total, grown))
    return array('q', total)


def scale(counts: 'array[int]', factor: float) -> 'array[int]':
    """Scale counts, so that an interval that took longer does not weigh more."""
    return array('q', (round(count * factor) for count in counts))
