"""Sets of upstreams from which a few can be sampled without a scan."""

from collections.abc import Collection, Iterator
from itertools import chain

from basilcove.core.ids import UpstreamName
from basilcove.routing.const import MIX_BITS, MIX_INCREMENT, MIX_LAST_SHIFT, MIX_STEPS

_MASK = (1 << MIX_BITS) - 1


def mix(number: int) -> int:
    """Spread a counter over 64 bits (the finalizer of SplitMix64)."""
    number = (number * MIX_INCREMENT) & _MASK
    for shift, factor in MIX_STEPS:
        number = ((number ^ (number >> shift)) * factor) & _MASK
    return number ^ (number >> MIX_LAST_SHIFT)


class Pool:
    """Set of upstreams with constant-time insertion, removal and access by position."""

    def __init__(self) -> None:
        """Start empty."""
        self._names: list[UpstreamName] = []
        self.positions: dict[UpstreamName, int] = {}

    def __len__(self) -> int:
        """Return the number of upstreams."""
        return len(self._names)

    def __contains__(self, name: UpstreamName) -> bool:
        """Return whether an upstream is in the pool."""
        return name in self.positions

    def add(self, name: UpstreamName) -> None:
        """Add an upstream unless it is in the pool."""
        if name not in self.positions:
            self.positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: UpstreamName) -> None:
        """Remove an upstream if it is in the pool."""
        position = self.positions.pop(name, None)
        if position is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self.positions[last] = position

    def around(self, start: int, excluded: Collection[UpstreamName] = ()) -> Iterator[UpstreamName]:
        """Yield each upstream that is not excluded once, starting at a position modulo the size."""
        first = start % len(self._names) if self._names else 0
        for position in chain(range(first, len(self._names)), range(first)):
            name = self._names[position]
            if name not in excluded:
                yield name
