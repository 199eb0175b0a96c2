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
    """The planner wants the group to run these layers; taken up if this node holds the lease."""

    layers: tuple[Layer, ...]


@dataclass(frozen=True, slots=True)
class OrderWanted(Event):
    """An engine of the group is to load something or to change its role.

    Lease and token of ``order`` are filled in; without the lease the event has no effect.
    """

    order: Order
