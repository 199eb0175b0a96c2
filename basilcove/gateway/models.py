"""State of a gateway."""

from dataclasses import dataclass, field
from typing import Self

from basilcove.concurrency.pauses import PauseMeter
from basilcove.core.ids import NO_PART, InstanceId, NodeId, PartId, Revision, ServiceName, TeamName, Zone
from basilcove.environment.models import RouteKind
from basilcove.gateway.admission import Admission
from basilcove.gateway.budget import RetryBudget
from basilcove.gateway.config import GatewayConfig, RetryConfig
from basilcove.gateway.pools import Pools
from basilcove.gateway.quarantine import Quarantine
from basilcove.gateway.routes import NamedRoute, RouteTable
from basilcove.gateway.stopping import Stop
from basilcove.registry.messages import Registration
from basilcove.throttling.cold_state import ColdServices

_NO_REVISION = Revision(0)


@dataclass(slots=True)
class OpenRequest:
    """A request whose answer is not complete; times are monotonic seconds.

    ``number`` is that of its last attempt, ``sent`` counts the attempts that reached an upstream, and
    ``tried`` holds all upstreams that were chosen. ``instance`` is the upstream of its open attempt, and
    ``registration`` that of its last one. ``tokens`` is how many its prompt and answer have at most.
    """

    key: int
    request_id: str
    named_route: NamedRoute
    service: ServiceName
    team: TeamName
    level: int
    arrived_at: float
    deadline: float
    parts: tuple[PartId, ...] = ()
    digest: PartId = NO_PART
    tokens: int = 0
    number: int = 0
    sent: int = 0
    tried: set[InstanceId] = field(default_factory=set)
    instance: InstanceId | None = None
    registration: Registration | None = None
    may_have_run: bool = False
    has_buffered_failure: bool = False
    has_begun: bool = False
    last_event: str = ''
    # Its attempt is being ended to move the stream; the retry budget has been charged for the next attempt.
    is_moving: bool = False

    @property
    def blamable(self) -> tuple[PartId, ...]:
        """Return what may be to blame if the request crashes an upstream: parts of its prompt, or itself."""
        return self.parts if self.digest == NO_PART else (*self.parts, self.digest)

    @property
    def is_retryable(self) -> bool:
        """Return whether the request may run again at another upstream after it may have run."""
        kind = self.named_route.route.kind
        return kind is RouteKind.SAFE or (kind is RouteKind.STREAM and self.named_route.route.is_resumable)


@dataclass(slots=True)
class Sharing:
    """Exchange of open attempts with control hosts.

    ``hosts`` are the linked control hosts with their availability zones, ``host`` is the one that sends
    totals, and ``last_sent`` holds the counts, and ``last_tokens`` the tokens, last sent to all of them.
    """

    hosts: dict[NodeId, Zone] = field(default_factory=dict)
    host: NodeId | None = None
    last_sent: dict[str, int] = field(default_factory=dict)
    last_tokens: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class GatewayState:
    """Routes, upstreams and open requests of a gateway."""

    retries: RetryConfig
    pools: Pools
    stop: Stop
    revision: Revision = _NO_REVISION
    table: RouteTable | None = None
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    sharing: Sharing = field(default_factory=Sharing)
    admission: Admission = field(default_factory=Admission)
    quarantine: Quarantine = field(default_factory=Quarantine)
    cold: ColdServices = field(default_factory=ColdServices)
    pauses: PauseMeter = field(default_factory=PauseMeter)

    def count_cold(self, now: float) -> int:
        """Return how many upstreams are cold; the cost grows with the number of upstreams."""
        return sum(upstream.throttle.cold.is_cold(now) for upstream in self.pools.by_instance.values())

    @classmethod
    def from_config(cls, cfg: GatewayConfig, zone: Zone, stop_timeout_s: float) -> Self:
        """Return the state of a process that has just started."""
        return cls(cfg.retries, Pools(zone), Stop(stop_timeout_s))

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service, creating it if needed."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.retries)
            self.budgets[service] = budget
        return budget
