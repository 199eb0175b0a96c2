"""Decides whether a request may be sent to an upstream now.

The load pattern that this answers: more streams arrive than the upstreams have places for. What waits at an
upstream then runs too late for its objective and keeps the place of what could have been in time, long after
the burst has ended. So requests are refused at once when no upstream has a place, less urgent ones a little
earlier, which leaves places for urgent ones. Each level keeps a floor, so that none is starved.
"""

from dataclasses import dataclass, field
from typing import Final

from basilcove.gateway.const import ADMISSION_WINDOW_S, LEVEL_FLOOR, QUEUE_ALLOWANCE, RESERVED_SHARE

_MAX_RESERVED: Final = 2


@dataclass(slots=True)
class LevelRecord:
    """Requests of one level that were admitted and refused, less the longer ago they were."""

    admitted: float = 0
    refused: float = 0
    noted_at: float = 0

    def note(self, now: float, *, is_admitted: bool) -> None:
        """Count a decision."""
        kept = max(0.0, 1 - (now - self.noted_at) / ADMISSION_WINDOW_S)
        self.admitted = self.admitted * kept + is_admitted
        self.refused = self.refused * kept + (not is_admitted)
        self.noted_at = now

    @property
    def is_below_floor(self) -> bool:
        """Tell whether less than the floor was admitted lately."""
        return self.admitted < LEVEL_FLOOR * (self.admitted + self.refused)


@dataclass(slots=True)
class Admission:
    """What was admitted lately, by level; level 1 is the most urgent."""

    records: dict[int, LevelRecord] = field(default_factory=dict)

    def admits(self, level: int, load: float, slots: int, now: float) -> bool:
        """Decide on a request for the least loaded upstream, which has ``load`` requests already."""
        record = self.records.setdefault(level, LevelRecord())
        effective = 1 if record.is_below_floor else level
        is_admitted = load < places_for(effective, slots)
        record.note(now, is_admitted=is_admitted)
        return is_admitted


def places_for(level: int, slots: int) -> float:
    """Return how many requests an upstream may have before one of this level is refused."""
    reserved = min(level - 1, _MAX_RESERVED) * RESERVED_SHARE * slots
    return slots - reserved if reserved else slots + QUEUE_ALLOWANCE
