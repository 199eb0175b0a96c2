"""Start-time fair queueing among the teams of one priority, measured in work."""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from basilcove.admission.const import HEAP_SLACK
from basilcove.admission.models import QueueItem
from basilcove.core.ids import AttemptId, TeamName


@dataclass(slots=True)
class TeamQueue:
    """Attempts of one team; ``tag`` is the virtual time at which its next attempt starts.

    A parked team is skipped because it is at its limit of concurrent attempts. ``idle_tag`` is the tag with
    which the team is in the heap of idle teams, -1 if it isn't in it.
    """

    name: TeamName
    share: float
    tag: float = 0
    work: float = 0
    running: int = 0
    is_parked: bool = False
    idle_tag: float = -1
    waiting: OrderedDict[AttemptId, QueueItem] = field(default_factory=OrderedDict)

    @property
    def is_idle(self) -> bool:
        """Return whether no attempt of the team waits or runs."""
        return not self.waiting and not self.running

    @property
    def last_tag(self) -> float:
        """Virtual time at which all of its attempts have been served."""
        return self.tag + self.work / self.share


class FairQueue:
    """Waiting attempts of one priority; each operation takes O(log teams) amortized."""

    def __init__(self) -> None:
        """Start without teams."""
        self.work = 0.0
        self.count = 0
        self.total_share = 0.0
        self._virtual_time = 0.0
        self._last_tag = 0.0
        self._teams: dict[TeamName, TeamQueue] = {}
        # Heaps with lazy deletion: an entry is stale once the tag of its team has changed. Ready and idle
        # teams are ordered by ``tag``, and ``_latest`` by descending ``last_tag``.
        self._ready: list[tuple[float, TeamName]] = []
        self._latest: list[tuple[float, TeamName]] = []
        self._idle: list[tuple[float, TeamName]] = []

    def __len__(self) -> int:
        """Return the number of teams that have state."""
        return len(self._teams)

    def add(self, item: QueueItem, share: float) -> None:
        """Queue an attempt behind those of its team."""
        team = self._teams.get(item.team)
        if team is None:
            team = TeamQueue(item.team, share)
            self._teams[item.team] = team
        if not team.waiting:
            team.share = share
            team.tag = max(team.tag, self._virtual_time)
            team.is_parked = False
            self.total_share += team.share
            self._push_ready(team)
        team.waiting[item.attempt_id] = item
        if item.admitted_before:
            team.waiting.move_to_end(item.attempt_id, last=False)
        self._change_work(team, item.work)
        self.count += 1
        self._push_latest(team)

    def peek(self, is_allowed: Callable[[TeamName], bool]) -> QueueItem | None:
        """Return the next attempt of the team that is served next; teams that are not allowed are parked."""
        while self._ready:
            tag, name = self._ready[0]
            team = self._teams.get(name)
            if team is None or not team.waiting or team.is_parked or team.tag != tag:
                heapq.heappop(self._ready)
                continue
            if is_allowed(name):
                return next(iter(team.waiting.values()))
            team.is_parked = True
        return None

    def start(self, item: QueueItem) -> None:
        """Remove an attempt that starts and charge its team."""
        team = self._teams[item.team]
        self._virtual_time = max(self._virtual_time, team.tag)
        team.running += 1
        self.charge(item.team, item.work)
        self.remove(item)

    def unpark(self, name: TeamName) -> None:
        """Consider a parked team again."""
        team = self._teams.get(name)
        if team is not None and team.is_parked:
            team.is_parked = False
            team.tag = max(team.tag, self._virtual_time)
            self._push_ready(team)

    def remove(self, item: QueueItem) -> None:
        """Remove a waiting attempt."""
        team = self._teams[item.team]
        team.waiting.pop(item.attempt_id)
        self._change_work(team, -item.work)
        self.count -= 1
        if team.waiting:
            return
        self.work -= team.work
        team.work = 0
        self.total_share -= team.share
        self._forget_idle(team)

    def replace(self, item: QueueItem, changed: QueueItem) -> None:
        """Replace a waiting attempt by one with other work; it keeps its place."""
        team = self._teams[item.team]
        team.waiting[item.attempt_id] = changed
        self._change_work(team, changed.work - item.work)
        self._push_latest(team)

    def charge(self, name: TeamName, work: float) -> None:
        """Charge a team for work; negative work is credited."""
        team = self._teams.get(name)
        if team is None:
            return
        team.tag += work / team.share
        self._last_tag = max(self._last_tag, team.tag)
        if team.waiting and not team.is_parked:
            self._push_ready(team)

    def end(self, name: TeamName) -> None:
        """Count the end of an attempt of the team."""
        team = self._teams.get(name)
        if team is not None:
            team.running -= 1
            self._forget_idle(team)

    def work_ahead(self, name: TeamName, share: float) -> float:
        """Return the work that is served before another attempt of this team."""
        team = self._teams.get(name)
        own = 0.0
        total_share = self.total_share
        if team is None or not team.waiting:
            total_share += share
        if team is not None:
            own = team.work + max(team.tag - self._virtual_time, 0) * team.share
        return min(own * total_share / share, self.work)

    def find_last(self) -> QueueItem | None:
        """Return the attempt that would be served last: the newest of the team furthest above its share."""
        while self._latest:
            tag, name = self._latest[0]
            team = self._teams.get(name)
            if team is not None and team.waiting:
                if team.last_tag >= -tag:
                    return next(reversed(team.waiting.values()))
                heapq.heapreplace(self._latest, (-team.last_tag, name))
                continue
            heapq.heappop(self._latest)
        return None

    def _change_work(self, team: TeamQueue, work: float) -> None:
        team.work += work
        self.work += work

    def _push_ready(self, team: TeamQueue) -> None:
        if len(self._ready) > 2 * len(self._teams) + HEAP_SLACK:
            backlogged = [other for other in self._teams.values() if other.waiting and not other.is_parked]
            self._ready = [(other.tag, other.name) for other in backlogged]
            heapq.heapify(self._ready)
        heapq.heappush(self._ready, (team.tag, team.name))

    def _push_latest(self, team: TeamQueue) -> None:
        if len(self._latest) > 2 * len(self._teams) + HEAP_SLACK:
            self._latest = [(-other.last_tag, other.name) for other in self._teams.values() if other.waiting]
            heapq.heapify(self._latest)
        heapq.heappush(self._latest, (-team.last_tag, team.name))

    def _forget_idle(self, team: TeamQueue) -> None:
        # An idle team is dropped once its past service no longer affects its order, that is when the virtual
        # time has passed its tag. If no attempt of any team waits, the virtual time jumps to the last tag.
        if not self.count:
            self._virtual_time = max(self._virtual_time, self._last_tag)
            self.work = 0
            self.total_share = 0
        if team.is_idle and team.idle_tag != team.tag:
            team.idle_tag = team.tag
            heapq.heappush(self._idle, (team.tag, team.name))
        while self._idle and self._idle[0][0] <= self._virtual_time:
            self._forget(*heapq.heappop(self._idle))

    def _forget(self, tag: float, name: TeamName) -> None:
        team = self._teams.get(name)
        if team is None or team.idle_tag != tag:
            return
        team.idle_tag = -1
        if team.is_idle and team.tag <= self._virtual_time:
            self._teams.pop(name)
