"""What enters and leaves an admission queue."""

from dataclasses import dataclass

from basilcove.core.ids import AttemptId, PriorityName, TeamName


@dataclass(frozen=True, slots=True)
class QueueItem:
    """One attempt that waits; work in tokens, deadline on the monotonic clock.

    ``admitted_before`` marks an attempt that another upstream had admitted and handed back; the bound
    on queueing time does not apply to it.
    """

    attempt_id: AttemptId
    team: TeamName
    priority: PriorityName
    work: float
    deadline: float
    admitted_before: bool = False


@dataclass(frozen=True, slots=True)
class Admitted:
    """The item waits in the queue."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The item was not queued; a retry may succeed after the given time."""

    reason: str
    retry_after_s: float


@dataclass(slots=True)
class Running:
    """An attempt that runs; charged is the work that its team has been charged for."""

    entry: QueueItem
    started: float
    charged: float
