"""Kinds of requests that callers send."""

import enum
from collections.abc import Iterator
from typing import Any

from basilcove.helpers.hashing import stable_hash
from soak.const import HOST, MAX_ATTEMPTS, SERVICE

_MAX_EVENTS = 25


class Kind(enum.Enum):
    """A kind of request, by the first step of its path."""

    LOOKUP = 'look'
    BOOKING = 'book'
    BRIEF = 'brief'
    ONCE = 'once'
    # Its route is there in one version of the configuration only.
    PROBE = 'version'

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a stream of events."""
        return self in {Kind.BRIEF, Kind.ONCE}

    @property
    def runs_once(self) -> bool:
        """Tell whether a request may run once at most."""
        return self in {Kind.BOOKING, Kind.ONCE}


def route(kind: Kind, prefix: str = '') -> dict[str, Any]:
    """Return the route of a kind in the operator's configuration."""
    found: dict[str, Any] = {
        'name': f'r-{kind.value}',
        'hostname': HOST,
        'path_prefix': prefix or f'/{kind.value}/',
        'type': 'streaming' if kind.is_stream else 'safe',
        'timeout_ms': 6000,
        'service': SERVICE,
        'max_attempts': MAX_ATTEMPTS,
    }
    if kind is Kind.BOOKING:
        found['type'] = 'unsafe'
    if kind is Kind.BRIEF:
        found['resumable'] = True
    if kind is Kind.PROBE:
        found['public'] = True
    return found


def configuration(version: int, keys: dict[str, str]) -> dict[str, Any]:
    """Return a version of the operator's configuration; ``keys`` are those of the teams by name."""
    routes = [route(kind) for kind in Kind if kind is not Kind.PROBE]
    routes.append(route(Kind.PROBE, probe_path(version)))
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': SERVICE}],
        'tenants': [{'name': name, 'api_keys': [key]} for name, key in keys.items()],
    }


def probe_path(version: int) -> str:
    """Return the path whose route only this version has."""
    return f'/{Kind.PROBE.value}-{version}/'


def event_count(request_id: str) -> int:
    """Return how many events the stream of a request has."""
    return 1 + stable_hash(request_id) % _MAX_EVENTS


def events(request_id: str, after: int = 0) -> Iterator[bytes]:
    """Yield the events of a request's stream that follow one of them."""
    for number in range(after + 1, event_count(request_id) + 1):
        yield f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
