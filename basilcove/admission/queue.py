"""Admission queue of one upstream: priorities with floors, fairness among teams, early refusal."""

import dataclasses
import heapq

from basilcove.admission.const import (
    DEFAULT_MAX_QUEUED_ATTEMPTS,
    DEFAULT_MAX_QUEUED_WORK,
    DEFAULT_RETRY_AFTER_S,
    HEAP_SLACK,
    LATE_FRACTION,
    QUEUE_TIME_EXEMPT,
    QUEUE_TIME_S,
)
from basilcove.admission.levels import Levels
from basilcove.admission.limits import TeamLimits
from basilcove.admission.meters import Ratio
from basilcove.admission.models import Admitted, QueueItem, Refused, Running
from basilcove.core.ids import AttemptId
from basilcove.environment.models import Environment


class AdmissionQueue:
    """Decides which attempt an upstream starts next; all operations take amortized O(log n)."""

    def __init__(self, slots: int) -> None:
        """Allow this many concurrent attempts."""
        self._slots = slots
        self._max_work = DEFAULT_MAX_QUEUED_WORK
        self._max_attempts = DEFAULT_MAX_QUEUED_ATTEMPTS
        self._teams = TeamLimits()
        self._levels = Levels()
        self._waiting: dict[AttemptId, QueueItem] = {}
        self._running: dict[AttemptId, Running] = {}
        self._dropped: dict[AttemptId, QueueItem] = {}
        self._deadlines: list[tuple[float, AttemptId]] = []
        self._speed = Ratio()

    def configure(self, environment: Environment, slots: int) -> None:
        """Apply the priorities, teams and limits of a newer document."""
        self._slots = slots
        self._max_work = environment.limits.max_queued_work
        self._max_attempts = environment.limits.max_queued_attempts
        self._teams.configure(environment.teams)
        self._levels.configure(environment.priorities)

    def offer(self, entry: QueueItem, now: float) -> Admitted | Refused:
        """Queue an attempt or return why it is refused; ``now`` in monotonic seconds.

        An attempt that was admitted may later be evicted in favour of another team; ``expire`` returns it.
        """
        if entry.deadline <= now:
            return Refused('the deadline has passed', 0)
        if entry.attempt_id in self._waiting or entry.attempt_id in self._running:
            return Refused('the attempt is already known', 0)
        rate_refusal = self._teams.limit_rate(entry.team, now)
        if rate_refusal is not None:
            return rate_refusal
        self._levels.ensure(entry.priority)
        late_refusal = self._refuse_late(entry, now)
        if late_refusal is not None:
            return late_refusal
        self._add(entry, now)
        while self._is_over_bounds(entry, now):
            self._levels.classes[entry.priority].demand.freeze(now)
            victim = self._find_victim(entry)
            if victim is None:
                break
            self._remove_waiting(victim)
            if victim.attempt_id == entry.attempt_id:
                return self.refusal(entry, now)
            self._dropped[victim.attempt_id] = victim
        self._levels.classes[entry.priority].demand.add(self._expected_work(entry), self.tokens_per_s, now)
        return Admitted()

    def start_next(self, now: float) -> QueueItem | None:
        """Start the next attempt and return it; None if none may start or no slot is free."""
        free = self._slots - len(self._running)
        while free > 0 and self._waiting:
            selection = self._levels.select(self._slots, free, self._slot_speed, now, self._teams.is_allowed)
            if selection is None:
                return None
            entry, is_owed = selection
            if self._is_late(entry, now):
                self._remove_waiting(entry)
                self._dropped[entry.attempt_id] = entry
                continue
            self._start(entry, is_owed, now)
            return entry
        return None

    def expire(self, now: float) -> list[QueueItem]:
        """Remove and return the waiting attempts that will not start.

        These are attempts whose deadline has passed or can no longer be met, and attempts evicted since the
        last call; ``refusal`` returns the reason and the time until a retry.
        """
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, attempt_id = heapq.heappop(self._deadlines)
            entry = self._waiting.get(attempt_id)
            if entry is not None and entry.deadline == deadline:
                self._remove_waiting(entry)
                self._dropped[attempt_id] = entry
        expired = list(self._dropped.values())
        self._dropped.clear()
        return expired

    def refusal(self, entry: QueueItem, now: float) -> Refused:
        """Return the reason and the time until a retry for an attempt that was removed before it started."""
        if self._is_late(entry, now):
            return Refused('the work can not be finished by its deadline', self._retry_after(entry, now))
        return Refused('the queue is full', self._retry_after(entry, now))

    def correct(self, attempt_id: AttemptId, work: float) -> None:
        """Correct the estimated work of a waiting or running attempt, in tokens."""
        entry = self._waiting.get(attempt_id)
        if entry is not None:
            changed = dataclasses.replace(entry, work=work)
            self._waiting[attempt_id] = changed
            self._levels.classes[entry.priority].queue.replace(entry, changed)
            return
        running = self._running.get(attempt_id)
        if running is not None:
            self._charge_difference(running, work)

    def finish(self, attempt_id: AttemptId, work: float, now: float) -> None:
        """Free the slot of a running attempt that ended after this work, in tokens."""
        running = self._running.get(attempt_id)
        if running is None:
            return
        self._charge_difference(running, work)
        self._running.pop(attempt_id)
        entry = running.entry
        self._speed.add(work, max(now - running.started, 0))
        self._levels.end(entry, work)
        self._teams.end(entry.team)
        self._levels.unpark(entry.team)

    def cancel(self, attempt_id: AttemptId) -> bool:
        """Remove a waiting attempt; return False if it isn't waiting."""
        if self._dropped.pop(attempt_id, None) is not None:
            return True
        entry = self._waiting.get(attempt_id)
        if entry is None:
            return False
        self._remove_waiting(entry)
        return True

    @property
    def queued_work(self) -> float:
        """Work that waits or runs, in tokens."""
        return self._levels.queued_work

    @property
    def work_by_level(self) -> tuple[tuple[int, float], ...]:
        """Work that waits or runs in each level of priority, in tokens."""
        return self._levels.work_by_level

    @property
    def tokens_per_s(self) -> float:
        """Measured speed over all slots in tokens per second; 0 while unknown."""
        return (self._slot_speed or 0) * self._slots

    @property
    def _slot_speed(self) -> float | None:
        return self._speed.quotient

    def _refuse_late(self, entry: QueueItem, now: float) -> Refused | None:
        speed = self._slot_speed
        if not speed:
            return None
        expected_end = (
            now + self._expected_wait(entry, now) + LATE_FRACTION * self._expected_work(entry) / speed
        )
        if expected_end <= entry.deadline:
            return None
        return Refused('the work can not be finished by its deadline', self._retry_after(entry, now))

    def _retry_after(self, entry: QueueItem, now: float) -> float:
        # Time until the queue ahead is short enough, provided that no other work is queued.
        speed = self._slot_speed
        if not speed:
            return DEFAULT_RETRY_AFTER_S
        allowed = min(max(entry.deadline - now - self._expected_work(entry) / speed, 0), QUEUE_TIME_S)
        wait = self._expected_wait(entry, now)
        return max(wait - allowed, self._expected_work(entry) / speed / self._slots)

    def _expected_wait(self, entry: QueueItem, now: float) -> float:
        # Expected time until the attempt starts, derived from the work ahead and the measured speed.
        total_speed = self.tokens_per_s
        cls = self._levels.classes[entry.priority]
        ahead = cls.queue.work_ahead(entry.team, self._teams.share(entry.team)) * cls.ratio.bounded
        if not total_speed or (not ahead and not self._waiting and len(self._running) < self._slots):
            return 0
        wait = self._levels.expected_wait(cls, ahead, total_speed, now)
        if len(self._running) >= self._slots:
            wait += self._levels.expected_running / len(self._running) / total_speed
        return wait

    def _is_late(self, entry: QueueItem, now: float) -> bool:
        speed = self._slot_speed
        service = LATE_FRACTION * self._expected_work(entry) / speed if speed else 0
        return entry.deadline <= now or now + service > entry.deadline

    def _expected_work(self, entry: QueueItem) -> float:
        return entry.work * self._levels.classes[entry.priority].ratio.bounded

    def _add(self, entry: QueueItem, now: float) -> None:
        self._waiting[entry.attempt_id] = entry
        self._levels.classes[entry.priority].queue.add(entry, self._teams.share(entry.team))
        if len(self._deadlines) > 2 * len(self._waiting) + HEAP_SLACK:
            self._deadlines = [(other.deadline, other.attempt_id) for other in self._waiting.values()]
            heapq.heapify(self._deadlines)
        heapq.heappush(self._deadlines, (entry.deadline, entry.attempt_id))

    def _remove_waiting(self, entry: QueueItem) -> None:
        self._waiting.pop(entry.attempt_id)
        self._levels.classes[entry.priority].queue.remove(entry)

    @property
    def _is_full(self) -> bool:
        return len(self._waiting) > self._max_attempts or self._levels.waiting_work > self._max_work

    def _is_over_bounds(self, entry: QueueItem, now: float) -> bool:
        if self._is_full:
            return True
        total_speed = self.tokens_per_s
        cls = self._levels.classes[entry.priority]
        if not total_speed or entry.admitted_before:
            return False
        if cls.queue.count <= QUEUE_TIME_EXEMPT:
            return False
        wait = self._levels.expected_wait(cls, cls.queue.work * cls.ratio.bounded, total_speed, now)
        return wait > QUEUE_TIME_S

    def _find_victim(self, entry: QueueItem) -> QueueItem | None:
        # The attempt that would be served last: if the queue is full, that of the priority that uses most of
        # it, otherwise that of the offered priority, which exceeds its queueing time. The limit on the
        # queueing time never evicts an attempt that was admitted before, so that a planned stop ends no
        # request.
        if self._is_full:
            fullest = max(
                self._levels.classes.values(),
                key=lambda cls: max(cls.queue.work / self._max_work, cls.queue.count / self._max_attempts),
            )
            return fullest.queue.find_last()
        victim = self._levels.classes[entry.priority].queue.find_last()
        return entry if victim is not None and victim.admitted_before else victim

    def _start(self, entry: QueueItem, is_owed: bool, now: float) -> None:
        self._waiting.pop(entry.attempt_id)
        self._running[entry.attempt_id] = Running(entry, now, entry.work)
        self._teams.start(entry.team)
        self._levels.start(entry, is_owed, self.tokens_per_s, now)

    def _charge_difference(self, running: Running, work: float) -> None:
        self._levels.charge(running.entry, work - running.charged)
        running.charged = work
