"""Requests, upstreams and loads as the router sees them."""

from dataclasses import dataclass

from basilcove.core.ids import ModelName, ServiceName, UpstreamName, Zone


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Requirements of an attempt; work in tokens.

    ``prefix`` holds the chained hashes of the leading prompt blocks, that of the first block first.
    ``prefix_work`` is the work of the whole prefix and ``level`` that of the priority; None if unknown.
    """

    model: ModelName | None
    service: ServiceName | None
    work: float
    prefix: tuple[int, ...] = ()
    prefix_work: float | None = None
    level: int | None = None

    @property
    def capability(self) -> tuple[ModelName | None, ServiceName | None]:
        """The model or service that an upstream must serve; the service is ignored if there is a model."""
        return (self.model, None if self.model is not None else self.service)


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream reported: waiting and running work in tokens, speed of all slots in tokens/s.

    ``work_by_level`` gives the work of each level of priority, if the upstream knows it.
    """

    queued_work: float
    running: int
    tokens_per_s: float
    work_by_level: tuple[tuple[int, float], ...] = ()

    def work_ahead(self, level: int | None) -> float:
        """Return the work that is served before an attempt of this level; all work if levels are unknown."""
        if level is None or not self.work_by_level:
            return self.queued_work
        return sum(work for item_level, work in self.work_by_level if item_level <= level)


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be chosen."""

    name: UpstreamName
    zone: Zone
    models: frozenset[ModelName]
    services: frozenset[ServiceName]
    slots: int

    @property
    def capabilities(self) -> list[tuple[ModelName | None, ServiceName | None]]:
        """The models and services that the upstream serves."""
        models: list[tuple[ModelName | None, ServiceName | None]] = [(model, None) for model in self.models]
        return models + [(None, service) for service in self.services]
