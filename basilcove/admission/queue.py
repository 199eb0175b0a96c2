"""Admission queue of one upstream: priorities with floors, fairness among teams, early refusal."""

import dataclasses
import heapq

from basilcove.admission.const import (
    DEFAULT_MAX_QUEUED_ATTEMPTS,
    DEFAULT_MAX_QUEUED_WORK,
    DEFAULT_RETRY_AFTER_S,
    HEAP_SLACK,
    LATE_FRACTION,
    MAX_QUEUE_TIME_S,
    QUEUE_TIME_EXEMPT_ATTEMPTS,
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

    def offer(self, item: QueueItem, now: float) -> Admitted | Refused:
        """Queue an attempt or return why it is refused; ``now`` in monotonic seconds.

        An attempt that was admitted may later be evicted in favour of another team; ``expire`` returns it.
        """
        if item.deadline <= now:
            return Refused('the deadline has passed', 0)
        if item.attempt_id in self._waiting or item.attempt_id in self._running:
            return Refused('the attempt is already known', 0)
        rate_refusal = self._teams.limit_rate(item.team, now)
        if rate_refusal is not None:
            return rate_refusal
        self._levels.ensure(item.priority)
        late_refusal = self._refuse_late(item, now)
        if late_refusal is not None:
            return late_refusal
        self._add(item, now)
        while self._is_over_bounds(item, now):
            self._levels.classes[item.priority].demand.freeze(now)
            victim = self._find_victim(item)
            if victim is None:
                break
            self._remove_waiting(victim)
            if victim.attempt_id == item.attempt_id:
                return self.refusal(item, now)
            self._dropped[victim.attempt_id] = victim
        self._levels.classes[item.priority].demand.add(self._expected_work(item), self.tokens_per_s, now)
        return Admitted()

    def start_next(self, now: float) -> QueueItem | None:
        """Start the next attempt and return it; None if none may start or no slot is free."""
        free = self._slots - len(self._running)
        while free > 0 and self._waiting:
            selection = self._levels.select(self._slots, free, self._slot_speed, now, self._teams.is_allowed)
            if selection is None:
                return None
            item, is_owed = selection
            if self._is_late(item, now):
                self._remove_waiting(item)
                self._dropped[item.attempt_id] = item
                continue
            self._start(item, is_owed, now)
            return item
        return None

    def expire(self, now: float) -> list[QueueItem]:
        """Remove and return the waiting attempts that will not start.

        These are attempts whose deadline has passed or can no longer be met, and attempts evicted since the
        last call; ``refusal`` returns the reason and the time until a retry.
        """
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, attempt_id = heapq.heappop(self._deadlines)
            item = self._waiting.get(attempt_id)
            if item is not None and item.deadline == deadline:
                self._remove_waiting(item)
                self._dropped[attempt_id] = item
        expired = list(self._dropped.values())
        self._dropped.clear()
        return expired

    def refusal(self, item: QueueItem, now: float) -> Refused:
        """Return the reason and the time until a retry for an attempt that was removed before it started."""
        if self._is_late(item, now):
            return Refused('the work can not be finished by its deadline', self._retry_after(item, now))
        return Refused('the queue is full', self._retry_after(item, now))

    def correct(self, attempt_id: AttemptId, work: float) -> None:
        """Correct the estimated work of a waiting or running attempt, in tokens."""
        item = self._waiting.get(attempt_id)
        if item is not None:
            changed = dataclasses.replace(item, work=work)
            self._waiting[attempt_id] = changed
            self._levels.classes[item.priority].queue.replace(item, changed)
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
        item = running.item
        self._speed.add(work, max(now - running.started_at, 0))
        self._levels.end(item, work)
        self._teams.end(item.team)
        self._levels.unpark(item.team)

    def cancel(self, attempt_id: AttemptId) -> bool:
        """Remove a waiting attempt; return False if it isn't waiting."""
        if self._dropped.pop(attempt_id, None) is not None:
            return True
        item = self._waiting.get(attempt_id)
        if item is None:
            return False
        self._remove_waiting(item)
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

    def _refuse_late(self, item: QueueItem, now: float) -> Refused | None:
        speed = self._slot_speed
        if not speed:
            return None
        expected_end = (
            now + self._expected_wait(item, now) + LATE_FRACTION * self._expected_work(item) / speed
        )
        if expected_end <= item.deadline:
            return None
        return Refused('the work can not be finished by its deadline', self._retry_after(item, now))

    def _retry_after(self, item: QueueItem, now: float) -> float:
        # Time until the queue ahead is short enough, provided that no other work is queued.
        speed = self._slot_speed
        if not speed:
            return DEFAULT_RETRY_AFTER_S
        allowed = min(max(item.deadline - now - self._expected_work(item) / speed, 0), MAX_QUEUE_TIME_S)
        wait = self._expected_wait(item, now)
        return max(wait - allowed, self._expected_work(item) / speed / self._slots)

    def _expected_wait(self, item: QueueItem, now: float) -> float:
        # Expected time until the attempt starts, derived from the work ahead and the measured speed.
        total_speed = self.tokens_per_s
        cls = self._levels.classes[item.priority]
        ahead = cls.queue.work_ahead(item.team, self._teams.share(item.team)) * cls.ratio.bounded
        if not total_speed or (not ahead and not self._waiting and len(self._running) < self._slots):
            return 0
        wait = self._levels.expected_wait(cls, ahead, total_speed, now)
        if len(self._running) >= self._slots:
            wait += self._levels.expected_running / len(self._running) / total_speed
        return wait

    def _is_late(self, item: QueueItem, now: float) -> bool:
        speed = self._slot_speed
        service = LATE_FRACTION * self._expected_work(item) / speed if speed else 0
        return item.deadline <= now or now + service > item.deadline

    def _expected_work(self, item: QueueItem) -> float:
        return item.work * self._levels.classes[item.priority].ratio.bounded

    def _add(self, item: QueueItem, now: float) -> None:
        self._waiting[item.attempt_id] = item
        self._levels.classes[item.priority].queue.add(item, self._teams.share(item.team))
        if len(self._deadlines) > 2 * len(self._waiting) + HEAP_SLACK:
            self._deadlines = [(other.deadline, other.attempt_id) for other in self._waiting.values()]
            heapq.heapify(self._deadlines)
        heapq.heappush(self._deadlines, (item.deadline, item.attempt_id))

    def _remove_waiting(self, item: QueueItem) -> None:
        self._waiting.pop(item.attempt_id)
        self._levels.classes[item.priority].queue.remove(item)

    @property
    def _is_full(self) -> bool:
        return len(self._waiting) > self._max_attempts or self._levels.waiting_work > self._max_work

    def _is_over_bounds(self, item: QueueItem, now: float) -> bool:
        if self._is_full:
            return True
        total_speed = self.tokens_per_s
        cls = self._levels.classes[item.priority]
        if not total_speed or item.admitted_before:
            return False
        if cls.queue.count <= QUEUE_TIME_EXEMPT_ATTEMPTS:
            return False
        wait = self._levels.expected_wait(cls, cls.queue.work * cls.ratio.bounded, total_speed, now)
        return wait > MAX_QUEUE_TIME_S

    def _find_victim(self, item: QueueItem) -> QueueItem | None:
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
        victim = self._levels.classes[item.priority].queue.find_last()
        return item if victim is not None and victim.admitted_before else victim

    def _start(self, item: QueueItem, is_owed: bool, now: float) -> None:
        self._waiting.pop(item.attempt_id)
        self._running[item.attempt_id] = Running(item, now, item.work)
        self._teams.start(item.team)
        self._levels.start(item, is_owed, self.tokens_per_s, now)

    def _charge_difference(self, running: Running, work: float) -> None:
        self._levels.charge(running.item, work - running.charged)
        running.charged = work
