"""Router that knows the exact load and cache of every upstream, for comparison."""

from collections.abc import Collection

from basilcove.core.ids import UpstreamName
from basilcove.routing.models import RouteRequest
from benchmarks.fakes.round_robin import RoundRobin
from benchmarks.fakes.upstream import FakeUpstream
from benchmarks.fakes.world import World


class Omniscient(RoundRobin):
    """Scans all upstreams for the least expected time to the whole answer."""

    def __init__(self, world: World) -> None:
        """Look at the upstreams of this world."""
        super().__init__()
        self._upstreams = world.upstreams

    def choose(
        self, req: RouteRequest, now: float, excluded: Collection[UpstreamName] = ()
    ) -> UpstreamName | None:
        """Return the upstream with the least expected time."""
        allowed = [upstream for upstream in self._upstreams if upstream.name not in excluded]
        return min(allowed, key=lambda upstream: _cost(upstream, req)).name if allowed else None


def _cost(upstream: FakeUpstream, req: RouteRequest) -> float:
    saved = (req.prefix_work or 0) * upstream.matched_blocks(req.prefix) / max(len(req.prefix), 1)
    load = upstream.load
    return (load.queued_work / upstream.slots + req.work - saved) / upstream.slot_speed
