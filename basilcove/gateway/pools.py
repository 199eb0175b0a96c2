"""Upstreams of a service as a gateway knows them, and the choice among them."""

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from basilcove.core.ids import InstanceId, NodeId, ServiceName, Zone
from basilcove.gateway.const import (
    FAILURE_COST,
    FAILURE_HALF_LIFE_S,
    FAILURE_WEIGHT,
    LOAD_LIFETIME_S,
    REMOTE_ZONE_COST,
    SLOW_COST,
    SLOW_LIFETIME_S,
)
from basilcove.gateway.events import ReportedLoad
from basilcove.helpers.hashing import stable_fraction
from basilcove.registry.messages import Registration, Standing

_TIE_COST = 1e-3


@dataclass(slots=True)
class PooledUpstream:
    """An upstream; times are monotonic seconds.

    ``heard`` holds what each linked control host says: whether it still hears the upstream.
    ``stated_others`` is the load that other gateways had put on it when it last answered.
    """

    registration: Registration
    heard: dict[NodeId, bool] = field(default_factory=dict)
    open_attempts: int = 0
    stated_others: float = 0
    loaded_at: float = 0
    failure: float = 0
    failed_at: float = 0
    is_misdirected: bool = False
    slow_until: float = 0

    @property
    def is_silent(self) -> bool:
        """Tell whether no control host hears the upstream."""
        return bool(self.heard) and not any(self.heard.values())

    @property
    def is_ready(self) -> bool:
        """Tell whether the upstream takes new requests, as far as it says."""
        return self.registration.standing is Standing.READY and not self.is_misdirected

    def is_slow(self, now: float) -> bool:
        """Tell whether the group of the upstream waits for it, by the last word of the control leader."""
        return now < self.slow_until

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Take the load of an answer; this gateway's own attempts are counted exactly."""
        self.stated_others = max(0, load.running + load.waiting - self.open_attempts)
        self.loaded_at = now

    def note_result(self, now: float, *, failed: bool) -> None:
        """Let a result count towards the share of failures."""
        self.failure = self.failure_share(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self.failed_at = now

    def failure_share(self, now: float) -> float:
        """Return the share of failures, less the longer ago they were."""
        if not self.failure:
            return 0
        return self.failure * math.pow(0.5, (now - self.failed_at) / FAILURE_HALF_LIFE_S)

    def stated_load(self, now: float) -> float:
        """Return the load that others put on the upstream, by its last answer."""
        age = (now - self.loaded_at) / LOAD_LIFETIME_S
        return self.stated_others * max(0, 1 - age)


@dataclass(slots=True)
class Pools:
    """All upstreams that the control hosts have told of."""

    zone: Zone
    by_instance: dict[InstanceId, PooledUpstream] = field(default_factory=dict)
    by_service: dict[ServiceName, dict[InstanceId, PooledUpstream]] = field(default_factory=dict)
    # Open attempts of all other gateways by instance; None while no control host tells them.
    others: dict[str, int] | None = None

    def take(self, registration: Registration, source: NodeId, *, silent: bool) -> PooledUpstream | None:
        """Take what a control host says of an upstream; None if a newer word is known."""
        known = self.by_instance.get(registration.instance)
        if known is not None and registration.age_key < known.registration.age_key:
            return None
        if known is not None:
            self.by_service[known.registration.service].pop(registration.instance, None)
        if known is None or known.registration.born_ms != registration.born_ms:
            known = PooledUpstream(registration, known.heard if known is not None else {})
            self.by_instance[registration.instance] = known
        known.registration = registration
        known.heard[source] = not silent
        serving = self.by_service.setdefault(registration.service, {})
        if registration.standing is not Standing.GONE:
            serving[registration.instance] = known
        return known

    def forget_source(self, source: NodeId) -> None:
        """Leave out what a control host without a link said."""
        for known in self.by_instance.values():
            known.heard.pop(source, None)

    def note_slow(self, instances: Collection[InstanceId], now: float) -> list[InstanceId]:
        """Take which upstreams are slow at present; return those of which that is news."""
        news = []
        for instance, known in self.by_instance.items():
            is_slow = instance in instances
            if is_slow != known.is_slow(now):
                news.append(instance)
            known.slow_until = now + SLOW_LIFETIME_S if is_slow else 0
        return news

    def load(self, known: PooledUpstream, now: float) -> float:
        """Return the requests that an upstream is thought to have."""
        if self.others is None:
            return known.open_attempts + known.stated_load(now)
        return known.open_attempts + self.others.get(known.registration.instance, 0)

    def cost(self, known: PooledUpstream, now: float) -> float:
        """Return the cost of one more request, in parts of the upstream's slots."""
        registration = known.registration
        load = (self.load(known, now) + 1) / max(1, registration.slots)
        cost = load + FAILURE_COST * known.failure_share(now)
        if known.is_slow(now):
            cost += SLOW_COST
        return cost if registration.zone == self.zone else cost + REMOTE_ZONE_COST

    def choose(
        self, service: ServiceName, now: float, excluded: Collection[InstanceId], salt: str
    ) -> PooledUpstream | None:
        """Return the upstream with the least cost; one that is not heard only for want of others."""
        best = None
        best_cost = (True, 0.0)
        for known in self.ready(service):
            instance = known.registration.instance
            if instance in excluded:
                continue
            tie = _TIE_COST * stable_fraction(salt, instance)
            cost = (known.is_silent, self.cost(known, now) + tie)
            if best is None or cost < best_cost:
                best, best_cost = known, cost
        return best

    def ready(self, service: ServiceName) -> Iterator[PooledUpstream]:
        """Yield the upstreams that take requests of a service."""
        for known in self.by_service.get(service, {}).values():
            if known.is_ready:
                yield known
