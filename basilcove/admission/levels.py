"""Strict order of the priorities, with floors of served work and slots reserved for higher ones."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from basilcove.admission.const import (
    FLOOR_WINDOW_S,
    HEADROOM_DEVIATIONS,
    LAST_LEVEL,
    MIN_SLOTS_FOR_HEADROOM,
)
from basilcove.admission.fair import FairQueue
from basilcove.admission.meters import Demand, Rate, Ratio
from basilcove.admission.models import QueueItem
from basilcove.core.ids import PriorityName, TeamName
from basilcove.environment.models import Priority

# Least fraction of the speed that a priority is assumed to get, so that estimates stay finite.
_MIN_FRACTION = 0.01


@dataclass(slots=True)
class PriorityClass:
    """One priority: its queue, its running work, and in ``owed`` the work that its floor entitles it to."""

    level: int
    floor: float
    weight: float
    queue: FairQueue = field(default_factory=FairQueue)
    owed: float = 0
    served: float = 0
    running: int = 0
    running_work: float = 0
    demand: Demand = field(default_factory=Demand)
    service: Rate = field(default_factory=Rate)
    ratio: Ratio = field(default_factory=Ratio)


class Levels:
    """All priorities of one queue; there are few, so operations scan them."""

    def __init__(self) -> None:
        """Start without priorities."""
        self.classes: dict[PriorityName, PriorityClass] = {}

    def configure(self, priorities: Mapping[PriorityName, Priority]) -> None:
        """Apply levels, floors and weights; a removed priority is dropped if it is empty, else comes last."""
        for removed in set(self.classes) - set(priorities):
            cls = self.classes[removed]
            cls.level = LAST_LEVEL
            cls.floor = 0
            if not cls.queue.count and not cls.running:
                self.classes.pop(removed)
        for name, priority in priorities.items():
            own = self.classes.setdefault(name, PriorityClass(0, 0, 1))
            own.level = priority.level
            own.floor = priority.floor
            own.weight = priority.weight

    def ensure(self, name: PriorityName) -> None:
        """Add a priority if it is unknown; it comes last."""
        if name not in self.classes:
            self.classes[name] = PriorityClass(LAST_LEVEL, 0, 1)

    @property
    def waiting_work(self) -> float:
        """Work that waits, in tokens."""
        return sum(cls.queue.work for cls in self.classes.values())

    @property
    def queued_work(self) -> float:
        """Work that waits or runs, in tokens."""
        return self.waiting_work + sum(cls.running_work for cls in self.classes.values())

    @property
    def work_by_level(self) -> tuple[tuple[int, float], ...]:
        """Work that waits or runs in each level, in tokens."""
        return tuple((cls.level, cls.queue.work + cls.running_work) for cls in self.classes.values())

    @property
    def expected_running(self) -> float:
        """Work that runs, corrected by the ratio of real to estimated work."""
        return sum(cls.running_work * cls.ratio.bounded for cls in self.classes.values())

    def select(
        self,
        slots: int,
        free: int,
        slot_speed: float | None,
        now: float,
        is_allowed: Callable[[TeamName], bool],
    ) -> tuple[QueueItem, bool] | None:
        """Return the next attempt and whether its floor owes it the service; None if none may start."""
        ordered = sorted(self._waiting(), key=lambda cls: (cls.level, cls.served / cls.weight))
        owed = [cls for cls in ordered if cls.owed > 0]
        for cls in owed:
            item = cls.queue.peek(is_allowed)
            if item is not None:
                return item, True
        for cls in ordered:
            if free <= self._headroom(cls, slots, slot_speed, now):
                continue
            item = cls.queue.peek(is_allowed)
            if item is not None:
                return item, False
        return None

    def start(self, item: QueueItem, is_owed: bool, tokens_per_s: float, now: float) -> None:
        """Account for an attempt that starts; ``is_owed`` if its floor owes it the service."""
        own = self.classes[item.priority]
        for cls in self.classes.values():
            cls.owed += cls.floor * item.work
            if not cls.queue.count:
                cls.owed = min(cls.owed, 0)
        if is_owed:
            own.owed -= item.work
        else:
            # Service beyond the floor counts for a limited time only; service owed by the floor counts fully.
            lowest_owed = -own.floor * tokens_per_s * FLOOR_WINDOW_S
            own.owed = max(own.owed - item.work, min(own.owed, lowest_owed))
        own.queue.start(item)
        own.running += 1
        own.running_work += item.work
        own.service.add(item.work * own.ratio.bounded, now)
        self._count_served(own, item.work)

    def charge(self, item: QueueItem, work: float) -> None:
        """Charge a running attempt for work beyond what it has been charged for."""
        cls = self.classes[item.priority]
        cls.running_work += work
        cls.queue.charge(item.team, work)
        cls.owed -= work * (1 - cls.floor)

    def end(self, item: QueueItem, work: float) -> None:
        """Account for an attempt that ended after this work."""
        cls = self.classes[item.priority]
        cls.running -= 1
        cls.running_work = cls.running_work - work if cls.running else 0
        cls.queue.end(item.team)
        cls.ratio.add(work, item.work)

    def unpark(self, team: TeamName) -> None:
        """Consider a team that was at its limit again in all priorities."""
        for cls in self.classes.values():
            cls.queue.unpark(team)

    def expected_wait(self, cls: PriorityClass, ahead: float, tokens_per_s: float, now: float) -> float:
        """Return the expected time in seconds until the work ``ahead`` in a priority has been served."""
        higher_rate = 0.0
        higher_work = 0.0
        lower_floors = 0.0
        for other in self.classes.values():
            if other.level < cls.level:
                higher_rate += other.service.per_s(now)
                higher_work += other.queue.work * other.ratio.bounded
            elif other.level > cls.level and other.queue.count:
                lower_floors += other.floor
        fraction = max(1 - lower_floors - higher_rate / tokens_per_s, _MIN_FRACTION)
        strict_wait = higher_work / tokens_per_s + ahead / tokens_per_s / fraction
        if not cls.floor:
            return strict_wait
        return min(strict_wait, ahead / tokens_per_s / cls.floor)

    def _waiting(self) -> list[PriorityClass]:
        return [cls for cls in self.classes.values() if cls.queue.count]

    def _headroom(self, cls: PriorityClass, slots: int, slot_speed: float | None, now: float) -> int:
        # Slots that must stay free for higher priorities when an attempt of this one starts.
        higher = [other for other in self.classes.values() if other.level < cls.level]
        if not higher or slots < MIN_SLOTS_FOR_HEADROOM:
            return 0
        wanted = 1
        if slot_speed:
            mean = sum(other.demand.per_s(slots * slot_speed, now) for other in higher) / slot_speed
            wanted = max(math.ceil(mean + HEADROOM_DEVIATIONS * math.sqrt(mean)), 1)
        guaranteed = max(math.ceil(slots * cls.floor), 1)
        return max(min(wanted, slots - guaranteed) - sum(other.running for other in higher), 0)

    def _count_served(self, own: PriorityClass, work: float) -> None:
        # Priorities of one level share by weight; one with an empty queue accumulates no credit.
        own.served += work
        for peer in self.classes.values():
            if peer.level == own.level and not peer.queue.count:
                peer.served = max(peer.served, own.served / own.weight * peer.weight)
