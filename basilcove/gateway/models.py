"""State of a gateway."""

from dataclasses import dataclass, field
from typing import Self

from basilcove.core.ids import InstanceId, NodeId, Revision, ServiceName, TeamName, Zone
from basilcove.environment.models import RouteKind
from basilcove.gateway.admission import Admission
from basilcove.gateway.budget import RetryBudget
from basilcove.gateway.config import GatewayConfig, RetryConfig
from basilcove.gateway.pools import Pools
from basilcove.gateway.routes import NamedRoute, RouteTable

_NO_REVISION = Revision(0)


@dataclass(slots=True)
class OpenRequest:
    """A request without its whole answer; times are monotonic seconds.

    ``sent`` counts the attempts that reached an upstream, ``tried`` names all upstreams that were chosen.
    """

    key: int
    request_id: str
    named: NamedRoute
    service: ServiceName
    team: TeamName
    level: int
    arrived_at: float
    deadline: float
    number: int = 0
    sent: int = 0
    tried: set[InstanceId] = field(default_factory=set)
    instance: InstanceId | None = None
    may_have_run: bool = False
    is_failure_held: bool = False
    has_begun: bool = False
    last_event: str = ''
    # Its attempt is being ended, and the budget is charged for the next one.
    is_moving: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Tell whether the request may run again after it may have run."""
        kind = self.named.route.kind
        return kind is RouteKind.SAFE or (kind is RouteKind.STREAM and self.named.route.is_resumable)


@dataclass(slots=True)
class Sharing:
    """Linked control hosts with their availability zones, the one that tells totals, and what it was told."""

    hosts: dict[NodeId, Zone] = field(default_factory=dict)
    host: NodeId | None = None
    told: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class GatewayState:
    """Routes, upstreams and open requests of a gateway."""

    retries: RetryConfig
    pools: Pools
    revision: Revision = _NO_REVISION
    table: RouteTable | None = None
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    budgets: dict[ServiceName, RetryBudget] = field(default_factory=dict)
    sharing: Sharing = field(default_factory=Sharing)
    admission: Admission = field(default_factory=Admission)
    # The most gateways that a control host had links to; a host behind a partition sees fewer.
    gateways: int = 0
    stopping_since: float | None = None
    is_stopped: bool = False

    @classmethod
    def from_config(cls, cfg: GatewayConfig, zone: Zone) -> Self:
        """Return the state of a process that starts."""
        return cls(cfg.retries, Pools(zone))

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the budget of repeats of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.retries)
            self.budgets[service] = budget
        return budget
