"""Concurrency and rate limits of each team at an entry."""

from dataclasses import dataclass
from http import HTTPStatus

from basilcove.core.ids import Outcome, TeamName
from basilcove.environment.models import Team
from basilcove.requests.const import DEFAULT_RETRY_AFTER_S
from basilcove.requests.events import Refusal


@dataclass(slots=True)
class _TeamUsage:
    in_flight: int
    available: float
    refilled_at: float


class TeamLimits:
    """Requests in flight and the token bucket of the rate limit, for each team."""

    def __init__(self) -> None:
        """Start without any team."""
        self._usages: dict[TeamName, _TeamUsage] = {}

    def admit(self, name: TeamName, team: Team, now: float) -> Refusal | None:
        """Count a request of the team as in flight, or return a refusal; ``now`` in monotonic seconds."""
        usage = self._usages.get(name)
        if usage is None:
            usage = _TeamUsage(0, _burst(team), now)
            self._usages[name] = usage
        _refill(usage, team, now)
        if usage.in_flight >= team.max_concurrent:
            return _refuse(f'{team.max_concurrent} requests of the team are in flight', DEFAULT_RETRY_AFTER_S)
        if usage.available < 1:
            return _refuse(f'the team exceeds {team.rate:g} requests/s', (1 - usage.available) / team.rate)
        usage.available -= 1
        usage.in_flight += 1
        return None

    def release(self, name: TeamName) -> None:
        """Count a request of the team as ended."""
        usage = self._usages.get(name)
        if usage is not None:
            usage.in_flight -= 1

    def sweep(self, teams: dict[TeamName, Team], now: float) -> None:
        """Remove teams without requests in flight whose bucket is full, or that ``teams`` lacks."""
        for name, usage in tuple(self._usages.items()):
            team = teams.get(name)
            if team is not None:
                _refill(usage, team, now)
            if usage.in_flight == 0 and (team is None or usage.available >= _burst(team)):
                self._usages.pop(name)

    def __len__(self) -> int:
        """Return how many teams are tracked."""
        return len(self._usages)


def _burst(team: Team) -> float:
    return max(1, team.rate)


def _refill(usage: _TeamUsage, team: Team, now: float) -> None:
    usage.available = min(_burst(team), usage.available + (now - usage.refilled_at) * team.rate)
    usage.refilled_at = now


def _refuse(reason: str, retry_after_s: float) -> Refusal:
    return Refusal(HTTPStatus.TOO_MANY_REQUESTS, Outcome.NOT_RUN, reason, retry_after_s)
