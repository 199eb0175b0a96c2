"""Limits of concurrency and rate for each team at an entry."""

from dataclasses import dataclass
from http import HTTPStatus

from basilcove.core.ids import Outcome, TeamName
from basilcove.environment.models import Team
from basilcove.requests.const import DEFAULT_RETRY_AFTER_S
from basilcove.requests.events import Refusal


@dataclass(slots=True)
class _TeamLoad:
    in_flight: int
    saved: float
    fed_at: float


class TeamLimits:
    """Requests in flight and a token bucket of the rate, for each team."""

    def __init__(self) -> None:
        """Start without any team."""
        self._loads: dict[TeamName, _TeamLoad] = {}

    def admit(self, name: TeamName, team: Team, now: float) -> Refusal | None:
        """Count a request of the team in, or say why not; ``now`` in monotonic seconds."""
        load = self._loads.get(name)
        if load is None:
            load = _TeamLoad(0, _burst(team), now)
            self._loads[name] = load
        _feed(load, team, now)
        if load.in_flight >= team.max_concurrent:
            return _refuse(f'{team.max_concurrent} requests of the team are in flight', DEFAULT_RETRY_AFTER_S)
        if load.saved < 1:
            return _refuse(f'the team exceeds {team.rate:g} requests/s', (1 - load.saved) / team.rate)
        load.saved -= 1
        load.in_flight += 1
        return None

    def end(self, name: TeamName) -> None:
        """Count a request of the team out."""
        load = self._loads.get(name)
        if load is not None:
            load.in_flight -= 1

    def sweep(self, teams: dict[TeamName, Team], now: float) -> None:
        """Forget teams that have nothing in flight and their whole rate left, or are unknown."""
        for name, load in tuple(self._loads.items()):
            team = teams.get(name)
            if team is not None:
                _feed(load, team, now)
            if load.in_flight == 0 and (team is None or load.saved >= _burst(team)):
                self._loads.pop(name)

    def __len__(self) -> int:
        """Return how many teams are tracked."""
        return len(self._loads)


def _burst(team: Team) -> float:
    return max(1, team.rate)


def _feed(load: _TeamLoad, team: Team, now: float) -> None:
    load.saved = min(_burst(team), load.saved + (now - load.fed_at) * team.rate)
    load.fed_at = now


def _refuse(reason: str, retry_after_s: float) -> Refusal:
    return Refusal(HTTPStatus.TOO_MANY_REQUESTS, Outcome.NOT_RUN, reason, retry_after_s)
