"""Baseline of the router: round-robin over all capable upstreams."""

from collections.abc import Collection, Iterable

from basilcove.core.ids import AttemptId, UpstreamName
from basilcove.routing.models import Candidate, RouteRequest, UpstreamLoad


class RoundRobin:
    """Chooses upstreams in turn, without any knowledge of load."""

    def __init__(self) -> None:
        """Start without upstreams."""
        self._names: list[UpstreamName] = []
        self._next = 0

    def update(self, candidates: Iterable[Candidate], now: float) -> None:
        """Replace the upstreams."""
        self._names = [candidate.name for candidate in candidates]

    def choose(
        self, req: RouteRequest, now: float, excluded: Collection[UpstreamName] = ()
    ) -> UpstreamName | None:
        """Return the next upstream that is not excluded."""
        for _ in self._names:
            self._next = (self._next + 1) % len(self._names)
            if self._names[self._next] not in excluded:
                return self._names[self._next]
        return None

    def record_sent(
        self, attempt_id: AttemptId, upstream: UpstreamName, req: RouteRequest, now: float
    ) -> None:
        """Ignore the attempt."""

    def record_success(self, attempt_id: AttemptId, latency_s: float, now: float) -> None:
        """Ignore the end."""

    def record_failure(self, attempt_id: AttemptId, now: float, refused: bool = False) -> None:
        """Ignore the failure."""

    def apply_report(self, upstream: UpstreamName, load: UpstreamLoad, now: float) -> None:
        """Ignore the report."""

    def cache_event(self, upstream: UpstreamName, sequence: int, prefix: tuple[int, ...]) -> None:
        """Ignore the event."""
