"""State of the operators' calls that a node answers from its own knowledge."""

from dataclasses import dataclass, field

from basilcove.core.ids import NodeId, Role, UpstreamName, Zone
from basilcove.rpc.events import CallId


@dataclass
class OperatorState:
    """Who the node is, and the calls that await the confirmation of a drain.

    ``leader`` is the control group's leader as far as the node knows; whoever
    learns of it sets it.
    """

    node: NodeId
    zone: Zone
    roles: tuple[Role, ...]
    leader: NodeId | None = None
    drains: dict[UpstreamName, list[CallId]] = field(default_factory=dict)
