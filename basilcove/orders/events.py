"""Events and effects of orders."""

from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.core.ids import GroupName, NodeId, UpstreamName
from basilcove.orders.messages import EngineStatus, Order


@dataclass(frozen=True, slots=True)
class EngineAssigned(Event):
    """The engine on this host, its group and whether the engine checks fencing tokens."""

    upstream: UpstreamName
    group: GroupName
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class EngineAnswered(Event):
    """The engine accepted the order, or refused it for ``reason``, which is empty otherwise."""

    order_id: str
    reason: str
    status: EngineStatus


@dataclass(frozen=True, slots=True)
class EngineFailed(Event):
    """The engine did not answer; unless ``sent``, the order was not sent and can not take effect."""

    order_id: str
    reason: str
    sent: bool


@dataclass(frozen=True, slots=True)
class SendOrder(Effect):
    """Sends an order unless the lease has ended, at ``lease_until`` on the monotonic clock."""

    node: NodeId
    order: Order
    lease_until: float


@dataclass(frozen=True, slots=True)
class CallEngine(Effect):
    """Passes an order to the engine on this host, unless ``not_after`` has passed."""

    order: Order
    not_after: float
