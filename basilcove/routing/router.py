"""Chooses an upstream for each attempt of one entry, from a few candidates and without a scan."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from itertools import islice

from basilcove.core.ids import AttemptId, UpstreamName, Zone
from basilcove.helpers.hashing import stable_hash
from basilcove.routing.const import (
    DEFAULT_PREFIX_FRACTION,
    DEFAULT_SLOT_SPEED,
    LOCAL_CHOICES,
    PREFIX_CHOICES,
    REFUSED_PENALTY_S,
    REFUSED_TIME_S,
    REMOTE_CHOICES,
    REMOTE_PENALTY_S,
    REPORT_LIFETIME_S,
    SAMPLE_SLACK,
    UNCERTAIN_WEIGHT,
)
from basilcove.routing.health import Capability, Health
from basilcove.routing.models import Candidate, RouteRequest, UpstreamLoad
from basilcove.routing.pools import Pool, mix
from basilcove.routing.prefixes import PrefixIndex, deepest, depth

_SPREAD_BITS = 32
_FRACTION_RANGE = 1 << _SPREAD_BITS


@dataclass(slots=True)
class _Known:
    """What this entry knows of the load of one upstream; work in tokens."""

    candidate: Candidate
    is_local: bool
    slots: float
    speed: float
    own: dict[int, float] = field(default_factory=dict)
    attempts: int = 0
    # Work of others by level of the request: what the last report says beyond this entry's own work.
    others: dict[int | None, float] = field(default_factory=dict)
    own_at_report: dict[int, float] = field(default_factory=dict)
    load: UpstreamLoad | None = None
    reported: float = 0
    refused: float = -REFUSED_TIME_S

    def outstanding(self, now: float, level: int | None) -> float:
        """Return the work ahead of this level: as reported, corrected by what was sent and ended since."""
        own = _work_until(self.own, level) if self.own else 0.0
        if self.load is None or now - self.reported > REPORT_LIFETIME_S:
            return own
        others = self.others.get(level)
        if others is None:
            others = max(self.load.work_until(level) - _work_until(self.own_at_report, level), 0)
            self.others[level] = others
        return own + others


@dataclass(slots=True)
class _Sent:
    upstream: UpstreamName
    work: float
    level: int
    is_probe: bool


def _work_until(works: dict[int, float], level: int | None) -> float:
    total = 0.0
    for own, work in works.items():
        if level is None or own <= level:
            total += work
    return total


class Router:
    """Costs of the upstreams that one entry knows."""

    def __init__(self, zone: Zone, seed: str = '') -> None:
        """Prefer upstreams of this availability zone; the seed sets apart the choices of several entries."""
        self._zone = zone
        self._known: dict[UpstreamName, _Known] = {}
        self._attempts: dict[AttemptId, _Sent] = {}
        self._pools: dict[tuple[Capability, Zone | None], Pool] = {}
        self._prefixes = PrefixIndex()
        self._health = Health(seed)
        self._probes: set[UpstreamName] = set()
        self._salt = stable_hash(zone, seed)
        self._turn = 0
        self.candidates_seen = 0

    def update(self, candidates: Iterable[Candidate], now: float) -> None:
        """Replace the upstreams that may be chosen."""
        known = self._known
        self._known = {}
        for candidate in candidates:
            speed = candidate.slots * DEFAULT_SLOT_SPEED
            kept = known.get(candidate.name, _Known(candidate, False, 0, speed))
            kept.candidate = candidate
            kept.is_local = candidate.zone == self._zone
            kept.slots = candidate.slots
            self._known[candidate.name] = kept
        self._health.update([kept.candidate for kept in self._known.values()], now)
        self._prefixes.update(self._known)
        self._probes &= self._known.keys()
        self._pools.clear()
        for name in self._known:
            if not self._health.is_ejected(name):
                self._pool_in(name)

    def choose(
        self,
        req: RouteRequest,
        now: float,
        excluded: Collection[UpstreamName] = (),
    ) -> UpstreamName | None:
        """Return the best capable upstream that is not excluded; None if there is none."""
        self._turn += 1
        capability = req.capability
        probe = self._health.due_probe(capability, now)
        if probe is not None and probe not in excluded:
            self._probes.add(probe)
            return probe
        best: UpstreamName | None = None
        best_cost = 0.0
        chain = self._prefixes.chain(req.prefix)
        for name in self._sample(capability, chain, now, excluded):
            cost = self._cost(self._known[name], req, chain, now)
            if best is None or cost < best_cost:
                best = name
                best_cost = cost
        if best is not None:
            return best
        return self._last_resort(capability, excluded)

    def sent(self, attempt_id: AttemptId, upstream: UpstreamName, req: RouteRequest, now: float) -> None:
        """Note an attempt that was sent."""
        self._forget(attempt_id)
        self._attempts[attempt_id] = _Sent(upstream, req.work, req.level or 0, upstream in self._probes)
        self._probes.discard(upstream)
        known = self._known.get(upstream)
        if known is None:
            return
        level = req.level or 0
        known.own[level] = known.own.get(level, 0) + req.work
        known.attempts += 1
        if req.prefix:
            self._prefixes.expect(upstream, req.prefix)

    def finished(self, attempt_id: AttemptId, latency_s: float, now: float) -> None:
        """Note an attempt that ended well."""
        sent = self._forget(attempt_id)
        if sent is None:
            return
        latency = latency_s / max(sent.work, 1)
        is_ejected, is_back = self._health.note_end(sent.upstream, latency, sent.is_probe, now)
        if is_ejected:
            self._pool_out(sent.upstream)
        if is_back:
            self._pool_in(sent.upstream)

    def failed(self, attempt_id: AttemptId, now: float, refused: bool = False) -> None:
        """Note an attempt that failed; a refusal as ``not_run`` is no sign of a fault."""
        sent = self._forget(attempt_id)
        if sent is None:
            return
        known = self._known.get(sent.upstream)
        if refused:
            if known is not None:
                known.refused = now
            return
        if self._health.note_failure(sent.upstream, sent.is_probe, now):
            self._pool_out(sent.upstream)

    def report(self, upstream: UpstreamName, load: UpstreamLoad, now: float) -> None:
        """Take in a load report, which lags behind."""
        known = self._known.get(upstream)
        if known is not None:
            known.load = load
            known.speed = load.tokens_per_s or known.speed
            known.reported = now
            known.own_at_report = known.own.copy()
            known.others.clear()

    def cache_event(
        self, upstream: UpstreamName, sequence: int, prefix: tuple[int, ...], evicted: bool = False
    ) -> None:
        """Take in a cache event; a gap in the sequence makes the index uncertain."""
        self._prefixes.note(upstream, sequence, prefix, evicted)

    def cache_snapshot(
        self, upstream: UpstreamName, sequence: int, prefixes: Iterable[tuple[int, ...]]
    ) -> None:
        """Rebuild the index of one upstream from its full list of prefixes."""
        self._prefixes.rebuild(upstream, sequence, prefixes)

    def is_index_certain(self, upstream: UpstreamName) -> bool:
        """Tell whether the prefix index of an upstream has no gap."""
        return self._prefixes.is_certain(upstream)

    def is_ejected(self, upstream: UpstreamName) -> bool:
        """Tell whether an upstream gets no attempts except probes."""
        return self._health.is_ejected(upstream)

    def outstanding(self, upstream: UpstreamName) -> float:
        """Return the work in tokens that this entry has at an upstream."""
        known = self._known.get(upstream)
        return 0 if known is None else sum(known.own.values())

    def _forget(self, attempt_id: AttemptId) -> _Sent | None:
        sent = self._attempts.pop(attempt_id, None)
        known = None if sent is None else self._known.get(sent.upstream)
        if sent is None or known is None:
            return sent
        known.attempts = max(known.attempts - 1, 0)
        # Without attempts nothing is left; this also drops rounding errors.
        if known.attempts:
            known.own[sent.level] = max(known.own[sent.level] - sent.work, 0)
        else:
            known.own.clear()
        return sent

    def _sample(
        self, capability: Capability, chain: list[Pool], now: float, excluded: Collection[UpstreamName]
    ) -> list[UpstreamName]:
        # The order is that of the picks, so that ties are decided alike in every process.
        spread = mix(self._salt + self._turn)
        found = self._pick(self._pools.get((capability, self._zone)), LOCAL_CHOICES, spread, now, excluded)
        everywhere = self._pools.get((capability, None))
        found += self._pick(everywhere, REMOTE_CHOICES, spread >> _SPREAD_BITS, now, excluded)
        if chain and everywhere is not None:
            holders = islice(deepest(chain, spread), PREFIX_CHOICES)
            found += [name for name in holders if name in everywhere.positions and name not in excluded]
        found = list(dict.fromkeys(found))
        self.candidates_seen += len(found)
        return found

    def _pick(
        self, pool: Pool | None, wanted: int, spread: int, now: float, excluded: Collection[UpstreamName]
    ) -> list[UpstreamName]:
        # Takes neighbours in the pool from a spread position on. An upstream in slow start gives up some of
        # its turns; if there are only such upstreams, they are taken all the same.
        if pool is None:
            return []
        names = pool.around(spread, excluded)
        if not self._health.starting:
            return list(islice(names, wanted))
        near = list(islice(names, wanted + SAMPLE_SLACK))
        found = [name for step, name in enumerate(near) if self._is_turn(name, spread + step, now)]
        return (found or near)[:wanted]

    def _is_turn(self, name: UpstreamName, spread: int, now: float) -> bool:
        ramp = self._health.ramp(name, now)
        return ramp >= 1 or mix(spread) % _FRACTION_RANGE < ramp * _FRACTION_RANGE

    def _cost(self, known: _Known, req: RouteRequest, chain: list[Pool], now: float) -> float:
        # Expected time to the whole answer in seconds: the work ahead at the speed of all slots, and the
        # request's own at the speed of one.
        own = req.work - self._saved(known.candidate.name, req, chain) if chain else req.work
        cost = (known.outstanding(now, req.level) + own * known.slots) / known.speed
        if now - known.refused < REFUSED_TIME_S:
            cost += REFUSED_PENALTY_S
        return cost if known.is_local else cost + REMOTE_PENALTY_S

    def _saved(self, name: UpstreamName, req: RouteRequest, chain: list[Pool]) -> float:
        blocks = depth(chain, name)
        if not blocks:
            return 0
        whole = req.work * DEFAULT_PREFIX_FRACTION if req.prefix_work is None else req.prefix_work
        saved = whole * blocks / len(req.prefix)
        return saved if self._prefixes.is_certain(name) else saved * UNCERTAIN_WEIGHT

    def _last_resort(self, capability: Capability, excluded: Collection[UpstreamName]) -> UpstreamName | None:
        # An ejected upstream is better than none.
        for name in self._health.ejected(capability):
            if name not in excluded:
                return name
        return None

    def _pool_in(self, name: UpstreamName) -> None:
        candidate = self._known[name].candidate
        for capability in candidate.capabilities:
            for zone in (candidate.zone, None):
                self._pools.setdefault((capability, zone), Pool()).add(name)

    def _pool_out(self, name: UpstreamName) -> None:
        candidate = self._known[name].candidate
        for capability in candidate.capabilities:
            for zone in (candidate.zone, None):
                self._pools[(capability, zone)].discard(name)
