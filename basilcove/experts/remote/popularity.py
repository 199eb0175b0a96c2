"""Popularity of the experts of a remote group, from the counts of a sample of its ranks."""

from itertools import islice, repeat

from basilcove.core.ids import Rank
from basilcove.experts.const import MIN_POPULARITY
from basilcove.experts.models import Shares
from basilcove.experts.remote.const import COUNTS_DECAY, SAMPLED_RANKS
from basilcove.experts.remote.models import GroupChange
from basilcove.experts.remote.orders import RankCounts


def sampled_ranks(change: GroupChange) -> list[Rank]:
    """Return the ranks whose counts are read, evenly spread."""
    ranks = sorted(change.ranks)
    stride = max(1, len(ranks) // SAMPLED_RANKS)
    return list(islice(ranks, 0, stride * SAMPLED_RANKS, stride))


def add_counts(change: GroupChange, rank: Rank, reading: RankCounts) -> None:
    """Add the growth of a rank's counts since its last reading; ignore a reading of another size."""
    size = change.layout.layers * change.layout.experts
    if len(reading.counts) != size:
        return
    if not change.popularity:
        change.popularity = list(repeat(0.0, size))
    former = change.counts.get(rank)
    change.counts[rank] = reading.counts
    if former is None:
        # The counts since the start of a rank cover its whole past; they are used only for the first map.
        former = tuple(repeat(0, size)) if change.version == 0 else reading.counts
    for index, count in enumerate(reading.counts):
        change.popularity[index] += max(0, count - former[index])


def decay(change: GroupChange) -> None:
    """Decay the popularity, so that earlier readings weigh less than the next one."""
    change.popularity = [count * COUNTS_DECAY for count in change.popularity]


def shares_of(change: GroupChange) -> tuple[Shares, ...] | None:
    """Return the popularity by layer; None if a layer has no counts."""
    experts = change.layout.experts
    layers = []
    for first in range(0, len(change.popularity), experts):
        layer = change.popularity[first : first + experts]
        mean = sum(layer) / experts
        if not mean:
            return None
        layers.append(tuple(max(count, MIN_POPULARITY * mean) for count in layer))
    return tuple(layers) or None
