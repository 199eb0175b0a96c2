"""Checks of a document across its entries."""

import re
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from basilcove.core.ids import GroupName
from basilcove.environment.const import FLOOR_TOLERANCE
from basilcove.environment.faults import Path
from basilcove.environment.models import Environment, Group, Upstream, UpstreamKind
from basilcove.environment.paths import normalise_path

Finding = tuple[Path, str]
Check = Callable[['Draft'], Iterator[Finding]]

CHECKS: Final[list[Check]] = []

_NAME: Final = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
# Names of models come from their publishers, in any case and with an organisation.
_MODEL_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}')


@dataclass(frozen=True)
class Draft:
    """Entries that are valid by themselves, and the names of all entries by section."""

    environment: Environment
    names: Mapping[str, frozenset[str]]

    def missing(self, section: str, required: Iterable[str]) -> list[str]:
        """Return the required names that the section lacks."""
        return [name for name in required if name not in self.names[section]]


def check(function: Check) -> Check:
    """Register a check; it yields the path and text of each fault."""
    CHECKS.append(function)
    return function


@check
def check_names(draft: Draft) -> Iterator[Finding]:
    """Refuse names that can't be used in paths, logs or labels."""
    for section, names in draft.names.items():
        pattern = _MODEL_NAME if section == 'models' else _NAME
        for name in sorted(names):
            if not pattern.fullmatch(name):
                yield (section, name), f'{name!r} is not a name'


@check
def check_presence(draft: Draft) -> Iterator[Finding]:
    """Refuse a document without a priority or a team."""
    if not draft.names['priorities']:
        yield ('priorities',), 'no priority is defined'
    if not draft.names['teams']:
        yield ('teams',), 'no team is defined'


@check
def check_priorities(draft: Draft) -> Iterator[Finding]:
    """Refuse equal levels, and floors that sum to more than 1."""
    priorities = draft.environment.priorities
    levels = ((priority.level, name) for name, priority in priorities.items())
    for level, equals in _shared(levels):
        for other in equals[1:]:
            yield ('priorities', other, 'level'), f'level {level} is also that of {equals[0]}'
    floors = sum(priority.floor for priority in priorities.values())
    if floors > 1 + FLOOR_TOLERANCE:
        yield ('priorities',), f'the floors sum to {floors:g}, which is more than 1'


@check
def check_teams(draft: Draft) -> Iterator[Finding]:
    """Refuse unknown priorities and keys that two teams share."""
    owners: list[tuple[object, str]] = []
    for name, team in draft.environment.teams.items():
        owners.extend((digest, name) for digest in team.key_digests)
        if not team.priorities:
            yield ('teams', name, 'priorities'), 'no priority is allowed'
        for missing in draft.missing('priorities', team.priorities):
            yield ('teams', name, 'priorities'), f'no priority is called {missing}'
    for digest, sharers in _shared(owners):
        for other in sharers[1:]:
            yield ('teams', other, 'key_digests'), f'{digest} is also a key of team {sharers[0]}'


@check
def check_models(draft: Draft) -> Iterator[Finding]:
    """Refuse models whose group is unknown."""
    for name, model in draft.environment.models.items():
        for missing in draft.missing('groups', (model.group,)):
            yield ('models', name, 'group'), f'no group is called {missing}'


@check
def check_groups(draft: Draft) -> Iterator[Finding]:
    """Refuse groups whose upstreams or sizes are invalid, and engines in two groups."""
    members: list[tuple[object, str]] = []
    for name, group in draft.environment.groups.items():
        path: Path = ('groups', name, 'upstreams')
        members.extend((upstream, name) for upstream in group.upstreams)
        for missing in draft.missing('upstreams', group.upstreams):
            yield path, f'no upstream is called {missing}'
        for service in _find_non_engines(draft, group):
            yield path, f'{service} is not an engine'
        if not group.upstreams:
            yield path, 'the group has no upstream'
        if group.ranks < len(group.upstreams):
            text = f'{group.ranks} ranks can not spread over {len(group.upstreams)} upstreams'
            yield ('groups', name, 'ranks'), text
        yield from _check_slots(name, group)
    # Ranks advance in lock-step, so an engine in two groups would couple them.
    for upstream, groups in _shared(members):
        for other in groups[1:]:
            yield ('groups', other, 'upstreams'), f'{upstream} is already listed in group {groups[0]}'


def _check_slots(name: GroupName, group: Group) -> Iterator[Finding]:
    slots = group.expert_slots
    if slots is None:
        return
    if slots * group.ranks < group.experts:
        text = f'{group.ranks} ranks of {slots} slots can not hold {group.experts} experts'
        yield ('groups', name, 'expert_slots'), text
    if slots > group.experts:
        yield ('groups', name, 'expert_slots'), f'a rank can not hold more than {group.experts} experts'


@check
def check_upstreams(draft: Draft) -> Iterator[Finding]:
    """Refuse upstreams that serve an unknown or unsuitable entry, and shared credentials."""
    credentials: list[tuple[object, str]] = []
    for name, upstream in draft.environment.upstreams.items():
        credentials.append((upstream.credential_digest, name))
        yield from _check_kind(name, upstream)
        for missing in draft.missing('models', upstream.models):
            yield ('upstreams', name, 'models'), f'no model is called {missing}'
        for missing in draft.missing('services', upstream.services):
            yield ('upstreams', name, 'services'), f'no service is called {missing}'
    # The holder of a shared credential could announce itself under another's name.
    for _, holders in _shared(credentials):
        for other in holders[1:]:
            yield ('upstreams', other, 'credential_digest'), f'{holders[0]} has the same credential'


@check
def check_served_models(draft: Draft) -> Iterator[Finding]:
    """Refuse an engine that serves the model of a group that it isn't in."""
    environment = draft.environment
    members = {
        model_name: environment.groups[model.group].upstreams
        for model_name, model in environment.models.items()
        if model.group in environment.groups
    }
    for name, upstream in environment.upstreams.items():
        for model_name in upstream.models:
            if name not in members.get(model_name, (name,)):
                yield ('upstreams', name, 'models'), f'{model_name} runs on a group that does not list it'


@check
def check_calls(draft: Draft) -> Iterator[Finding]:
    """Refuse calls that no request could match, or that two entries describe."""
    for name, service in draft.environment.services.items():
        seen = set()
        for index, call in enumerate(service.calls):
            path: Path = ('services', name, 'calls', str(index), 'path')
            if normalise_path(call.path) != call.path:
                yield path, f'{call.path} is not a normalised path'
            key = (call.method, call.path.rstrip('/'))
            if key in seen:
                yield path, f'{call.method} {call.path} is listed twice'
            seen.add(key)


@check
def check_routes(draft: Draft) -> Iterator[Finding]:
    """Refuse routes without a usable target, and routes with the same host and prefix."""
    prefixes: list[tuple[object, str]] = []
    for name, route in draft.environment.routes.items():
        prefixes.append(((route.host.lower(), route.path_prefix), name))
        required = [target.service for target in route.targets]
        for missing in draft.missing('services', required):
            yield ('routes', name, 'targets'), f'no service is called {missing}'
        if not sum(target.weight for target in route.targets):
            yield ('routes', name, 'targets'), 'the weights sum to 0'
        for unknown in draft.missing('priorities', (route.priority,)):
            yield ('routes', name, 'priority'), f'no priority is called {unknown}'
    for _, sharers in _shared(prefixes):
        for other in sharers[1:]:
            yield ('routes', other, 'path_prefix'), f'{sharers[0]} has the same host and prefix'


def _find_non_engines(draft: Draft, group: Group) -> Iterator[str]:
    for name in group.upstreams:
        upstream = draft.environment.upstreams.get(name)
        if upstream is not None and upstream.kind is not UpstreamKind.ENGINE:
            yield name


def _check_kind(name: str, upstream: Upstream) -> Iterator[Finding]:
    if upstream.kind is UpstreamKind.ENGINE:
        required, forbidden = 'models', 'services'
    else:
        required, forbidden = 'services', 'models'
    if not getattr(upstream, required):
        yield ('upstreams', name, required), f'an upstream of kind {upstream.kind.value} needs {required}'
    if getattr(upstream, forbidden):
        yield ('upstreams', name, forbidden), f'an upstream of kind {upstream.kind.value} has no {forbidden}'


def _shared(pairs: Iterable[tuple[object, str]]) -> Iterator[tuple[str, list[str]]]:
    by_value: dict[object, list[str]] = defaultdict(list)
    for shared_value, name in pairs:
        by_value[shared_value].append(name)
    for shared_value, names in by_value.items():
        if len(names) > 1:
            yield str(shared_value), names
