"""Finds the route of a request and the team that a key belongs to."""

import hashlib
from dataclasses import dataclass, field
from typing import Self

from basilcove.core.ids import PriorityName, RouteName, ServiceName, TeamName
from basilcove.environment.models import Environment, Route
from basilcove.helpers.hashing import stable_fraction


@dataclass(frozen=True, slots=True)
class NamedRoute:
    """A route with its name and the level of its priority; level 1 is the most urgent."""

    name: RouteName
    route: Route
    level: int


@dataclass(slots=True)
class HostRoutes:
    """Routes of one host by path prefix."""

    by_prefix: dict[str, NamedRoute] = field(default_factory=dict)
    # Lengths of the prefixes, longest first, each once.
    lengths: tuple[int, ...] = ()

    def add(self, named_route: NamedRoute) -> None:
        """Add a route."""
        prefix = named_route.route.path_prefix
        self.by_prefix[prefix] = named_route
        if len(prefix) not in self.lengths:
            self.lengths = tuple(sorted((*self.lengths, len(prefix)), reverse=True))

    def find(self, path: str) -> NamedRoute | None:
        """Return the route with the longest matching prefix; None if none matches.

        The cost grows with the lengths of the prefixes, and not with what the path holds.
        """
        for length in self.lengths:
            # Prefixes end with a slash, so one can end only at a slash of the path.
            if not path.startswith('/', length - 1):
                continue
            named_route = self.by_prefix.get(path[:length])
            if named_route is not None:
                return named_route
        return None


@dataclass(slots=True)
class RouteTable:
    """Routes of a document by host, teams by digest of their key, and levels by team."""

    hosts: dict[str, HostRoutes] = field(default_factory=dict)
    teams: dict[str, TeamName] = field(default_factory=dict)
    levels: dict[TeamName, int] = field(default_factory=dict)

    @classmethod
    def from_environment(cls, environment: Environment) -> Self:
        """Build the table of a document."""
        table = cls()
        for name, route in environment.routes.items():
            level = _priority_level(environment, route.priority)
            table.hosts.setdefault(route.host.lower(), HostRoutes()).add(NamedRoute(name, route, level))
        table.teams = dict(environment.team_by_digest)
        for team_name, team in environment.teams.items():
            if len(team.priorities) == 1:
                table.levels[team_name] = _priority_level(environment, team.priorities[0])
        return table

    def find(self, host: str, path: str) -> NamedRoute | None:
        """Return the route of the host with the longest matching path prefix; None if none matches."""
        routes = self.hosts.get(host.lower())
        return None if routes is None else routes.find(path)

    def find_team(self, key: str) -> TeamName | None:
        """Return the team to which a key belongs; None if the key is unknown."""
        digest = hashlib.sha256(key.encode(errors='surrogateescape')).hexdigest()
        return self.teams.get(f'sha256:{digest}')

    def resolve_level(self, team: TeamName | None, named_route: NamedRoute) -> int:
        """Return the level of a request: that of a team with a single priority, else that of the route."""
        return named_route.level if team is None else self.levels.get(team, named_route.level)


def pick_service(route: Route, request_id: str) -> ServiceName:
    """Choose one of the route's services by weight; equal request ids give the same service."""
    total = sum(target.weight for target in route.targets)
    point = stable_fraction(request_id) * total
    weighted = [target for target in route.targets if target.weight]
    chosen = weighted[-1].service
    for target in weighted:
        point -= target.weight
        if point < 0:
            return target.service
    return chosen


def _priority_level(environment: Environment, name: PriorityName) -> int:
    priority = environment.priorities.get(name)
    return priority.level if priority else 1
