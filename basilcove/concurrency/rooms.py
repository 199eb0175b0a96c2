"""The limits of groups that a gateway obeys, and how much of them is in use."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from basilcove.concurrency.const import FULL_COST, LIMIT_LIFETIME_S
from basilcove.concurrency.messages import ConcurrencyLimits
from basilcove.core.ids import GroupName
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
class GroupLimits:
    """Limits by group, and when a control host last stated them in monotonic seconds."""

    limits: dict[GroupName, float] = field(default_factory=dict)
    stated_at: float = 0

    def update(self, msg: ConcurrencyLimits, now: float) -> None:
        """Replace all limits."""
        self.limits = {entry.group: entry.limit for entry in msg.limits if entry.limit > 0}
        self.stated_at = now

    def rooms(self, loads: Iterable[tuple[Registration, float]], now: float) -> dict[GroupName, GroupRoom]:
        """Return the groups with a limit; ``loads`` has the requests in flight of all upstreams.

        The cost grows with the number of upstreams. A limit without news rises to the slots of its group.
        """
        age_s = now - self.stated_at
        if not self.limits or age_s >= 2 * LIMIT_LIFETIME_S:
            return {}
        raised = max(0, age_s / LIMIT_LIFETIME_S - 1)
        sums: dict[GroupName, tuple[int, int, float]] = {}
        for registration, load in loads:
            group = registration.group
            if group not in self.limits:
                continue
            ranks, slots, total = sums.get(group, (0, 0, 0))
            sums[group] = (ranks + 1, slots + registration.slots, total + load)
        rooms = {}
        for group, (ranks, slots, total) in sums.items():
            limit = self.limits[group]
            limit += raised * max(0, slots - limit)
            if limit < slots:
                rooms[group] = GroupRoom(limit, total, ranks)
        return rooms
