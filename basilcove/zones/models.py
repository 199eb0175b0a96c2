"""The set of evacuated availability zones and its changes.

Guards against the load of an operator's call that is sent again, to other hosts and after the opposite call:
a repeated change leaves the set and its version as they are, and each effective change has a higher version.
"""

from dataclasses import dataclass
from typing import Self

from basilcove.core.ids import Zone


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuated zone; ``time`` is the replicated time of the change, in seconds since the epoch."""

    zone: Zone
    time: float
    requester: str


@dataclass(frozen=True, slots=True)
class Evacuations:
    """All evacuated zones, oldest change first; ``version`` counts the changes, 0 before the first.

    ``changed_at`` and ``changed_by`` are time and requester of the last change, also if it was a restore.
    Methods that return another set cost time in proportion to the number of zones.
    """

    version: int = 0
    rows: tuple[Evacuation, ...] = ()
    changed_at: float = 0
    changed_by: str = ''

    @property
    def zones(self) -> frozenset[Zone]:
        """Return the names of the zones."""
        return frozenset(row.zone for row in self.rows)

    def evacuate(self, row: Evacuation) -> Self:
        """Return the set with a zone; the same set if it has that zone."""
        if row.zone in self.zones:
            return self
        return type(self)(self.version + 1, (*self.rows, row), row.time, row.requester)

    def restore(self, zone: Zone, time: float, requester: str) -> Self:
        """Return the set without a zone; the same set if it lacks that zone."""
        rows = tuple(row for row in self.rows if row.zone != zone)
        if len(rows) == len(self.rows):
            return self
        return type(self)(self.version + 1, rows, time, requester)
