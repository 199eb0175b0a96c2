"""Index of the prompt prefixes that upstreams have cached, built from cache events."""

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
class _UpstreamCache:
    """Blocks of one upstream with the epoch of their last event, and its missing events.

    A gap in the events starts a new epoch; ``stale_blocks`` counts the blocks of former epochs, and
    ``has_lost_events`` is set by a gap that is too wide to track.
    """

    blocks: OrderedDict[int, int] = field(default_factory=OrderedDict)
    epoch: int = 0
    stale_blocks: int = 0
    last_sequence: int | None = None
    missing: set[int] = field(default_factory=set)
    has_lost_events: bool = False


class PrefixIndex:
    """Bounded index of blocks by upstream; evicts the least recently used blocks of an upstream first."""

    def __init__(self) -> None:
        """Start empty."""
        self._holders: dict[int, Pool] = {}
        self._caches: dict[UpstreamName, _UpstreamCache] = {}
        self._limit = MAX_INDEX_BLOCKS

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(len(cache.blocks) for cache in self._caches.values())

    def update(self, names: Iterable[UpstreamName]) -> None:
        """Replace the upstreams; drop the blocks of removed ones."""
        current = set(names)
        for removed in self._caches.keys() - current:
            self._clear(removed)
            self._caches.pop(removed)
        for name in current:
            self._caches.setdefault(name, _UpstreamCache())
        self._limit = max(MAX_INDEX_BLOCKS // max(len(current), 1), MIN_UPSTREAM_BLOCKS)
        for upstream, cache in self._caches.items():
            self._trim(upstream, cache)

    def apply_event(
        self, upstream: UpstreamName, sequence: int, prefix: tuple[int, ...], evicted: bool
    ) -> None:
        """Apply a cache event; a duplicate is ignored."""
        cache = self._caches.get(upstream)
        if cache is None or not _track_sequence(cache, sequence):
            return
        if evicted:
            for block in prefix:
                self._remove(upstream, cache, block)
        else:
            self._insert(upstream, cache, prefix)
        _resolve_gap(cache)

    def expect(self, upstream: UpstreamName, prefix: tuple[int, ...]) -> None:
        """Add a prefix that an upstream will cache because a request with it was sent there."""
        cache = self._caches.get(upstream)
        if cache is not None:
            self._insert(upstream, cache, prefix)
            _resolve_gap(cache)

    def rebuild(self, upstream: UpstreamName, sequence: int, prefixes: Iterable[tuple[int, ...]]) -> None:
        """Replace the blocks of an upstream by its full list of prefixes as of a sequence number."""
        if upstream not in self._caches:
            return
        self._clear(upstream)
        cache = _UpstreamCache(last_sequence=sequence)
        self._caches[upstream] = cache
        for prefix in prefixes:
            self._insert(upstream, cache, prefix)

    def is_certain(self, upstream: UpstreamName) -> bool:
        """Return whether no missing event of an upstream can affect its blocks."""
        cache = self._caches.get(upstream)
        return cache is not None and not cache.missing and not cache.has_lost_events

    def chain(self, prefix: tuple[int, ...]) -> list[Pool]:
        """Return the holders of each leading block of a prefix, up to the first block without a holder."""
        pools: list[Pool] = []
        for block in prefix[:MAX_PREFIX_BLOCKS]:
            pool = self._holders.get(block)
            if pool is None:
                break
            pools.append(pool)
        return pools

    def _insert(self, upstream: UpstreamName, cache: _UpstreamCache, prefix: tuple[int, ...]) -> None:
        # The first blocks are inserted last, since the engine evicts the ends of chains first.
        for block in reversed(prefix[:MAX_PREFIX_BLOCKS]):
            epoch = cache.blocks.pop(block, None)
            if epoch is None:
                self._holders.setdefault(block, Pool()).add(upstream)
            elif epoch != cache.epoch:
                cache.stale_blocks -= 1
            cache.blocks[block] = cache.epoch
        self._trim(upstream, cache)

    def _trim(self, upstream: UpstreamName, cache: _UpstreamCache) -> None:
        while len(cache.blocks) > self._limit:
            self._remove(upstream, cache, next(iter(cache.blocks)))

    def _remove(self, upstream: UpstreamName, cache: _UpstreamCache, block: int) -> None:
        epoch = cache.blocks.pop(block, None)
        if epoch is None:
            return
        if epoch != cache.epoch:
            cache.stale_blocks -= 1
        holders = self._holders[block]
        holders.discard(upstream)
        if not holders:
            self._holders.pop(block)

    def _clear(self, upstream: UpstreamName) -> None:
        cache = self._caches[upstream]
        for block in tuple(cache.blocks):
            self._remove(upstream, cache, block)


def depth(chain: list[Pool], upstream: UpstreamName) -> int:
    """Return how many leading blocks of a chain an upstream holds; a block implies those before it."""
    low, high = 0, len(chain)
    while low < high:
        middle = (low + high + 1) // 2
        if upstream in chain[middle - 1].positions:
            low = middle
        else:
            high = middle - 1
    return low


def deepest(chain: list[Pool], start: int) -> Iterator[UpstreamName]:
    """Yield upstreams by decreasing number of leading blocks that they hold; one may occur repeatedly."""
    for pool in reversed(chain):
        yield from pool.around(start)


def _track_sequence(cache: _UpstreamCache, sequence: int) -> bool:
    # Returns False for a duplicate. Events that arrive late fill their gap; the events of a gap that is too
    # wide to track count as lost.
    if cache.last_sequence is None:
        cache.last_sequence = sequence
        return True
    if sequence <= cache.last_sequence:
        if sequence not in cache.missing:
            return False
        cache.missing.discard(sequence)
        return True
    skipped = sequence - cache.last_sequence - 1
    if skipped:
        cache.epoch += 1
        cache.stale_blocks = len(cache.blocks)
        if len(cache.missing) + skipped > MAX_MISSING_EVENTS:
            cache.missing.clear()
            cache.has_lost_events = True
        else:
            cache.missing.update(range(cache.last_sequence + 1, sequence))
    cache.last_sequence = sequence
    return True


def _resolve_gap(cache: _UpstreamCache) -> None:
    # Once every block from before the gap has been refreshed or dropped, the gap has no effect.
    if not cache.stale_blocks:
        cache.missing.clear()
        cache.has_lost_events = False
