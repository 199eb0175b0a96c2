"""State of the operators' calls that a node answers from its own state."""

from dataclasses import dataclass, field

from basilcove.core.ids import NodeId, Role, UpstreamName, Zone
from basilcove.rpc.events import CallId


@dataclass
class OperatorState:
    """Identity of the node, and the calls that wait for the confirmation of a drain.

    ``leader`` is the leader of the control group, or None if it isn't known; the
    code that learns of a leader sets it.
    """

    node: NodeId
    zone: Zone
    roles: tuple[Role, ...]
    leader: NodeId | None = None
    drains: dict[UpstreamName, list[CallId]] = field(default_factory=dict)
