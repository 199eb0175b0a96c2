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
    """Attempts of one team; ``tag`` is the virtual time at which its next attempt starts."""

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
        self.shares = 0.0
        self._virtual = 0.0
        self._last_tag = 0.0
        self._teams: dict[TeamName, TeamQueue] = {}
        # Heaps by tag with lazy deletion: an entry is stale once the tag of its team has changed.
        self._ready: list[tuple[float, TeamName]] = []
        self._last: list[tuple[float, TeamName]] = []
        self._idle: list[tuple[float, TeamName]] = []

    def __len__(self) -> int:
        """Return the number of teams whose state is kept."""
        return len(self._teams)

    def add(self, entry: QueueItem, share: float) -> None:
        """Queue an attempt behind those of its team."""
        team = self._teams.get(entry.team)
        if team is None:
            team = TeamQueue(entry.team, share)
            self._teams[entry.team] = team
        if not team.waiting:
            team.share = share
            team.tag = max(team.tag, self._virtual)
            team.is_parked = False
            self.shares += team.share
            self._push_ready(team)
        team.waiting[entry.attempt_id] = entry
        if entry.admitted_before:
            team.waiting.move_to_end(entry.attempt_id, last=False)
        self._change_work(team, entry.work)
        self.count += 1
        self._push_last(team)

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

    def start(self, entry: QueueItem) -> None:
        """Remove an attempt that starts and charge its team."""
        team = self._teams[entry.team]
        self._virtual = max(self._virtual, team.tag)
        team.running += 1
        self.charge(entry.team, entry.work)
        self.remove(entry)

    def unpark(self, name: TeamName) -> None:
        """Let a parked team take part again."""
        team = self._teams.get(name)
        if team is not None and team.is_parked:
            team.is_parked = False
            team.tag = max(team.tag, self._virtual)
            self._push_ready(team)

    def remove(self, entry: QueueItem) -> None:
        """Remove a waiting attempt."""
        team = self._teams[entry.team]
        team.waiting.pop(entry.attempt_id)
        self._change_work(team, -entry.work)
        self.count -= 1
        if team.waiting:
            return
        self.work -= team.work
        team.work = 0
        self.shares -= team.share
        self._forget_idle(team)

    def replace(self, entry: QueueItem, changed: QueueItem) -> None:
        """Replace a waiting attempt by one with other work; it keeps its place."""
        team = self._teams[entry.team]
        team.waiting[entry.attempt_id] = changed
        self._change_work(team, changed.work - entry.work)
        self._push_last(team)

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
        shares = self.shares
        if team is None or not team.waiting:
            shares += share
        if team is not None:
            own = team.work + max(team.tag - self._virtual, 0) * team.share
        return min(own * shares / share, self.work)

    def find_last(self) -> QueueItem | None:
        """Return the attempt that would be served last: the newest of the team furthest above its share."""
        while self._last:
            tag, name = self._last[0]
            team = self._teams.get(name)
            if team is not None and team.waiting:
                if team.last_tag >= -tag:
                    return next(reversed(team.waiting.values()))
                heapq.heapreplace(self._last, (-team.last_tag, name))
                continue
            heapq.heappop(self._last)
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

    def _push_last(self, team: TeamQueue) -> None:
        if len(self._last) > 2 * len(self._teams) + HEAP_SLACK:
            self._last = [(-other.last_tag, other.name) for other in self._teams.values() if other.waiting]
            heapq.heapify(self._last)
        heapq.heappush(self._last, (-team.last_tag, team.name))

    def _forget_idle(self, team: TeamQueue) -> None:
        # An idle team is dropped once its past service no longer affects its order, that is when the virtual
        # time has passed its tag. If no attempt of any team waits, the virtual time jumps to the last tag.
        if not self.count:
            self._virtual = max(self._virtual, self._last_tag)
            self.work = 0
            self.shares = 0
        if team.is_idle and team.idle_tag != team.tag:
            team.idle_tag = team.tag
            heapq.heappush(self._idle, (team.tag, team.name))
        while self._idle and self._idle[0][0] <= self._virtual:
            self._forget(*heapq.heappop(self._idle))

    def _forget(self, tag: float, name: TeamName) -> None:
        team = self._teams.get(name)
        if team is None or team.idle_tag != tag:
            return
        team.idle_tag = -1
        if team.is_idle and team.tag <= self._virtual:
            self._teams.pop(name)
