"""Upstream with slots, a constant speed per slot, a prefix cache and lagged reports."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from basilcove.admission.models import Admitted, QueueItem, Refused
from basilcove.core.ids import AttemptId, PriorityName, TeamName, UpstreamName, Zone
from basilcove.routing.models import UpstreamLoad
from benchmarks.fakes.loop import Loop

_EXPIRE_PERIOD_S = 0.1


class Queue(Protocol):
    """What an upstream needs of its admission queue."""

    def offer(self, entry: QueueItem, now: float) -> Admitted | Refused:
        """Queue an attempt or refuse it."""

    def start_next(self, now: float) -> QueueItem | None:
        """Return the next attempt."""

    def expire(self, now: float) -> list[QueueItem]:
        """Return what will not start."""

    def finish(self, attempt_id: AttemptId, work: float, now: float) -> None:
        """Free a slot."""

    @property
    def queued_work(self) -> float:
        """Work that waits or runs."""


@dataclass
class Attempt:
    """One attempt with its real work and what became of it."""

    number: int
    team: TeamName
    priority: PriorityName
    arrived: float
    deadline: float
    estimate: float
    work: float
    prefix: tuple[int, ...] = ()
    block_tokens: float = 0
    entry: int = 0
    upstream: UpstreamName | None = None
    sent: float = 0
    started: float | None = None
    ended: float | None = None
    outcome: str = ''
    served: float = 0
    hit_tokens: float = 0
    retry_after_s: float = 0
    tried: list[UpstreamName] = field(default_factory=list)

    @property
    def attempt_id(self) -> AttemptId:
        """The id that queue and router know."""
        return AttemptId(f'{self.number}-{len(self.tried)}')


class FakeUpstream:
    """Serves attempts from its queue; each slot has the same speed in tokens per second."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        zone: str,
        queue: Queue,
        slots: int,
        slot_speed: float,
        cache_blocks: int = 0,
    ) -> None:
        """Start empty."""
        self.loop = loop
        self.name = UpstreamName(name)
        self.zone = Zone(zone)
        self.queue = queue
        self.slots = slots
        self.slot_speed = slot_speed
        self.failing = False
        self.running = 0
        self.busy_s = 0.0
        self.on_end: Callable[[Attempt], None] = _ignore
        self.on_cached: Callable[[FakeUpstream, tuple[int, ...]], None] = _ignore_cached
        self._cache_blocks = cache_blocks
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._attempts: dict[AttemptId, Attempt] = {}
        self._ticking = False

    @property
    def load(self) -> UpstreamLoad:
        """The load as the upstream reports it."""
        by_level = getattr(self.queue, 'work_by_level', ())
        return UpstreamLoad(self.queue.queued_work, self.running, self.slots * self.slot_speed, by_level)

    def set_failing(self, is_failing: bool) -> None:
        """Fail every attempt from now on, or no longer."""
        self.failing = is_failing

    def offer(self, attempt: Attempt) -> None:
        """Take in an attempt; its end is reported through ``on_end``."""
        if self.failing:
            self._end(attempt, 'failed')
            return
        entry = QueueItem(
            attempt.attempt_id, attempt.team, attempt.priority, attempt.estimate, attempt.deadline
        )
        answer = self.queue.offer(entry, self.loop.now)
        if isinstance(answer, Refused):
            attempt.retry_after_s = answer.retry_after_s
            self._end(attempt, 'refused')
            return
        self._attempts[entry.attempt_id] = attempt
        self._start()
        if not self._ticking:
            self._ticking = True
            self.loop.at(self.loop.now + _EXPIRE_PERIOD_S, self._expire)

    def matched_blocks(self, prefix: tuple[int, ...]) -> int:
        """Return how many leading blocks of a prefix are cached."""
        matched = 0
        for block in prefix:
            if block not in self._cache:
                break
            matched += 1
        return matched

    def _start(self) -> None:
        while True:
            entry = self.queue.start_next(self.loop.now)
            if entry is None:
                return
            attempt = self._attempts[entry.attempt_id]
            attempt.started = self.loop.now
            attempt.hit_tokens = self.matched_blocks(attempt.prefix) * attempt.block_tokens
            self._remember(attempt.prefix)
            self.running += 1
            seconds = max(attempt.work - attempt.hit_tokens, 1) / self.slot_speed
            cut = max(attempt.deadline - self.loop.now, 0)
            outcome = 'done' if seconds <= cut else 'late'
            duration = min(seconds, cut)
            self.loop.at(self.loop.now + duration, partial(self._finish, attempt, outcome, duration))

    def _finish(self, attempt: Attempt, outcome: str, duration: float) -> None:
        self.running -= 1
        self.busy_s += duration
        attempt.served = duration * self.slot_speed
        self.queue.finish(attempt.attempt_id, attempt.served, self.loop.now)
        self._attempts.pop(attempt.attempt_id)
        self._end(attempt, outcome)
        self._start()

    def _expire(self) -> None:
        for entry in self.queue.expire(self.loop.now):
            self._end(self._attempts.pop(entry.attempt_id), 'expired')
        self._ticking = len(self._attempts) > self.running
        if self._ticking:
            self.loop.at(self.loop.now + _EXPIRE_PERIOD_S, self._expire)

    def _end(self, attempt: Attempt, outcome: str) -> None:
        attempt.outcome = outcome
        attempt.ended = self.loop.now
        self.on_end(attempt)

    def _remember(self, prefix: tuple[int, ...]) -> None:
        if not self._cache_blocks or not prefix:
            return
        for block in reversed(prefix):
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._cache_blocks:
            self._cache.popitem(last=False)
        self.on_cached(self, prefix)


def _ignore(attempt: Attempt) -> None:
    """Do nothing."""


def _ignore_cached(upstream: FakeUpstream, prefix: tuple[int, ...]) -> None:
    """Do nothing."""
