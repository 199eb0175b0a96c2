"""What the router knows of requests and upstreams."""

from dataclasses import dataclass

from basilcove.core.ids import ModelName, ServiceName, UpstreamName, Zone


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What an attempt needs; work in tokens, prefix hashes from the longest block chain."""

    model: ModelName | None
    service: ServiceName | None
    work: float
    prefix: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream reported; work in tokens, speed in tokens a second."""

    queued_work: float
    running: int
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be chosen."""

    name: UpstreamName
    zone: Zone
    models: frozenset[ModelName]
    services: frozenset[ServiceName]
    slots: int
