"""Kinds of requests that callers send."""

import enum
from collections.abc import Iterator
from typing import Any

from basilcove.helpers.hashing import stable_hash
from soak.const import COLD_PER_S, COLD_S, HOST, MAX_ATTEMPTS, SERVICE

_MAX_EVENTS = 25
# Those of the known sites.
_LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 4_194_304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15_000,
}


class Kind(enum.Enum):
    """A kind of request, by the first segment of its path."""

    LOOKUP = 'look'
    BOOKING = 'book'
    BRIEF = 'brief'
    ONCE = 'once'
    # Each version of the configuration has its own route for this kind.
    PROBE = 'version'

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in {Kind.BRIEF, Kind.ONCE}

    @property
    def runs_once(self) -> bool:
        """Return whether a request may run at most once."""
        return self in {Kind.BOOKING, Kind.ONCE}


def build_route(kind: Kind, prefix: str = '') -> dict[str, Any]:
    """Return the route of a kind in the operator's configuration."""
    content: dict[str, Any] = {
        'name': f'r-{kind.value}',
        'hostname': HOST,
        'path_prefix': prefix or f'/{kind.value}/',
        'type': 'streaming' if kind.is_stream else 'safe',
        'timeout_ms': 6000,
        'service': SERVICE,
        'max_attempts': MAX_ATTEMPTS,
    }
    if kind is Kind.BOOKING:
        content['type'] = 'unsafe'
    if kind is Kind.BRIEF:
        content['resumable'] = True
    if kind is Kind.PROBE:
        content['public'] = True
    return content


def build_configuration(version: int, keys: dict[str, str]) -> dict[str, Any]:
    """Return a version of the operator's configuration; ``keys`` maps team names to keys."""
    routes = [build_route(kind) for kind in Kind if kind is not Kind.PROBE]
    routes.append(build_route(Kind.PROBE, probe_path(version)))
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': SERVICE, 'cold_per_s': COLD_PER_S, 'cold_start_s': COLD_S}],
        'limits': _LIMITS,
        'tenants': [{'name': name, 'api_keys': [key]} for name, key in keys.items()],
    }


def probe_path(version: int) -> str:
    """Return the path prefix that only this version routes."""
    return f'/{Kind.PROBE.value}-{version}/'


def count_events(request_id: str) -> int:
    """Return how many events the stream of a request has."""
    return 1 + stable_hash(request_id) % _MAX_EVENTS


def generate_events(request_id: str, after: int = 0) -> Iterator[bytes]:
    """Yield the events of a request's stream whose numbers are greater than ``after``."""
    for number in range(after + 1, count_events(request_id) + 1):
        yield f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
