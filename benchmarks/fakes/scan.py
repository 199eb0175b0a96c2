"""Baseline of the router: scan for the least own outstanding work."""

from collections.abc import Collection, Iterable

from basilcove.core.ids import AttemptId, UpstreamName, Zone
from basilcove.routing.models import Candidate, RouteRequest, UpstreamLoad


class ScanRouter:
    """Costs of the upstreams that one entry knows."""

    def __init__(self, zone: Zone) -> None:
        """Prefer upstreams of this availability zone."""
        self._zone = zone
        self._candidates: dict[UpstreamName, Candidate] = {}
        self._outstanding: dict[UpstreamName, float] = {}
        self._attempts: dict[AttemptId, tuple[UpstreamName, float]] = {}

    def update(self, candidates: Iterable[Candidate], now: float) -> None:
        """Replace the upstreams that may be chosen."""
        self._candidates = {candidate.name: candidate for candidate in candidates}

    def choose(
        self,
        req: RouteRequest,
        now: float,
        excluded: Collection[UpstreamName] = (),
    ) -> UpstreamName | None:
        """Return the best capable upstream that is not excluded; None if there is none."""
        best: UpstreamName | None = None
        for candidate in self._candidates.values():
            if candidate.name in excluded or not _is_capable(candidate, req):
                continue
            if best is None or self._cost(candidate.name) < self._cost(best):
                best = candidate.name
        return best

    def record_sent(
        self, attempt_id: AttemptId, upstream: UpstreamName, req: RouteRequest, now: float
    ) -> None:
        """Note an attempt that was sent."""
        self._attempts[attempt_id] = (upstream, req.work)
        self._outstanding[upstream] = self._cost(upstream) + req.work

    def record_success(self, attempt_id: AttemptId, latency_s: float, now: float) -> None:
        """Note an attempt that ended well."""
        upstream, work = self._attempts.pop(attempt_id, (UpstreamName(''), 0.0))
        self._outstanding[upstream] = self._cost(upstream) - work

    def record_failure(self, attempt_id: AttemptId, now: float) -> None:
        """Note an attempt that failed or was refused."""
        self.record_success(attempt_id, 0, now)

    def apply_report(self, upstream: UpstreamName, load: UpstreamLoad, now: float) -> None:
        """Take in a load report, which lags behind."""

    def cache_event(self, upstream: UpstreamName, sequence: int, prefix: tuple[int, ...]) -> None:
        """Take in a cache event; a gap in the sequence makes the index uncertain."""

    def _cost(self, upstream: UpstreamName) -> float:
        return self._outstanding.get(upstream, 0)


def _is_capable(candidate: Candidate, req: RouteRequest) -> bool:
    if req.model is not None:
        return req.model in candidate.models
    return req.service in candidate.services
