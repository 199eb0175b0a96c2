"""The upstreams that a gateway knows, by service, and the choice among them."""

import math
import random
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from basilcove.concurrency.rooms import GroupLimits, GroupRoom, GroupTotals, TotalsCache, sum_groups
from basilcove.core.ids import GroupName, InstanceId, NodeId, ServiceName, Zone
from basilcove.gateway.const import (
    ADMISSION_SAMPLE,
    ASSUMED_GATEWAYS,
    DEFAULT_RETRY_AFTER_S,
    FAILURE_COST,
    FAILURE_HALF_LIFE_S,
    FAILURE_WEIGHT,
    GATEWAYS_PER_UPSTREAM,
    LOAD_LIFETIME_S,
    MAX_HOLD_S,
    REMOTE_ZONE_COST,
    SLOW_COST,
    SLOW_LIFETIME_S,
)
from basilcove.gateway.events import ReportedLoad
from basilcove.helpers.hashing import stable_hash
from basilcove.memory.const import MAX_DRAWN_COST
from basilcove.memory.models import UpstreamMemory
from basilcove.registry.messages import Registration, RegistrationState
from basilcove.throttling.shares import Throttle


@dataclass(slots=True)
class PooledUpstream:
    """An upstream; times are monotonic seconds.

    ``liveness`` holds, for each linked control host, whether that host still receives its registrations.
    ``others_load`` is the number of requests that it had from other gateways when it last reported its
    load. ``failure_average`` is the share of failures at the time of the last result. No request is sent
    before ``held_until``, and then only one at a time until ``hold_stated_until`` or an answer.
    ``held_tokens`` are those of the open attempts of this gateway.
    """

    registration: Registration
    liveness: dict[NodeId, bool] = field(default_factory=dict)
    open_attempts: int = 0
    held_tokens: int = 0
    others_load: float = 0
    reported_at: float = 0
    failure_average: float = 0
    averaged_at: float = 0
    is_misdirected: bool = False
    slow_until: float = 0
    leaving_until: float = 0
    held_until: float = 0
    hold_stated_until: float = 0
    throttle: Throttle = field(default_factory=Throttle)

    @property
    def is_silent(self) -> bool:
        """Return whether the upstream is silent according to all control hosts that reported it."""
        return bool(self.liveness) and not any(self.liveness.values())

    @property
    def is_ready(self) -> bool:
        """Return whether the upstream accepts new requests according to its registration and answers."""
        return self.registration.standing is RegistrationState.READY and not self.is_misdirected

    def is_usable(self, now: float) -> bool:
        """Return whether the upstream is ready, doesn't leave and holds off no requests of this gateway."""
        if not self.is_ready or now < max(self.leaving_until, self.held_until):
            return False
        if (self.throttle.limit_per_s or self.throttle.cold.until) and self.throttle.wait_s(now) != 0:
            return False
        return now >= self.hold_stated_until or not self.open_attempts

    def return_s(self, now: float) -> float | None:
        """Return the time until requests may be sent to an upstream that isn't usable; None if never."""
        wait_s = self.throttle.return_s(now)
        if not self.is_ready or now < self.leaving_until or wait_s is None:
            return None
        return max(wait_s, self.held_until - now) or DEFAULT_RETRY_AFTER_S

    def hold(self, retry_after_s: float, spread: float, now: float) -> None:
        """Hold requests off for the stated time, lengthened by a fraction, up to ``MAX_HOLD_S``."""
        hold_s = retry_after_s * (1 + spread)
        self.held_until = max(self.held_until, now + min(MAX_HOLD_S, hold_s))
        self.hold_stated_until = max(self.hold_stated_until, now + hold_s)

    def is_slow(self, now: float) -> bool:
        """Return whether the control leader recently reported that the group of the upstream waits for it."""
        return now < self.slow_until

    def update_load(self, load: ReportedLoad, now: float) -> None:
        """Derive the load of other gateways from an answer; this gateway knows its own attempts exactly."""
        self.others_load = max(0, load.running + load.waiting - self.open_attempts)
        self.reported_at = now

    def record_result(self, now: float, *, failed: bool) -> None:
        """Add a result to the share of failures."""
        self.failure_average = self.failure_share(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self.averaged_at = now

    def failure_share(self, now: float) -> float:
        """Return the exponentially decayed share of failures."""
        if not self.failure_average:
            return 0
        return self.failure_average * math.pow(0.5, (now - self.averaged_at) / FAILURE_HALF_LIFE_S)

    def decayed_others_load(self, now: float) -> float:
        """Return the number of other gateways' requests, decayed since the upstream reported it."""
        age = (now - self.reported_at) / LOAD_LIFETIME_S
        return self.others_load * max(0, 1 - age)


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream for a request and its load.

    ``utilisation`` is its open requests over its slots or, if it ``is_sampled`` from all upstreams, the
    lowest such figure of a few upstreams. ``room`` is that of its group if this has a limit.
    """

    upstream: PooledUpstream
    load: float
    utilisation: float
    is_sampled: bool
    room: GroupRoom | None = None


@dataclass(slots=True)
class Pools:
    """All upstreams that the control hosts have reported."""

    zone: Zone
    by_instance: dict[InstanceId, PooledUpstream] = field(default_factory=dict)
    by_service: dict[ServiceName, dict[InstanceId, PooledUpstream]] = field(default_factory=dict)
    # The largest number of gateways linked to a control host; a host behind a partition sees fewer.
    gateways: int = 0
    # Open attempts of all other gateways by instance; None while no control host reports them.
    other_attempts: dict[str, int] | None = None
    # No request is sent to an upstream of these availability zones.
    evacuated: frozenset[Zone] = frozenset()
    limits: GroupLimits = field(default_factory=GroupLimits)
    group_totals: TotalsCache = field(default_factory=TotalsCache)
    memory: UpstreamMemory = field(default_factory=UpstreamMemory)

    def update(self, registration: Registration, source: NodeId, *, silent: bool) -> PooledUpstream | None:
        """Apply a registration from a control host; return None if the gateway has a newer one."""
        upstream = self.by_instance.get(registration.instance)
        if upstream is not None and registration.age_key < upstream.registration.age_key:
            return None
        if upstream is not None:
            self.by_service[upstream.registration.service].pop(registration.instance, None)
        if upstream is None or upstream.registration.born_ms != registration.born_ms:
            upstream = PooledUpstream(registration, upstream.liveness if upstream is not None else {})
            self.by_instance[registration.instance] = upstream
        upstream.registration = registration
        upstream.liveness[source] = not silent
        service_upstreams = self.by_service.setdefault(registration.service, {})
        if registration.standing is not RegistrationState.GONE:
            service_upstreams[registration.instance] = upstream
        self.group_totals.by_service.clear()
        return upstream

    def forget_source(self, source: NodeId) -> None:
        """Drop the liveness reports of a control host whose link is lost."""
        for upstream in self.by_instance.values():
            upstream.liveness.pop(source, None)

    def update_slow(self, instances: Collection[InstanceId], now: float) -> list[InstanceId]:
        """Set which upstreams are currently slow; return those that have changed."""
        changed = []
        for instance, upstream in self.by_instance.items():
            is_slow = instance in instances
            if is_slow != upstream.is_slow(now):
                changed.append(instance)
            upstream.slow_until = now + SLOW_LIFETIME_S if is_slow else 0
        return changed

    def apply_evacuations(self, zones: frozenset[Zone], now: float) -> frozenset[Zone]:
        """Set the evacuated zones, and return those that are restored; the cost grows with all upstreams."""
        restored = self.evacuated - zones
        self.evacuated = zones
        for upstream in self.by_instance.values():
            if upstream.registration.zone in restored:
                upstream.throttle.cold.restore(now)
        return restored

    def is_evacuated(self, service: ServiceName) -> bool:
        """Return whether only evacuations keep requests from all ready upstreams of a service."""
        ready_zones = {
            upstream.registration.zone
            for upstream in self.by_service.get(service, {}).values()
            if upstream.is_ready
        }
        return bool(ready_zones) and ready_zones <= self.evacuated

    def load(self, upstream: PooledUpstream, now: float) -> float:
        """Return the estimated number of open requests at an upstream."""
        if self.other_attempts is None:
            return upstream.open_attempts + upstream.decayed_others_load(now)
        return upstream.open_attempts + self.other_attempts.get(upstream.registration.instance, 0)

    def rooms(self, service: ServiceName, now: float) -> dict[GroupName, GroupRoom]:
        """Return the groups of a service that have a limit."""
        if not self.limits.limits:
            return {}
        return self.limits.rooms(self._totals(service, now), now)

    def _totals(self, service: ServiceName, now: float) -> dict[GroupName, GroupTotals]:
        """Return the totals of the groups of a service, computed once for each report of other gateways."""
        others = self.other_attempts
        totals = None if others is None else self.group_totals.get(service, others)
        if totals is not None:
            return totals
        upstreams = self.by_service.get(service, {}).values()
        totals = sum_groups((upstream.registration, self.load(upstream, now)) for upstream in upstreams)
        # Without reports the load of other gateways decays with time.
        if others is not None:
            self.group_totals.by_service[service] = totals
        return totals

    def begin_attempt(self, upstream: PooledUpstream, tokens: int) -> None:
        """Count an attempt at an upstream and the tokens that it holds there."""
        self._count_attempts(upstream, 1, tokens)

    def is_long(self, service: ServiceName, tokens: int) -> bool:
        """Return whether few requests with so many tokens fill the memory of an upstream of a service."""
        return service in self.memory.sizes and self.memory.is_long(service, tokens)

    def end_attempt(self, upstream: PooledUpstream, tokens: int) -> None:
        """Subtract an attempt at an upstream and its tokens."""
        self._count_attempts(upstream, -1, -tokens)

    def _count_attempts(self, upstream: PooledUpstream, attempts: int, tokens: int) -> None:
        upstream.open_attempts += attempts
        upstream.held_tokens += tokens
        registration = upstream.registration
        # An upstream that has ended is no longer part of the totals.
        if registration.instance in self.by_service.get(registration.service, {}):
            self.group_totals.adjust(registration.service, registration.group, attempts)

    def cost(self, upstream: PooledUpstream, now: float, room: GroupRoom | None = None) -> float:
        """Return the cost of one more request, as a fraction of the upstream's slots."""
        registration = upstream.registration
        load = (self.load(upstream, now) + 1) / max(1, registration.slots)
        if room is not None:
            load = room.weigh(self.load(upstream, now) + 1, registration.slots)
        cost = load + FAILURE_COST * upstream.failure_share(now)
        if upstream.is_slow(now):
            cost += SLOW_COST
        return cost if registration.zone == self.zone else cost + REMOTE_ZONE_COST

    def choose(
        self,
        service: ServiceName,
        now: float,
        excluded: Collection[InstanceId],
        salt: str,
        tokens: int = 0,
    ) -> Choice | None:
        """Choose the upstream with the lowest cost in a sample; a silent one only if there is no other.

        ``tokens`` must fit into the memory of the upstream if its service states one.

        Gateways learn of each other's requests some time after these are sent. If all of them chose the least
        loaded upstream of all, it would get the requests of all gateways at once.
        """
        candidates = self._candidates(service, now, excluded)
        states_memory = service in self.memory.sizes
        if states_memory:
            candidates = self._with_memory(service, candidates, tokens)
        if not candidates:
            return None
        size = math.ceil(len(candidates) * GATEWAYS_PER_UPSTREAM / max(1, self.gateways))
        rooms = self.rooms(service, now)
        if states_memory and self.memory.is_long(service, tokens):
            drawn = [each for each in candidates if self._is_drawn(each, now, rooms)]
            candidates, size = (drawn, 1) if drawn else (candidates, size)
        rng = random.Random(stable_hash(salt, len(excluded)))
        sample = rng.sample(candidates, min(size, len(candidates)))
        costs = [self.cost(upstream, now, rooms.get(upstream.registration.group)) for upstream in sample]
        chosen = sample[costs.index(min(costs))]
        room = rooms.get(chosen.registration.group)
        if len(sample) == len(candidates):
            return Choice(chosen, self.load(chosen, now), self.utilisation(chosen, now), False, room)
        least = min(self.utilisation(upstream, now) for upstream in sample[:ADMISSION_SAMPLE])
        return Choice(chosen, self.load(chosen, now), least, True, room)

    def _is_drawn(self, upstream: PooledUpstream, now: float, rooms: Mapping[GroupName, GroupRoom]) -> bool:
        """Return whether an upstream is one of those among which a long request is drawn."""
        if self.utilisation(upstream, now) >= 1:
            return False
        return self.cost(upstream, now, rooms.get(upstream.registration.group)) <= MAX_DRAWN_COST

    def utilisation(self, upstream: PooledUpstream, now: float) -> float:
        """Return the estimated number of open requests at an upstream over its slots."""
        return self.load(upstream, now) / max(1, upstream.registration.slots)

    def has_candidate(
        self, service: ServiceName, now: float, excluded: Collection[InstanceId], tokens: int = 0
    ) -> bool:
        """Return whether an upstream that is not excluded accepts a request with these tokens."""
        candidates = self._candidates(service, now, excluded)
        if service in self.memory.sizes:
            candidates = self._with_memory(service, candidates, tokens)
        return bool(candidates)

    def lacks_memory(
        self, service: ServiceName, now: float, excluded: Collection[InstanceId], tokens: int
    ) -> bool:
        """Return whether only their memory keeps a request from all upstreams that are not excluded."""
        if service not in self.memory.sizes:
            return False
        candidates = self._candidates(service, now, excluded)
        return bool(candidates) and not self._with_memory(service, candidates, tokens)

    def _with_memory(
        self, service: ServiceName, candidates: list[PooledUpstream], tokens: int
    ) -> list[PooledUpstream]:
        bound = self.memory.bound(service, tokens, self.gateways or ASSUMED_GATEWAYS)
        others = self.memory.others or {}
        return [
            upstream
            for upstream in candidates
            if upstream.held_tokens + others.get(upstream.registration.instance, 0) <= bound
        ]

    def _candidates(
        self, service: ServiceName, now: float, excluded: Collection[InstanceId]
    ) -> list[PooledUpstream]:
        candidates = [
            upstream
            for upstream in self.usable(service, now)
            if upstream.registration.instance not in excluded
        ]
        return [upstream for upstream in candidates if not upstream.is_silent] or candidates

    def usable(self, service: ServiceName, now: float) -> Iterator[PooledUpstream]:
        """Yield the upstreams that accept new requests of a service."""
        for upstream in self._in_service(service):
            if upstream.is_usable(now):
                yield upstream

    def _in_service(self, service: ServiceName) -> Iterator[PooledUpstream]:
        for upstream in self.by_service.get(service, {}).values():
            if upstream.registration.zone not in self.evacuated:
                yield upstream

    def held_for_s(self, service: ServiceName, now: float) -> float | None:
        """Return the time until an upstream takes requests again; None if one does now, or none ever will."""
        returns = []
        for upstream in self._in_service(service):
            if upstream.is_usable(now):
                return None
            return_s = upstream.return_s(now)
            if return_s is not None:
                returns.append(return_s)
        return min(returns, default=None)
