"""Chooses an upstream for each attempt of one entry node, from a few candidates without a scan."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from itertools import islice

from basilcove.core.ids import AttemptId, UpstreamName, Zone
from basilcove.helpers.hashing import stable_hash
from basilcove.routing.const import (
    DEFAULT_PREFIX_FRACTION,
    DEFAULT_SLOT_TOKENS_PER_S,
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
class _UpstreamState:
    """Load of one upstream as this entry node knows it; work in tokens, speed in tokens/s of all slots."""

    candidate: Candidate
    is_local: bool
    slots: float
    speed: float
    own_work: dict[int, float] = field(default_factory=dict)
    own_attempts: int = 0
    # Work of other entry nodes by level of the request: the reported work less this entry node's own.
    other_work: dict[int | None, float] = field(default_factory=dict)
    own_work_at_report: dict[int, float] = field(default_factory=dict)
    load: UpstreamLoad | None = None
    reported_at: float = 0
    refused_at: float = -REFUSED_TIME_S

    def outstanding(self, now: float, level: int | None) -> float:
        """Return the work ahead of this level: as reported, corrected for attempts sent and ended since."""
        own_work = _work_ahead(self.own_work, level) if self.own_work else 0.0
        if self.load is None or now - self.reported_at > REPORT_LIFETIME_S:
            return own_work
        other_work = self.other_work.get(level)
        if other_work is None:
            other_work = max(self.load.work_ahead(level) - _work_ahead(self.own_work_at_report, level), 0)
            self.other_work[level] = other_work
        return own_work + other_work


@dataclass(slots=True)
class _SentAttempt:
    upstream: UpstreamName
    work: float
    level: int
    is_probe: bool


def _work_ahead(works: dict[int, float], level: int | None) -> float:
    total = 0.0
    for work_level, work in works.items():
        if level is None or work_level <= level:
            total += work
    return total


class Router:
    """Chooses among the upstreams that one entry node knows, by their cost."""

    def __init__(self, zone: Zone, seed: str = '') -> None:
        """Prefer upstreams of this availability zone; the seed makes the choices of entry nodes differ."""
        self._zone = zone
        self._upstreams: dict[UpstreamName, _UpstreamState] = {}
        self._attempts: dict[AttemptId, _SentAttempt] = {}
        self._pools: dict[tuple[Capability, Zone | None], Pool] = {}
        self._prefixes = PrefixIndex()
        self._health = Health(seed)
        self._probes: set[UpstreamName] = set()
        self._salt = stable_hash(zone, seed)
        self._choice_count = 0
        self.candidates_seen = 0

    def update(self, candidates: Iterable[Candidate], now: float) -> None:
        """Replace the upstreams that may be chosen."""
        former = self._upstreams
        self._upstreams = {}
        for candidate in candidates:
            speed = candidate.slots * DEFAULT_SLOT_TOKENS_PER_S
            state = former.get(candidate.name, _UpstreamState(candidate, False, 0, speed))
            state.candidate = candidate
            state.is_local = candidate.zone == self._zone
            state.slots = candidate.slots
            self._upstreams[candidate.name] = state
        self._health.update([state.candidate for state in self._upstreams.values()], now)
        self._prefixes.update(self._upstreams)
        self._probes &= self._upstreams.keys()
        self._pools.clear()
        for name in self._upstreams:
            if not self._health.is_ejected(name):
                self._add_to_pools(name)

    def choose(
        self,
        req: RouteRequest,
        now: float,
        excluded: Collection[UpstreamName] = (),
    ) -> UpstreamName | None:
        """Return the best capable upstream that is not excluded; None if there is none."""
        self._choice_count += 1
        capability = req.capability
        probe = self._health.next_due_probe(capability, now)
        if probe is not None and probe not in excluded:
            self._probes.add(probe)
            return probe
        best: UpstreamName | None = None
        best_cost = 0.0
        chain = self._prefixes.chain(req.prefix)
        for name in self._sample(capability, chain, now, excluded):
            cost = self._cost(self._upstreams[name], req, chain, now)
            if best is None or cost < best_cost:
                best = name
                best_cost = cost
        if best is not None:
            return best
        return self._last_resort(capability, excluded)

    def record_sent(
        self, attempt_id: AttemptId, upstream: UpstreamName, req: RouteRequest, now: float
    ) -> None:
        """Record an attempt that was sent."""
        self._forget(attempt_id)
        self._attempts[attempt_id] = _SentAttempt(
            upstream, req.work, req.level or 0, upstream in self._probes
        )
        self._probes.discard(upstream)
        state = self._upstreams.get(upstream)
        if state is None:
            return
        level = req.level or 0
        state.own_work[level] = state.own_work.get(level, 0) + req.work
        state.own_attempts += 1
        if req.prefix:
            self._prefixes.expect(upstream, req.prefix)

    def record_success(self, attempt_id: AttemptId, latency_s: float, now: float) -> None:
        """Record a successful attempt; latency in seconds."""
        sent = self._forget(attempt_id)
        if sent is None:
            return
        latency = latency_s / max(sent.work, 1)
        is_ejected, is_restored = self._health.record_success(sent.upstream, latency, sent.is_probe, now)
        if is_ejected:
            self._remove_from_pools(sent.upstream)
        if is_restored:
            self._add_to_pools(sent.upstream)

    def record_failure(self, attempt_id: AttemptId, now: float, refused: bool = False) -> None:
        """Record a failed attempt; one that was ``refused`` as not run doesn't count as an error."""
        sent = self._forget(attempt_id)
        if sent is None:
            return
        state = self._upstreams.get(sent.upstream)
        if refused:
            if state is not None:
                state.refused_at = now
            return
        if self._health.record_failure(sent.upstream, sent.is_probe, now):
            self._remove_from_pools(sent.upstream)

    def apply_report(self, upstream: UpstreamName, load: UpstreamLoad, now: float) -> None:
        """Apply a load report, which lags behind the actual load."""
        state = self._upstreams.get(upstream)
        if state is not None:
            state.load = load
            state.speed = load.tokens_per_s or state.speed
            state.reported_at = now
            state.own_work_at_report = state.own_work.copy()
            state.other_work.clear()

    def cache_event(
        self, upstream: UpstreamName, sequence: int, prefix: tuple[int, ...], evicted: bool = False
    ) -> None:
        """Apply a cache event; a gap in the sequence makes the index uncertain."""
        self._prefixes.apply_event(upstream, sequence, prefix, evicted)

    def cache_snapshot(
        self, upstream: UpstreamName, sequence: int, prefixes: Iterable[tuple[int, ...]]
    ) -> None:
        """Rebuild the index of one upstream from its full list of prefixes."""
        self._prefixes.rebuild(upstream, sequence, prefixes)

    def is_index_certain(self, upstream: UpstreamName) -> bool:
        """Return whether the prefix index of an upstream has no gap."""
        return self._prefixes.is_certain(upstream)

    def is_ejected(self, upstream: UpstreamName) -> bool:
        """Return whether an upstream gets no attempts except probes."""
        return self._health.is_ejected(upstream)

    def outstanding(self, upstream: UpstreamName) -> float:
        """Return the work in tokens that this entry node has at an upstream."""
        state = self._upstreams.get(upstream)
        return 0 if state is None else sum(state.own_work.values())

    def _forget(self, attempt_id: AttemptId) -> _SentAttempt | None:
        sent = self._attempts.pop(attempt_id, None)
        state = None if sent is None else self._upstreams.get(sent.upstream)
        if sent is None or state is None:
            return sent
        state.own_attempts = max(state.own_attempts - 1, 0)
        # Without attempts no work is left; clearing also removes rounding errors.
        if state.own_attempts:
            state.own_work[sent.level] = max(state.own_work[sent.level] - sent.work, 0)
        else:
            state.own_work.clear()
        return sent

    def _sample(
        self, capability: Capability, chain: list[Pool], now: float, excluded: Collection[UpstreamName]
    ) -> list[UpstreamName]:
        # Keeps the order of the picks, so that ties are broken in the same way in every process.
        spread = mix(self._salt + self._choice_count)
        names = self._pick(self._pools.get((capability, self._zone)), LOCAL_CHOICES, spread, now, excluded)
        all_zones = self._pools.get((capability, None))
        names += self._pick(all_zones, REMOTE_CHOICES, spread >> _SPREAD_BITS, now, excluded)
        if chain and all_zones is not None:
            holders = islice(deepest(chain, spread), PREFIX_CHOICES)
            names += [name for name in holders if name in all_zones.positions and name not in excluded]
        names = list(dict.fromkeys(names))
        self.candidates_seen += len(names)
        return names

    def _pick(
        self, pool: Pool | None, count: int, spread: int, now: float, excluded: Collection[UpstreamName]
    ) -> list[UpstreamName]:
        # Picks consecutive upstreams of the pool from a pseudo-random position. An upstream in slow start
        # skips some of its turns; if all skip theirs, they are picked nevertheless.
        if pool is None:
            return []
        names = pool.around(spread, excluded)
        if not self._health.starting:
            return list(islice(names, count))
        nearby = list(islice(names, count + SAMPLE_SLACK))
        selected = [name for step, name in enumerate(nearby) if self._is_turn(name, spread + step, now)]
        return (selected or nearby)[:count]

    def _is_turn(self, name: UpstreamName, spread: int, now: float) -> bool:
        ramp = self._health.ramp(name, now)
        return ramp >= 1 or mix(spread) % _FRACTION_RANGE < ramp * _FRACTION_RANGE

    def _cost(self, state: _UpstreamState, req: RouteRequest, chain: list[Pool], now: float) -> float:
        # Expected time until the answer is complete, in seconds: the work ahead at the speed of all slots,
        # and the request's own work at the speed of one slot.
        own_work = req.work - self._saved_work(state.candidate.name, req, chain) if chain else req.work
        cost = (state.outstanding(now, req.level) + own_work * state.slots) / state.speed
        if now - state.refused_at < REFUSED_TIME_S:
            cost += REFUSED_PENALTY_S
        return cost if state.is_local else cost + REMOTE_PENALTY_S

    def _saved_work(self, name: UpstreamName, req: RouteRequest, chain: list[Pool]) -> float:
        blocks = depth(chain, name)
        if not blocks:
            return 0
        prefix_work = req.work * DEFAULT_PREFIX_FRACTION if req.prefix_work is None else req.prefix_work
        saved = prefix_work * blocks / len(req.prefix)
        return saved if self._prefixes.is_certain(name) else saved * UNCERTAIN_WEIGHT

    def _last_resort(self, capability: Capability, excluded: Collection[UpstreamName]) -> UpstreamName | None:
        # An ejected upstream is better than none.
        for name in self._health.ejected(capability):
            if name not in excluded:
                return name
        return None

    def _add_to_pools(self, name: UpstreamName) -> None:
        candidate = self._upstreams[name].candidate
        for capability in candidate.capabilities:
            for zone in (candidate.zone, None):
                self._pools.setdefault((capability, zone), Pool()).add(name)

    def _remove_from_pools(self, name: UpstreamName) -> None:
        candidate = self._upstreams[name].candidate
        for capability in candidate.capabilities:
            for zone in (candidate.zone, None):
                self._pools[(capability, zone)].discard(name)
