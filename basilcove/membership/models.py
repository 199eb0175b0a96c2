"""State of the membership of upstreams."""

from dataclasses import dataclass, field

from basilcove.core.events import Peer
from basilcove.core.ids import Incarnation, NodeId, UpstreamName, Zone
from basilcove.environment.models import Environment
from basilcove.membership.events import UpstreamAnnounced
from basilcove.membership.messages import Announce, Load
from basilcove.membership.rules import Allowed


@dataclass
class LocalUpstream:
    """An upstream on the agent's host."""

    announced: UpstreamAnnounced
    allowed: Allowed
    last_seen_at: float
    leaving: bool = False


@dataclass
class AnnouncerState:
    """State of an agent: the upstreams on its host, and the links on which it announces them."""

    node: NodeId
    zone: Zone
    incarnation: Incarnation
    environment: Environment | None = None
    local: dict[UpstreamName, LocalUpstream] = field(default_factory=dict)
    # Highest incarnation accepted of each upstream; a lower one belongs to a former process.
    newest_incarnations: dict[UpstreamName, Incarnation] = field(default_factory=dict)
    # Incarnation of each upstream that was requested to leave; it stays excluded even after a timeout.
    drained_incarnations: dict[UpstreamName, Incarnation] = field(default_factory=dict)
    loads: dict[UpstreamName, Load] = field(default_factory=dict)
    peers: dict[NodeId, Peer] = field(default_factory=dict)
    # Number of each upstream's last announcement on the link to a peer.
    announced_numbers: dict[NodeId, dict[UpstreamName, int]] = field(default_factory=dict)
    is_stopping: bool = False
    # Number of the last announcement or refresh that was sent.
    last_number: int = 0
    next_refresh_at: float = 0


@dataclass
class AnnouncedUpstream:
    """An upstream that an agent announces; ``last_seen_at`` in monotonic seconds.

    ``last_number`` is the number of the last announcement or refresh that was accepted.
    """

    announce: Announce
    agent: NodeId
    zone: Zone
    credential_digest: str
    allowed: Allowed
    last_seen_at: float
    last_number: int
    load: Load | None

    @property
    def leaving(self) -> bool:
        """Tell whether the upstream gets no new work."""
        return self.announce.leaving

    def is_from(self, agent: Peer) -> bool:
        """Tell whether this process of an agent announced the upstream."""
        return (self.agent, self.announce.incarnation) == (agent.node, agent.incarnation)

    @property
    def origin(self) -> tuple[NodeId, Incarnation, Incarnation]:
        """Return the agent, its incarnation and that of the upstream, as announced."""
        return self.agent, self.announce.incarnation, self.announce.upstream_incarnation


@dataclass
class PendingDrain:
    """An operator's request that the agent has not confirmed."""

    drain_id: str
    deadline: float
    next_send_at: float


@dataclass
class MembershipState:
    """Upstreams that were announced to a node, and requests to drain them."""

    node: NodeId
    incarnation: Incarnation
    environment: Environment | None = None
    upstreams: dict[UpstreamName, AnnouncedUpstream] = field(default_factory=dict)
    # Last incarnation and announcement number of each agent that announced the upstream.
    latest_numbers: dict[UpstreamName, dict[NodeId, tuple[Incarnation, int]]] = field(default_factory=dict)
    peers: dict[NodeId, Peer] = field(default_factory=dict)
    drains: dict[UpstreamName, PendingDrain] = field(default_factory=dict)
    # Nodes that sent the requests of other nodes, by drain id; confirmations go back to them.
    routes: dict[str, NodeId] = field(default_factory=dict)
    next_sweep_at: float = 0
