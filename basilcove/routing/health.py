"""Ejection of slow or failing upstreams, their return by probes, and slow start."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from basilcove.core.ids import ModelName, ServiceName, UpstreamName
from basilcove.helpers.hashing import stable_fraction
from basilcove.routing.const import (
    CONSECUTIVE_FAILURES,
    EJECTION_JITTER,
    EJECTION_TIME_S,
    ERROR_FACTOR,
    ERROR_FRACTION,
    HEALTH_GAIN,
    LATENCY_FACTOR,
    MAX_EJECTED_FRACTION,
    MAX_EJECTION_TIME_S,
    MIN_SAMPLES,
    PEER_GAIN,
    PROBE_TIMEOUT_S,
    SLOW_START_LEAST,
    SLOW_START_S,
)
from basilcove.routing.models import Candidate

Capability: TypeAlias = tuple[ModelName | None, ServiceName | None]


@dataclass(slots=True)
class _Peers:
    """What is usual among the upstreams of one capability."""

    size: int = 0
    ejected: int = 0
    samples: int = 0
    median: float = 0
    errors: float = 0

    def note_latency(self, latency: float) -> None:
        """Move the estimate of the median by a small step towards a sample."""
        self.samples += 1
        if self.samples == 1:
            self.median = latency
        step = max(PEER_GAIN, 1 / self.samples)
        self.median *= 1 + step if latency > self.median else 1 - step

    def note_error(self, is_error: bool) -> None:
        """Take in the outcome of an attempt."""
        self.errors += PEER_GAIN * (is_error - self.errors)


@dataclass(slots=True)
class _Condition:
    """Errors and latency of one upstream; latency in seconds per token of work."""

    capabilities: tuple[Capability, ...]
    samples: int = 0
    latency: float = 0
    errors: float = 0
    failures_in_row: int = 0
    ejections: int = 0
    is_ejected: bool = False
    started: float = 0

    def reset(self) -> None:
        """Forget what was measured."""
        self.samples = 0
        self.errors = 0
        self.failures_in_row = 0

    def note(self, is_error: bool) -> None:
        """Take in the outcome of an attempt."""
        self.samples += 1
        self.errors += max(HEALTH_GAIN, 1 / self.samples) * (is_error - self.errors)
        self.failures_in_row = self.failures_in_row + 1 if is_error else 0

    def note_latency(self, latency: float) -> None:
        """Take in the latency of an attempt that ended well."""
        self.latency += max(HEALTH_GAIN, 1 / self.samples) * (latency - self.latency)


class Health:
    """Condition of all upstreams; at most a bounded fraction of each capability is ejected."""

    def __init__(self, seed: str) -> None:
        """Derive jitter from this text."""
        self._seed = seed
        self._conditions: dict[UpstreamName, _Condition] = {}
        self._peers: dict[Capability, _Peers] = {}
        self.starting: set[UpstreamName] = set()
        self._due: dict[Capability, list[tuple[float, UpstreamName]]] = {}

    def update(self, candidates: Iterable[Candidate], now: float) -> list[UpstreamName]:
        """Replace the upstreams; return those that return because too many would be ejected."""
        is_first = not self._conditions
        known = self._conditions
        self._conditions = {}
        for candidate in candidates:
            condition = known.get(candidate.name)
            if condition is None:
                condition = _Condition((), started=now)
                if not is_first:
                    self.starting.add(candidate.name)
            condition.capabilities = tuple(candidate.capabilities)
            self._conditions[candidate.name] = condition
        self.starting &= self._conditions.keys()
        self._count_peers()
        returned = []
        for name, condition in self._conditions.items():
            if condition.is_ejected and any(self._exceeds(key) for key in condition.capabilities):
                self._restore(name, condition, now)
                returned.append(name)
        return returned

    def is_ejected(self, name: UpstreamName) -> bool:
        """Tell whether an upstream gets no attempts except probes."""
        condition = self._conditions.get(name)
        return condition is not None and condition.is_ejected

    def ejected(self, capability: Capability) -> list[UpstreamName]:
        """Return the ejected upstreams of a capability."""
        return [
            name for _, name in sorted(self._due.get(capability, ())) if self._is_due_valid(name, capability)
        ]

    def ramp(self, name: UpstreamName, now: float) -> float:
        """Return the part of its turns that an upstream takes, below 1 during slow start."""
        if name not in self.starting:
            return 1
        ramp = max((now - self._conditions[name].started) / SLOW_START_S, SLOW_START_LEAST)
        if ramp >= 1:
            self.starting.discard(name)
        return min(ramp, 1)

    def due_probe(self, capability: Capability, now: float) -> UpstreamName | None:
        """Return an ejected upstream whose time is over, once per probe."""
        due = self._due.get(capability)
        while due and due[0][0] <= now:
            _, name = heapq.heappop(due)
            if self._is_due_valid(name, capability):
                # If the probe is never sent or answered, another one follows.
                heapq.heappush(due, (now + PROBE_TIMEOUT_S, name))
                return name
        return None

    def note_end(self, name: UpstreamName, latency: float, is_probe: bool, now: float) -> tuple[bool, bool]:
        """Take in an attempt that ended well; return whether its upstream is now ejected or returns."""
        condition = self._conditions.get(name)
        if condition is None:
            return False, False
        if condition.is_ejected:
            if not is_probe:
                return False, False
            if self._is_slow(condition, latency):
                self._postpone(name, condition, now)
                return False, False
            self._restore(name, condition, now)
            return False, True
        condition.note(is_error=False)
        condition.note_latency(latency)
        for key in condition.capabilities:
            self._peers[key].note_error(is_error=False)
            self._peers[key].note_latency(latency)
        if condition.samples >= MIN_SAMPLES and self._is_slow(condition, condition.latency):
            return self._eject(name, condition, now), False
        return False, False

    def note_failure(self, name: UpstreamName, is_probe: bool, now: float) -> bool:
        """Take in a failed attempt; return whether the upstream is ejected by it."""
        condition = self._conditions.get(name)
        if condition is None:
            return False
        if condition.is_ejected:
            if is_probe:
                self._postpone(name, condition, now)
            return False
        condition.note(is_error=True)
        for key in condition.capabilities:
            self._peers[key].note_error(is_error=True)
        is_failing = condition.failures_in_row >= CONSECUTIVE_FAILURES
        if condition.samples >= MIN_SAMPLES and condition.errors > ERROR_FRACTION:
            usual = max((self._peers[own].errors for own in condition.capabilities), default=0)
            is_failing |= condition.errors > ERROR_FACTOR * usual
        return is_failing and self._eject(name, condition, now)

    def _is_slow(self, condition: _Condition, latency: float) -> bool:
        medians = [self._peers[key].median for key in condition.capabilities]
        usual = max(medians, default=0)
        return usual > 0 and latency > LATENCY_FACTOR * usual

    def _eject(self, name: UpstreamName, condition: _Condition, now: float) -> bool:
        affected = [self._peers[key] for key in condition.capabilities]
        if any(peers.ejected + 1 > MAX_EJECTED_FRACTION * peers.size for peers in affected):
            return False
        for peers in affected:
            peers.ejected += 1
        condition.is_ejected = True
        self._postpone(name, condition, now)
        return True

    def _postpone(self, name: UpstreamName, condition: _Condition, now: float) -> None:
        seconds = min(EJECTION_TIME_S * 2**condition.ejections, MAX_EJECTION_TIME_S)
        condition.ejections = min(condition.ejections + 1, 8)
        jitter = EJECTION_JITTER * stable_fraction(self._seed, name, condition.ejections)
        for key in condition.capabilities:
            due = [entry for entry in self._due.get(key, ()) if entry[1] != name]
            due.append((now + seconds * (1 + jitter), name))
            heapq.heapify(due)
            self._due[key] = due

    def _restore(self, name: UpstreamName, condition: _Condition, now: float) -> None:
        self.starting.add(name)
        condition.is_ejected = False
        condition.started = now
        condition.reset()
        for key in condition.capabilities:
            self._peers[key].ejected -= 1

    def _exceeds(self, key: Capability) -> bool:
        peers = self._peers[key]
        return peers.ejected > MAX_EJECTED_FRACTION * peers.size

    def _is_due_valid(self, name: UpstreamName, capability: Capability) -> bool:
        condition = self._conditions.get(name)
        return condition is not None and condition.is_ejected and capability in condition.capabilities

    def _count_peers(self) -> None:
        known = self._peers
        self._peers = {}
        for condition in self._conditions.values():
            for key in condition.capabilities:
                peers = self._peers.get(key)
                if peers is None:
                    peers = known.get(key, _Peers())
                    peers.size = 0
                    peers.ejected = 0
                    self._peers[key] = peers
                peers.size += 1
                peers.ejected += condition.is_ejected
        for gone in self._due.keys() - self._peers.keys():
            self._due.pop(gone)
