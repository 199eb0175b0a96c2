"""Inputs and results of an admission queue."""

from dataclasses import dataclass

from basilcove.core.ids import AttemptId, PriorityName, TeamName


@dataclass(frozen=True, slots=True)
class QueueItem:
    """One attempt to be queued; work in tokens, deadline on the monotonic clock.

    ``admitted_before`` marks an attempt that another upstream had admitted and handed back; the limit on the
    queueing time does not apply to it.
    """

    attempt_id: AttemptId
    team: TeamName
    priority: PriorityName
    work: float
    deadline: float
    admitted_before: bool = False


@dataclass(frozen=True, slots=True)
class Admitted:
    """The item was queued."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The item was not queued; a retry may succeed after ``retry_after_s``."""

    reason: str
    retry_after_s: float


@dataclass(slots=True)
class Running:
    """An attempt that runs; ``charged`` is the work in tokens that its team has been charged for."""

    item: QueueItem
    started_at: float
    charged: float
