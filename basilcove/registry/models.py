"""State of the registry on a control host."""

from dataclasses import dataclass, field, replace

from basilcove.core.ids import InstanceId, NodeId, ServiceName
from basilcove.registry.const import COLD_TOLERANCE_S, DEPARTURE_TIMEOUT_S, MAX_INSTANCES, MAX_SEQUENCE
from basilcove.registry.messages import Departure, Registration, RegistrationState


@dataclass(slots=True)
class Row:
    """A registration and when it was last renewed, in monotonic seconds.

    ``received_at`` is when its remaining cold time was stated. ``is_confirmed`` tells whether a later
    registration of the same start than the first one has stated that the upstream is warm.
    """

    registration: Registration
    renewed_at: float
    is_silent: bool = False
    received_at: float = 0
    is_confirmed: bool = False

    def cold_s(self, now: float) -> float:
        """Return the time for which the upstream is still cold."""
        stated_s = self.registration.cold_s
        return max(0, stated_s - (now - self.received_at)) if stated_s else 0

    def current(self, now: float) -> Registration:
        """Return the registration with the time for which the upstream is still cold."""
        return (
            replace(self.registration, cold_s=self.cold_s(now))
            if self.registration.cold_s
            else self.registration
        )

    def is_warmth_changed(self, latest: Registration, now: float) -> bool:
        """Return whether a later registration of the same start makes the upstream cold or proves it warm."""
        left_s = self.cold_s(now)
        if latest.cold_s:
            return not left_s or latest.cold_s > left_s + COLD_TOLERANCE_S
        return left_s > 0 or not self.is_confirmed


@dataclass(slots=True)
class Unconfirmed:
    """When an upstream said that it ends, in monotonic seconds, and the other hosts that know of it."""

    told_at: float
    hosts: set[NodeId] = field(default_factory=set)


@dataclass(slots=True)
class RegistryState:
    """Registered upstreams, and the instances of which linked nodes have not been notified yet.

    Control hosts are notified of each call (``renewed``), gateways only of changes (``changed``).
    """

    rows: dict[InstanceId, Row] = field(default_factory=dict)
    # The newest start at each address; an older one can no longer have the address.
    addresses: dict[str, Registration] = field(default_factory=dict)
    hosts: set[NodeId] = field(default_factory=set)
    gateways: set[NodeId] = field(default_factory=set)
    renewed: dict[InstanceId, None] = field(default_factory=dict)
    changed: dict[InstanceId, None] = field(default_factory=dict)
    ticked_at: float | None = None
    # Services whose upstreams may be cold; gateways are told when one of these turns cold or warm.
    cold_services: frozenset[ServiceName] = frozenset()
    # Departures that this host must not acknowledge yet.
    unconfirmed: dict[Departure, Unconfirmed] = field(default_factory=dict)

    def drop_unconfirmed(self, now: float) -> None:
        """Forget departures that were not confirmed in time; their callers have been refused."""
        for departure, unconfirmed in tuple(self.unconfirmed.items()):
            if now - unconfirmed.told_at > DEPARTURE_TIMEOUT_S:
                del self.unconfirmed[departure]

    def merge(self, registration: Registration, now: float) -> bool:
        """Store a registration if none is newer and the table has room; return whether it was stored."""
        row = self.rows.get(registration.instance)
        if row is not None and registration.age_key <= row.registration.age_key:
            return False
        if row is None and len(self.rows) >= MAX_INSTANCES:
            return False
        at_address = self.addresses.get(registration.address)
        if at_address is not None and self._is_superseded(registration, at_address):
            return False
        self.addresses[registration.address] = registration
        if row is None or row.is_silent or self._is_changed(row, registration, now):
            self.changed[registration.instance] = None
        is_later = row is not None and row.registration.born_ms == registration.born_ms
        is_confirmed = row is not None and is_later and (row.is_confirmed or not registration.cold_s)
        self.rows[registration.instance] = Row(registration, now, received_at=now, is_confirmed=is_confirmed)
        return True

    def _is_changed(self, row: Row, latest: Registration, now: float) -> bool:
        if is_changed(row.registration, latest):
            return True
        return latest.service in self.cold_services and row.is_warmth_changed(latest, now)

    def departure_of(self, instance: InstanceId) -> Registration | None:
        """Return the registration that marks an instance as gone; None if the instance is unknown."""
        row = self.rows.get(instance)
        if row is None:
            return None
        last = replace(row.registration, standing=RegistrationState.GONE)
        return (
            last
            if row.registration.standing is RegistrationState.GONE
            else replace(last, sequence=MAX_SEQUENCE)
        )

    def _is_superseded(self, registration: Registration, at_address: Registration) -> bool:
        """Return whether a later start has the address; if not, mark the former holder as silent."""
        if at_address.instance == registration.instance:
            return False
        if at_address.born_ms > registration.born_ms:
            return True
        former = self.rows.get(at_address.instance)
        if former is not None and former.registration.address == registration.address:
            self._mark_silent(former)
        return False

    def _mark_silent(self, row: Row) -> None:
        # Another process has the address, so this one has ended without a departure.
        if row.registration.standing is RegistrationState.GONE:
            return
        row.is_silent = True
        self.changed[row.registration.instance] = None


def is_changed(former: Registration, latest: Registration) -> bool:
    """Return whether a gateway would act differently on the later registration."""
    return _comparable_part(former) != _comparable_part(latest)


def _comparable_part(registration: Registration) -> Registration:
    return replace(registration, sequence=0, cold_s=0)
