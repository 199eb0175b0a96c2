"""The limits of groups that a gateway obeys, and how much of them is in use."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from basilcove.concurrency.const import FULL_COST, LIMIT_LIFETIME_S
from basilcove.concurrency.messages import ConcurrencyLimits
from basilcove.core.ids import GroupName, ServiceName
from basilcove.registry.messages import Registration


@dataclass(frozen=True, slots=True)
class GroupRoom:
    """A group with a limit; ``limit`` and ``load`` are requests in flight from all gateways."""

    limit: float
    load: float
    ranks: int

    def weigh(self, load: float, slots: int) -> float:
        """Return the load of a rank as a fraction of what the limit leaves of its slots.

        The group as a whole counts as much as the rank, and a full one or a full rank as not available.
        """
        share = self.limit / self.ranks
        weighed = (load / share + self.load / self.limit) / 2
        is_full = self.load >= self.limit or load > min(slots, math.ceil(share))
        return weighed + FULL_COST if is_full else weighed


@dataclass(slots=True)
class GroupTotals:
    """Sums over the upstreams of a group; ``load`` is requests in flight from all gateways."""

    ranks: int = 0
    slots: int = 0
    load: float = 0


def sum_groups(loads: Iterable[tuple[Registration, float]]) -> dict[GroupName, GroupTotals]:
    """Return the totals of groups; ``loads`` has the requests in flight of all upstreams.

    The cost grows with the number of upstreams.
    """
    totals: dict[GroupName, GroupTotals] = {}
    for registration, load in loads:
        total = totals.get(registration.group)
        if total is None:
            total = GroupTotals()
            totals[registration.group] = total
        total.ranks += 1
        total.slots += registration.slots
        total.load += load
    return totals


@dataclass(slots=True)
class TotalsCache:
    """Totals of groups by service, for the counts of other gateways that were last reported.

    Summing the upstreams of a service for each request took a quarter of the choice among 72 ranks.
    """

    others: Mapping[str, int] | None = None
    by_service: dict[ServiceName, dict[GroupName, GroupTotals]] = field(default_factory=dict)

    def get(self, service: ServiceName, others: Mapping[str, int]) -> dict[GroupName, GroupTotals] | None:
        """Return the totals of a service; None if they were not computed with just these counts."""
        if self.others is not others:
            self.others = others
            self.by_service.clear()
        return self.by_service.get(service)

    def adjust(self, service: ServiceName, group: GroupName, change: int) -> None:
        """Count attempts of this gateway that began or ended."""
        total = self.by_service.get(service, {}).get(group)
        if total is not None:
            total.load += change


@dataclass(slots=True)
class GroupLimits:
    """Limits by group, and when a control host last stated them in monotonic seconds."""

    limits: dict[GroupName, float] = field(default_factory=dict)
    stated_at: float = 0

    def update(self, msg: ConcurrencyLimits, now: float) -> None:
        """Replace all limits."""
        self.limits = {entry.group: entry.limit for entry in msg.limits if entry.limit > 0}
        self.stated_at = now

    def rooms(self, totals: Mapping[GroupName, GroupTotals], now: float) -> dict[GroupName, GroupRoom]:
        """Return the groups with a limit; one without news rises to the slots of its group."""
        age_s = now - self.stated_at
        if not self.limits or age_s >= 2 * LIMIT_LIFETIME_S:
            return {}
        raised = max(0, age_s / LIMIT_LIFETIME_S - 1)
        rooms = {}
        for group, stated in self.limits.items():
            total = totals.get(group)
            if total is None:
                continue
            limit = stated + raised * max(0, total.slots - stated)
            if limit < total.slots:
                rooms[group] = GroupRoom(limit, total.load, total.ranks)
        return rooms
