"""Which upstream has which prompt prefix cached, as far as cache events tell."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from basilcove.core.ids import UpstreamName
from basilcove.routing.const import (
    MAX_INDEX_BLOCKS,
    MAX_MISSING_EVENTS,
    MAX_PREFIX_BLOCKS,
    MIN_UPSTREAM_BLOCKS,
)
from basilcove.routing.pools import Pool


@dataclass(slots=True)
class _Cached:
    """Blocks of one upstream with the epoch of their last event, and the events that are missing."""

    blocks: OrderedDict[int, int] = field(default_factory=OrderedDict)
    epoch: int = 0
    stale: int = 0
    last: int | None = None
    missing: set[int] = field(default_factory=set)
    is_lost: bool = False


class PrefixIndex:
    """Blocks by upstream; bounded, the least recently used blocks of an upstream are forgotten first."""

    def __init__(self) -> None:
        """Start empty."""
        self._holders: dict[int, Pool] = {}
        self._cached: dict[UpstreamName, _Cached] = {}
        self._limit = MAX_INDEX_BLOCKS

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(len(cached.blocks) for cached in self._cached.values())

    def update(self, names: Iterable[UpstreamName]) -> None:
        """Keep these upstreams only."""
        kept = set(names)
        for removed in self._cached.keys() - kept:
            self._clear(removed)
            self._cached.pop(removed)
        for name in kept:
            self._cached.setdefault(name, _Cached())
        self._limit = max(MAX_INDEX_BLOCKS // max(len(kept), 1), MIN_UPSTREAM_BLOCKS)
        for upstream, cached in self._cached.items():
            self._trim(upstream, cached)

    def note(self, upstream: UpstreamName, sequence: int, prefix: tuple[int, ...], evicted: bool) -> None:
        """Take in a cache event; one that has been seen before changes nothing."""
        cached = self._cached.get(upstream)
        if cached is None or not _advance(cached, sequence):
            return
        if evicted:
            for block in prefix:
                self._remove(upstream, cached, block)
        else:
            self._insert(upstream, cached, prefix)
        _settle(cached)

    def expect(self, upstream: UpstreamName, prefix: tuple[int, ...]) -> None:
        """Note a prefix that an upstream will hold because a request with it was sent there."""
        cached = self._cached.get(upstream)
        if cached is not None:
            self._insert(upstream, cached, prefix)
            _settle(cached)

    def rebuild(self, upstream: UpstreamName, sequence: int, prefixes: Iterable[tuple[int, ...]]) -> None:
        """Replace all that is known of an upstream by its full list at this sequence number."""
        if upstream not in self._cached:
            return
        self._clear(upstream)
        cached = _Cached(last=sequence)
        self._cached[upstream] = cached
        for prefix in prefixes:
            self._insert(upstream, cached, prefix)

    def is_certain(self, upstream: UpstreamName) -> bool:
        """Tell whether all events of an upstream have arrived since its index was built."""
        cached = self._cached.get(upstream)
        return cached is not None and not cached.missing and not cached.is_lost

    def chain(self, prefix: tuple[int, ...]) -> list[Pool]:
        """Return the holders of each leading block of a prefix, up to the first block that none holds."""
        pools: list[Pool] = []
        for block in prefix[:MAX_PREFIX_BLOCKS]:
            pool = self._holders.get(block)
            if pool is None:
                break
            pools.append(pool)
        return pools

    def _insert(self, upstream: UpstreamName, cached: _Cached, prefix: tuple[int, ...]) -> None:
        # The first blocks are inserted last, as the engine forgets the ends of chains first.
        for block in reversed(prefix[:MAX_PREFIX_BLOCKS]):
            epoch = cached.blocks.pop(block, None)
            if epoch is None:
                self._holders.setdefault(block, Pool()).add(upstream)
            elif epoch != cached.epoch:
                cached.stale -= 1
            cached.blocks[block] = cached.epoch
        self._trim(upstream, cached)

    def _trim(self, upstream: UpstreamName, cached: _Cached) -> None:
        while len(cached.blocks) > self._limit:
            self._remove(upstream, cached, next(iter(cached.blocks)))

    def _remove(self, upstream: UpstreamName, cached: _Cached, block: int) -> None:
        epoch = cached.blocks.pop(block, None)
        if epoch is None:
            return
        if epoch != cached.epoch:
            cached.stale -= 1
        holders = self._holders[block]
        holders.discard(upstream)
        if not holders:
            self._holders.pop(block)

    def _clear(self, upstream: UpstreamName) -> None:
        cached = self._cached[upstream]
        for block in tuple(cached.blocks):
            self._remove(upstream, cached, block)


def depth(chain: list[Pool], upstream: UpstreamName) -> int:
    """Return how many leading blocks of a chain an upstream holds; a block implies the ones before."""
    low, high = 0, len(chain)
    while low < high:
        middle = (low + high + 1) // 2
        if upstream in chain[middle - 1].positions:
            low = middle
        else:
            high = middle - 1
    return low


def deepest(chain: list[Pool], start: int) -> Iterator[UpstreamName]:
    """Yield upstreams by falling depth of what they hold; one may come more than once."""
    for pool in reversed(chain):
        yield from pool.around(start)


def _advance(cached: _Cached, sequence: int) -> bool:
    # Returns False for an event that has been seen. Events that arrive late fill their gap; a gap that is
    # too wide to track is lost for good.
    if cached.last is None:
        cached.last = sequence
        return True
    if sequence <= cached.last:
        if sequence not in cached.missing:
            return False
        cached.missing.discard(sequence)
        return True
    skipped = sequence - cached.last - 1
    if skipped:
        cached.epoch += 1
        cached.stale = len(cached.blocks)
        if len(cached.missing) + skipped > MAX_MISSING_EVENTS:
            cached.missing.clear()
            cached.is_lost = True
        else:
            cached.missing.update(range(cached.last + 1, sequence))
    cached.last = sequence
    return True


def _settle(cached: _Cached) -> None:
    # Once every entry from before the gap has been replaced or dropped, the gap no longer matters.
    if not cached.stale:
        cached.missing.clear()
        cached.is_lost = False
