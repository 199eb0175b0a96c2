"""Events of the activation of expert maps."""

from dataclasses import dataclass

from basilcove.core.events import Event
from basilcove.core.ids import GroupName, NodeId, UpstreamName
from basilcove.experts.models import Layer
from basilcove.orders.messages import Order


@dataclass(frozen=True, slots=True)
class GroupAssigned(Event):
    """The group of this agent's upstream, with the agent of each of its upstreams in rank order."""

    group: GroupName
    members: tuple[tuple[UpstreamName, NodeId], ...]


@dataclass(frozen=True, slots=True)
class MapWanted(Event):
    """The planner requests this map; ignored unless this node holds the lease."""

    layers: tuple[Layer, ...]


@dataclass(frozen=True, slots=True)
class OrderWanted(Event):
    """Requests an order to an engine of the group to load something or to change its role.

    The handler fills in the order's id, lease and token; without the lease the event has no effect.
    """

    order: Order
