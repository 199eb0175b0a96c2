"""Finds the route of a request and the team of a key."""

import hashlib
from dataclasses import dataclass, field
from typing import Self

from basilcove.core.ids import PriorityName, RouteName, ServiceName, TeamName
from basilcove.environment.models import Environment, Route
from basilcove.helpers.hashing import stable_fraction


@dataclass(frozen=True, slots=True)
class NamedRoute:
    """A route with its name and the level of its priority; level 1 is served first."""

    name: RouteName
    route: Route
    level: int


@dataclass(slots=True)
class RouteTable:
    """Routes of a document by host and path prefix, and teams by key."""

    hosts: dict[str, dict[str, NamedRoute]] = field(default_factory=dict)
    teams: dict[str, TeamName] = field(default_factory=dict)
    levels: dict[TeamName, int] = field(default_factory=dict)

    @classmethod
    def from_environment(cls, environment: Environment) -> Self:
        """Index a document."""
        table = cls()
        for name, route in environment.routes.items():
            level = _level_of(environment, route.priority)
            table.hosts.setdefault(route.host.lower(), {})[route.path_prefix] = NamedRoute(name, route, level)
        table.teams = dict(environment.team_by_digest)
        for team_name, team in environment.teams.items():
            if len(team.priorities) == 1:
                table.levels[team_name] = _level_of(environment, team.priorities[0])
        return table

    def find(self, host: str, path: str) -> NamedRoute | None:
        """Return the route with the longest prefix of the path."""
        prefixes = self.hosts.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while True:
            # Prefixes end with a slash, so only those positions can be the end of one.
            end = path.rfind('/', 0, end) + 1
            if not end:
                return None
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end -= 1

    def team_of(self, key: str) -> TeamName | None:
        """Return the team that holds a key."""
        digest = hashlib.sha256(key.encode(errors='surrogateescape')).hexdigest()
        return self.teams.get(f'sha256:{digest}')

    def level_of(self, team: TeamName | None, found: NamedRoute) -> int:
        """Return the level of a request: a team with one priority has its own."""
        return found.level if team is None else self.levels.get(team, found.level)


def pick_service(route: Route, request_id: str) -> ServiceName:
    """Return one of the route's services by weight; equal for equal request ids."""
    total = sum(target.weight for target in route.targets)
    point = stable_fraction(request_id) * total
    weighted = [target for target in route.targets if target.weight]
    chosen = weighted[-1].service
    for target in weighted:
        point -= target.weight
        if point < 0:
            return target.service
    return chosen


def _level_of(environment: Environment, name: PriorityName) -> int:
    priority = environment.priorities.get(name)
    return priority.level if priority else 1
