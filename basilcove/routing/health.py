"""Ejection of slow or failing upstreams, their restoration by probes, and slow start."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from basilcove.core.ids import ModelName, ServiceName, UpstreamName
from basilcove.helpers.hashing import stable_fraction
from basilcove.routing.const import (
    EJECTION_JITTER_FRACTION,
    EJECTION_TIME_S,
    ERROR_FACTOR,
    ERROR_FRACTION,
    FAILURES_TO_EJECT,
    LATENCY_FACTOR,
    MAX_EJECTED_FRACTION,
    MAX_EJECTION_TIME_S,
    MIN_SAMPLES,
    MIN_SLOW_START_FRACTION,
    PEER_GAIN,
    PROBE_TIMEOUT_S,
    SLOW_START_S,
    UPSTREAM_GAIN,
)
from basilcove.routing.models import Candidate

Capability: TypeAlias = tuple[ModelName | None, ServiceName | None]


@dataclass(slots=True)
class _PeerStats:
    """Statistics of the upstreams of one capability; median latency in seconds per token of work."""

    size: int = 0
    ejected: int = 0
    samples: int = 0
    median: float = 0
    error_rate: float = 0

    def record_latency(self, latency: float) -> None:
        """Move the estimated median by a small step towards a sample."""
        self.samples += 1
        if self.samples == 1:
            self.median = latency
        step = max(PEER_GAIN, 1 / self.samples)
        self.median *= 1 + step if latency > self.median else 1 - step

    def record_error(self, is_error: bool) -> None:
        """Add the outcome of an attempt to the error rate."""
        self.error_rate += PEER_GAIN * (is_error - self.error_rate)


@dataclass(slots=True)
class _UpstreamHealth:
    """Error rate and latency of one upstream; latency in seconds per token of work."""

    capabilities: tuple[Capability, ...]
    samples: int = 0
    latency: float = 0
    error_rate: float = 0
    consecutive_failures: int = 0
    ejections: int = 0
    is_ejected: bool = False
    started_at: float = 0

    def reset(self) -> None:
        """Reset the error rate and the counters."""
        self.samples = 0
        self.error_rate = 0
        self.consecutive_failures = 0

    def record_outcome(self, is_error: bool) -> None:
        """Add the outcome of an attempt to the error rate."""
        self.samples += 1
        self.error_rate += max(UPSTREAM_GAIN, 1 / self.samples) * (is_error - self.error_rate)
        self.consecutive_failures = self.consecutive_failures + 1 if is_error else 0

    def record_latency(self, latency: float) -> None:
        """Add the latency of a successful attempt to the moving average."""
        self.latency += max(UPSTREAM_GAIN, 1 / self.samples) * (latency - self.latency)


class Health:
    """Health of all upstreams; the ejected fraction of the upstreams of a capability is bounded."""

    def __init__(self, seed: str) -> None:
        """Derive the jitter of ejections from the seed."""
        self._seed = seed
        self._upstreams: dict[UpstreamName, _UpstreamHealth] = {}
        self._peers: dict[Capability, _PeerStats] = {}
        self.starting: set[UpstreamName] = set()
        self._probe_times: dict[Capability, list[tuple[float, UpstreamName]]] = {}

    def update(self, candidates: Iterable[Candidate], now: float) -> list[UpstreamName]:
        """Replace the upstreams; return those restored because too many would be ejected."""
        is_first = not self._upstreams
        former = self._upstreams
        self._upstreams = {}
        for candidate in candidates:
            health = former.get(candidate.name)
            if health is None:
                health = _UpstreamHealth((), started_at=now)
                if not is_first:
                    self.starting.add(candidate.name)
            health.capabilities = tuple(candidate.capabilities)
            self._upstreams[candidate.name] = health
        self.starting &= self._upstreams.keys()
        self._update_peer_stats()
        restored = []
        for name, health in self._upstreams.items():
            if health.is_ejected and any(self._has_too_many_ejected(key) for key in health.capabilities):
                self._restore(name, health, now)
                restored.append(name)
        return restored

    def is_ejected(self, name: UpstreamName) -> bool:
        """Return whether an upstream gets no attempts except probes."""
        health = self._upstreams.get(name)
        return health is not None and health.is_ejected

    def ejected(self, capability: Capability) -> list[UpstreamName]:
        """Return the ejected upstreams of a capability, by the time of their next probe."""
        return [
            name
            for _, name in sorted(self._probe_times.get(capability, ()))
            if self._needs_probe(name, capability)
        ]

    def ramp(self, name: UpstreamName, now: float) -> float:
        """Return the fraction of its turns that an upstream takes; below 1 during slow start."""
        if name not in self.starting:
            return 1
        ramp = max((now - self._upstreams[name].started_at) / SLOW_START_S, MIN_SLOW_START_FRACTION)
        if ramp >= 1:
            self.starting.discard(name)
        return min(ramp, 1)

    def next_due_probe(self, capability: Capability, now: float) -> UpstreamName | None:
        """Return an ejected upstream whose next probe is due, and schedule another one."""
        probes = self._probe_times.get(capability)
        while probes and probes[0][0] <= now:
            _, name = heapq.heappop(probes)
            if self._needs_probe(name, capability):
                # The next probe is due after the timeout, in case this one is never sent or answered.
                heapq.heappush(probes, (now + PROBE_TIMEOUT_S, name))
                return name
        return None

    def record_success(
        self, name: UpstreamName, latency: float, is_probe: bool, now: float
    ) -> tuple[bool, bool]:
        """Record a successful attempt; return whether its upstream is ejected, and whether it is restored."""
        health = self._upstreams.get(name)
        if health is None:
            return False, False
        if health.is_ejected:
            if not is_probe:
                return False, False
            if self._is_slow(health, latency):
                self._schedule_probe(name, health, now)
                return False, False
            self._restore(name, health, now)
            return False, True
        health.record_outcome(is_error=False)
        health.record_latency(latency)
        for key in health.capabilities:
            self._peers[key].record_error(is_error=False)
            self._peers[key].record_latency(latency)
        if health.samples >= MIN_SAMPLES and self._is_slow(health, health.latency):
            return self._eject(name, health, now), False
        return False, False

    def record_failure(self, name: UpstreamName, is_probe: bool, now: float) -> bool:
        """Record a failed attempt; return whether its upstream is ejected."""
        health = self._upstreams.get(name)
        if health is None:
            return False
        if health.is_ejected:
            if is_probe:
                self._schedule_probe(name, health, now)
            return False
        health.record_outcome(is_error=True)
        for key in health.capabilities:
            self._peers[key].record_error(is_error=True)
        is_failing = health.consecutive_failures >= FAILURES_TO_EJECT
        if health.samples >= MIN_SAMPLES and health.error_rate > ERROR_FRACTION:
            baseline = max((self._peers[own].error_rate for own in health.capabilities), default=0)
            is_failing |= health.error_rate > ERROR_FACTOR * baseline
        return is_failing and self._eject(name, health, now)

    def _is_slow(self, health: _UpstreamHealth, latency: float) -> bool:
        medians = [self._peers[key].median for key in health.capabilities]
        baseline = max(medians, default=0)
        return baseline > 0 and latency > LATENCY_FACTOR * baseline

    def _eject(self, name: UpstreamName, health: _UpstreamHealth, now: float) -> bool:
        peer_stats = [self._peers[key] for key in health.capabilities]
        if any(peers.ejected + 1 > MAX_EJECTED_FRACTION * peers.size for peers in peer_stats):
            return False
        for peers in peer_stats:
            peers.ejected += 1
        health.is_ejected = True
        self._schedule_probe(name, health, now)
        return True

    def _schedule_probe(self, name: UpstreamName, health: _UpstreamHealth, now: float) -> None:
        ejection_s = min(EJECTION_TIME_S * 2**health.ejections, MAX_EJECTION_TIME_S)
        health.ejections = min(health.ejections + 1, 8)
        jitter = EJECTION_JITTER_FRACTION * stable_fraction(self._seed, name, health.ejections)
        for key in health.capabilities:
            probes = [entry for entry in self._probe_times.get(key, ()) if entry[1] != name]
            probes.append((now + ejection_s * (1 + jitter), name))
            heapq.heapify(probes)
            self._probe_times[key] = probes

    def _restore(self, name: UpstreamName, health: _UpstreamHealth, now: float) -> None:
        self.starting.add(name)
        health.is_ejected = False
        health.started_at = now
        health.reset()
        for key in health.capabilities:
            self._peers[key].ejected -= 1

    def _has_too_many_ejected(self, key: Capability) -> bool:
        peers = self._peers[key]
        return peers.ejected > MAX_EJECTED_FRACTION * peers.size

    def _needs_probe(self, name: UpstreamName, capability: Capability) -> bool:
        health = self._upstreams.get(name)
        return health is not None and health.is_ejected and capability in health.capabilities

    def _update_peer_stats(self) -> None:
        former = self._peers
        self._peers = {}
        for health in self._upstreams.values():
            for key in health.capabilities:
                peers = self._peers.get(key)
                if peers is None:
                    peers = former.get(key, _PeerStats())
                    peers.size = 0
                    peers.ejected = 0
                    self._peers[key] = peers
                peers.size += 1
                peers.ejected += health.is_ejected
        for removed in self._probe_times.keys() - self._peers.keys():
            self._probe_times.pop(removed)
