"""The estimates and limits of all groups, as one control host knows them."""

from dataclasses import dataclass, field

from basilcove.concurrency.const import MAX_GROUPS, TARGET_LIFETIME_S
from basilcove.concurrency.estimates import GroupEstimate
from basilcove.concurrency.limits import LoadLimit
from basilcove.concurrency.messages import PauseReport
from basilcove.core.ids import GroupName, NodeId


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Ranks of a group, the mean of their slots, and the requests that run in all of them."""

    ranks: int
    slots: int
    running: int


@dataclass(slots=True)
class GroupRecord:
    """What is known of a group; times are monotonic seconds.

    ``logged`` is the limit a rank in the last log line about it.
    """

    estimate: GroupEstimate = field(default_factory=GroupEstimate)
    limit: LoadLimit = field(default_factory=LoadLimit)
    ranks: int = 0
    reported_at: float = 0
    logged: float | None = None
    logged_at: float = 0

    @property
    def total(self) -> float | None:
        """Return the most requests in flight of the group; None without a limit."""
        return None if self.limit.load is None or not self.ranks else self.limit.load * self.ranks


@dataclass(slots=True)
class ConcurrencyState:
    """Groups whose streams have a target, and the limits last sent to gateways."""

    records: dict[GroupName, GroupRecord] = field(default_factory=dict)
    interval_ended_at: float = 0
    sent: dict[GroupName, float] = field(default_factory=dict)
    sent_at: float = 0
    receivers: frozenset[NodeId] = frozenset()

    def limit_of(self, group: GroupName) -> float | None:
        """Return the most requests in flight of a group from all gateways together; None without a limit."""
        record = self.records.get(group)
        return record.total if record is not None else None

    def add(self, report: PauseReport, now: float) -> None:
        """Add the report of a gateway."""
        for pauses in report.groups:
            record = self.records.get(pauses.group)
            if record is None:
                if len(self.records) >= MAX_GROUPS:
                    continue
                record = GroupRecord()
                self.records[pauses.group] = record
            record.reported_at = now
            record.estimate.add(pauses, now)

    def end_interval(self, loads: dict[GroupName, GroupLoad], now: float) -> None:
        """Update all estimates and limits; ``loads`` has the groups that exist."""
        for group, record in tuple(self.records.items()):
            load = loads.get(group)
            is_silent = now - record.reported_at > TARGET_LIFETIME_S
            if is_silent and (load is None or record.limit.load is None):
                del self.records[group]
            if load is None:
                continue
            record.ranks = load.ranks
            record.estimate.end_interval(
                load.running / load.ranks, now, is_limited=record.limit.load is not None
            )
            if record.limit.is_due(len(self.records), now):
                record.limit.follow(record.estimate.look_ahead(load.slots, now), load.slots, now)

    def limits(self) -> dict[GroupName, float]:
        """Return the limits that are in force, by group."""
        totals = ((group, record.total) for group, record in tuple(self.records.items()))
        return {group: total for group, total in totals if total is not None}
