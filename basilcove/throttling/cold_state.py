"""Whether an upstream is cold, as one gateway knows it.

Guards against requests to an upstream that has just started or become cold again before this gateway can
know that, and against a fleet that counts as cold because a gateway has just started.
"""

import enum
from dataclasses import dataclass, field

from basilcove.core.ids import NodeId, ServiceName
from basilcove.environment.models import Environment
from basilcove.throttling.const import START_WINDOW_S


class ColdSource(enum.Enum):
    """Why an upstream counts as cold."""

    STATED = 'stated'
    FIRST_SEEN = 'first_seen'
    RESTARTED = 'restarted'
    RESTORED = 'restored'
    # A gateway without control hosts lost a connection to it, so it may have started anew.
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Requests a second that a cold upstream takes from all gateways, and for how long it is cold."""

    limit_per_s: float
    time_s: float


@dataclass(frozen=True, slots=True)
class Statement:
    """What a registration says: the time for which its upstream is still cold, and its age key."""

    age_key: tuple[int, int]
    cold_s: float


@dataclass(slots=True)
class ColdState:
    """What is known of one start of an upstream; times are monotonic seconds.

    ``until`` is when the upstream becomes warm, 0 if it is warm or its service has no limit.
    """

    limit: ColdLimit | None = None
    until: float = 0
    source: ColdSource = ColdSource.STATED
    age_key: tuple[int, int] | None = None
    stated_until: float = 0
    # Since when it may be cold although it stated nothing; None once it has stated that it is warm.
    unsure_since: float | None = None
    unsure_source: ColdSource = ColdSource.FIRST_SEEN
    restored_at: float = 0
    is_restored: bool = False
    # Until when the control hosts have been told that it is cold; 0 if it is logged as warm.
    told_until: float = 0

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream counts as cold."""
        return now < self.until

    def expire(self, now: float) -> None:
        """Note that the cold time is over, so that the upstream costs no further checks."""
        if now >= self.until:
            self.until = 0

    def update_limit(self, limit: ColdLimit | None) -> None:
        """Apply the setting of the service; None if its upstreams are never cold."""
        self.limit = limit
        self._update_until()

    def apply_statement(self, statement: Statement, unsure: ColdSource | None, now: float) -> None:
        """Apply a registration; ``unsure`` is why the first one doesn't prove that the upstream is warm."""
        if self.age_key is not None and statement.age_key <= self.age_key:
            return
        is_first = self.age_key is None
        self.age_key = statement.age_key
        self.stated_until = now + statement.cold_s if statement.cold_s > 0 else 0
        if statement.cold_s <= 0:
            self.unsure_since = now if is_first and unsure is not None else None
            self.unsure_source = unsure or self.unsure_source
            self.is_restored = False
        self._update_until()

    def assume_cold(self, now: float) -> None:
        """Count the upstream as cold, as it may have started anew without this gateway being told."""
        self.unsure_since, self.unsure_source = now, ColdSource.LOST
        self._update_until()

    def restore(self, now: float) -> None:
        """Count the upstream as cold from the restoration of its zone until it states that it is warm."""
        self.restored_at, self.is_restored = now, True
        self._update_until()

    def _update_until(self) -> None:
        if self.limit is None:
            self.until = 0
            return
        ends = {ColdSource.STATED: self.stated_until}
        if self.unsure_since is not None:
            ends[self.unsure_source] = self.unsure_since + self.limit.time_s
        if self.is_restored:
            ends[ColdSource.RESTORED] = self.restored_at + self.limit.time_s
        self.source = max(ends, key=lambda source: ends[source])
        self.until = ends[self.source]


@dataclass(slots=True)
class StartDetector:
    """The control hosts from which this process has heard; tells a system that starts from one in service."""

    hosts: set[NodeId] = field(default_factory=set)
    begun_at: float | None = None

    def is_start(self, host: NodeId, now: float) -> bool:
        """Return whether a message is the first of a host, or this process has just begun to hear of any."""
        if self.begun_at is None:
            self.begun_at = now
        is_first = host not in self.hosts
        self.hosts.add(host)
        return is_first or now - self.begun_at < START_WINDOW_S


@dataclass(slots=True)
class ColdServices:
    """What a gateway knows of cold upstreams as a whole; ``asked_at`` is when it last asked for leases."""

    limits: dict[ServiceName, ColdLimit] = field(default_factory=dict)
    start_detector: StartDetector = field(default_factory=StartDetector)
    asked_at: float = 0


def read_limits(environment: Environment) -> dict[ServiceName, ColdLimit]:
    """Return the services of a document whose upstreams may be cold."""
    return {
        name: ColdLimit(service.cold_limit_per_s, service.cold_time_s)
        for name, service in environment.services.items()
        if service.cold_limit_per_s and service.cold_time_s
    }
