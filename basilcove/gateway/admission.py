"""Decides whether a request may be sent to an upstream now.

Guards against bursts of more streams than the upstreams have slots for. A request that waits at an upstream
misses its latency objective and then occupies a slot that another request could have used in time, long after
the burst has ended. So requests are refused immediately when no upstream has a free slot. Less urgent ones
are refused a little earlier, which leaves slots for urgent ones. Each level keeps a floor, so that none is
starved.
"""

from dataclasses import dataclass, field
from typing import Final

from basilcove.concurrency.rooms import GroupRoom
from basilcove.gateway.const import ADMISSION_WINDOW_S, LEVEL_FLOOR, RESERVED_SHARE

_MAX_RESERVED_LEVELS: Final = 2


@dataclass(slots=True)
class LevelRecord:
    """Decayed counts of the admitted and refused requests of one level."""

    admitted: float = 0
    refused: float = 0
    updated_at: float = 0

    def count_decision(self, now: float, *, is_admitted: bool) -> None:
        """Add a decision to the decayed counts."""
        decay = max(0.0, 1 - (now - self.updated_at) / ADMISSION_WINDOW_S)
        self.admitted = self.admitted * decay + is_admitted
        self.refused = self.refused * decay + (not is_admitted)
        self.updated_at = now

    @property
    def is_below_floor(self) -> bool:
        """Return whether the admitted share of recent requests is below the floor."""
        return self.admitted < LEVEL_FLOOR * (self.admitted + self.refused)


@dataclass(slots=True)
class Admission:
    """Recent decisions by level; level 1 is the most urgent."""

    records: dict[int, LevelRecord] = field(default_factory=dict)

    def admit(
        self,
        level: int,
        load: float,
        slots: int,
        allowance: float,
        now: float,
        room: GroupRoom | None = None,
    ) -> bool:
        """Decide on a request if the least loaded upstream of a sample has ``load`` requests.

        ``allowance`` is how many urgent requests may wait for one of its ``slots``. ``room`` is that of the
        chosen upstream's group if this has a limit, which holds for levels as the slots do.
        """
        record = self.records.setdefault(level, LevelRecord())
        effective_level = 1 if record.is_below_floor else level
        is_admitted = load < load_limit(effective_level, slots, allowance)
        if room is not None:
            is_admitted = is_admitted and room.load < load_limit(effective_level, room.limit, 0)
        record.count_decision(now, is_admitted=is_admitted)
        return is_admitted


def load_limit(level: int, slots: float, allowance: float) -> float:
    """Return the number of requests in an upstream or group from which one of this level is refused."""
    reserved = min(level - 1, _MAX_RESERVED_LEVELS) * RESERVED_SHARE * slots
    return slots - reserved if reserved else slots + allowance
