"""Baseline of the admission queue: first in first out, without limits."""

from collections import OrderedDict

from basilcove.admission.models import Admitted, QueueItem, Refused
from basilcove.core.ids import AttemptId
from basilcove.environment.models import Environment


class FifoQueue:
    """Decides which attempt an upstream starts next."""

    def __init__(self, slots: int) -> None:
        """Allow this many attempts at once."""
        self._slots = slots
        self._waiting: OrderedDict[AttemptId, QueueItem] = OrderedDict()
        self._running: dict[AttemptId, QueueItem] = {}

    def configure(self, environment: Environment, slots: int) -> None:
        """Take over priorities, teams and limits of a newer document."""
        self._slots = slots

    def offer(self, entry: QueueItem, now: float) -> Admitted | Refused:
        """Queue an attempt, or say why not; ``now`` in monotonic seconds."""
        if entry.deadline <= now:
            return Refused('the deadline has passed', 0)
        self._waiting[entry.attempt_id] = entry
        return Admitted()

    def start_next(self, now: float) -> QueueItem | None:
        """Return the attempt to start now; None if there is none or no free slot."""
        if not self._waiting or len(self._running) >= self._slots:
            return None
        _, entry = self._waiting.popitem(last=False)
        self._running[entry.attempt_id] = entry
        return entry

    def expire(self, now: float) -> list[QueueItem]:
        """Remove and return the waiting attempts whose deadline has passed."""
        expired = [entry for entry in self._waiting.values() if entry.deadline <= now]
        for entry in expired:
            self._waiting.pop(entry.attempt_id)
        return expired

    def correct(self, attempt_id: AttemptId, work: float) -> None:
        """Correct the estimated work of a running attempt, in tokens."""

    def finish(self, attempt_id: AttemptId, work: float, now: float) -> None:
        """Free the slot of a running attempt that took this work."""
        self._running.pop(attempt_id, None)

    def cancel(self, attempt_id: AttemptId) -> bool:
        """Remove a waiting attempt; False if it does not wait."""
        return self._waiting.pop(attempt_id, None) is not None

    @property
    def queued_work(self) -> float:
        """Work that waits or runs, in tokens."""
        entries = (*self._waiting.values(), *self._running.values())
        return sum(entry.work for entry in entries)
