"""Limits of each team: rate of requests and concurrent attempts."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from basilcove.admission.const import DEFAULT_MAX_CONCURRENT, RATE_BURST_S
from basilcove.admission.models import Refused
from basilcove.core.ids import TeamName
from basilcove.environment.models import Team


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    updated_at: float


class TeamLimits:
    """Limits of the teams of a document, and their current use; the state of idle teams is dropped.

    The limits apply to the whole environment, and one upstream sees only a part of it, so the limit enforced
    here is an upper bound.
    """

    def __init__(self) -> None:
        """Start without teams."""
        self._teams: Mapping[TeamName, Team] = {}
        self._running: dict[TeamName, int] = {}
        self._buckets: OrderedDict[TeamName, _TokenBucket] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of teams that have state."""
        return len(self._buckets.keys() | self._running.keys())

    def configure(self, teams: Mapping[TeamName, Team]) -> None:
        """Apply the teams of a newer document."""
        self._teams = teams

    def share(self, name: TeamName) -> float:
        """Return the relative share of a team; 1 if the document doesn't name it."""
        team = self._teams.get(name)
        return 1 if team is None else team.share

    def is_allowed(self, name: TeamName) -> bool:
        """Return whether another attempt of the team may run."""
        team = self._teams.get(name)
        limit = DEFAULT_MAX_CONCURRENT if team is None else team.max_concurrent
        return self._running.get(name, 0) < limit

    def start(self, name: TeamName) -> None:
        """Count an attempt that starts."""
        self._running[name] = self._running.get(name, 0) + 1

    def end(self, name: TeamName) -> None:
        """Count the end of an attempt."""
        remaining = self._running[name] - 1
        self._running[name] = remaining
        if not remaining:
            self._running.pop(name)

    def limit_rate(self, name: TeamName, now: float) -> Refused | None:
        """Take a token for one request from the bucket of the team; refuse if there is none."""
        team = self._teams.get(name)
        if team is None:
            return None
        burst = max(team.rate * RATE_BURST_S, 1)
        bucket = self._buckets.setdefault(name, _TokenBucket(burst, now))
        bucket.tokens = min(bucket.tokens + max(now - bucket.updated_at, 0) * team.rate, burst)
        bucket.updated_at = max(now, bucket.updated_at)
        self._buckets.move_to_end(name)
        self._forget_full(now)
        if bucket.tokens < 1:
            return Refused('the rate limit of the team is reached', (1 - bucket.tokens) / team.rate)
        bucket.tokens -= 1
        return None

    def _forget_full(self, now: float) -> None:
        # A bucket that was last used longer ago than the burst time is full, like a new one. At most two are
        # dropped for each one that is added.
        for _ in range(2):
            name, oldest = next(iter(self._buckets.items()))
            team = self._teams.get(name)
            rate = math.inf if team is None else team.rate
            if oldest.updated_at + max(RATE_BURST_S, 1 / rate) >= now:
                return
            self._buckets.pop(name)
