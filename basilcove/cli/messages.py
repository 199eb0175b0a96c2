"""Requests of the operators' tool and the replies of nodes."""

from dataclasses import dataclass, field

from basilcove.cli import cli_pb2 as pb
from basilcove.core.events import Message
from basilcove.core.ids import EnvironmentName, NodeId, RequestId, Revision, Role, Stage, UpstreamName, Zone
from basilcove.helpers.codec import message
from basilcove.zones.models import Evacuations


@message('cli.apply_request', pb.ApplyRequest)
@dataclass(frozen=True, slots=True)
class ApplyRequest(Message):
    """Make a document, in canonical JSON, the stage's newest."""

    environment: EnvironmentName
    stage: Stage
    document: str
    expected_revision: Revision
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Reply(Message):
    """Fields of every reply.

    ``unavailable`` means that this node could not get an answer, so the request
    may be retried at another one; ``accepted`` is false then.
    """

    accepted: bool
    revision: Revision = Revision(0)
    reasons: tuple[str, ...] = ()
    unavailable: bool = False


@message('cli.apply_reply', pb.ApplyReply)
@dataclass(frozen=True, slots=True)
class ApplyReply(Reply):
    """``revision`` is that of the accepted document, or the current one."""


@message('cli.promote_request', pb.PromoteRequest)
@dataclass(frozen=True, slots=True)
class PromoteRequest(Message):
    """Copy the trial document of this revision to production."""

    environment: EnvironmentName
    expected_revision: Revision
    request_id: RequestId


@message('cli.promote_reply', pb.PromoteReply)
@dataclass(frozen=True, slots=True)
class PromoteReply(Reply):
    """``revision`` is that of the production document; ``reasons`` name the evidence that trial lacks."""


@message('cli.show_request', pb.ShowRequest)
@dataclass(frozen=True, slots=True)
class ShowRequest(Message):
    """Return the newest document."""

    environment: EnvironmentName
    stage: Stage


@message('cli.show_reply', pb.ShowReply)
@dataclass(frozen=True, slots=True)
class ShowReply(Reply):
    """The document in canonical JSON."""

    document: str = ''


@message('cli.status_request', pb.StatusRequest)
@dataclass(frozen=True, slots=True)
class StatusRequest(Message):
    """Return the status of the node itself."""


@message('cli.status_reply', pb.StatusReply)
@dataclass(frozen=True, slots=True)
class StatusReply(Reply):
    """``revision`` is in effect at the node; ``leader`` is empty if it knows none.

    ``voters`` and ``learners`` are those in the state of a control host; other nodes send none.
    """

    node: NodeId = NodeId('')
    roles: tuple[Role, ...] = ()
    zone: Zone = Zone('')
    version: str = ''
    environment: EnvironmentName = EnvironmentName('')
    stage: Stage = Stage.PRODUCTION
    ready: bool = False
    leader: NodeId = NodeId('')
    control_nodes: tuple[NodeId, ...] = ()
    peers: tuple[NodeId, ...] = ()
    voters: tuple[NodeId, ...] = ()
    learners: tuple[NodeId, ...] = ()


@message('cli.upstreams_request', pb.UpstreamsRequest)
@dataclass(frozen=True, slots=True)
class UpstreamsRequest(Message):
    """Return the upstreams in the state of the node."""


@dataclass(frozen=True, slots=True)
class UpstreamRow:
    """One upstream; ``state`` is serving, leaving or absent; work in tokens."""

    name: UpstreamName
    state: str
    zone: Zone
    agent: NodeId
    serves: tuple[str, ...]
    slots: int
    queued_work: float
    running: int
    tokens_per_s: float


@message('cli.upstreams_reply', pb.UpstreamsReply)
@dataclass(frozen=True, slots=True)
class UpstreamsReply(Reply):
    """All upstreams of the document, including absent ones."""

    upstreams: tuple[UpstreamRow, ...] = ()


@message('cli.host_request', pb.HostRequest)
@dataclass(frozen=True, slots=True)
class HostRequest(Message):
    """Admit a control host as a learner, which becomes a voter automatically, or remove one."""

    node: NodeId
    admit: bool
    request_id: RequestId


@message('cli.host_reply', pb.HostReply)
@dataclass(frozen=True, slots=True)
class HostReply(Reply):
    """Accepted once the change of the control group is committed."""


@message('cli.drain_request', pb.DrainRequest)
@dataclass(frozen=True, slots=True)
class DrainRequest(Message):
    """Let an upstream finish its running work, and send it no new work."""

    upstream: UpstreamName
    request_id: RequestId


@message('cli.drain_reply', pb.DrainReply)
@dataclass(frozen=True, slots=True)
class DrainReply(Reply):
    """Accepted once the upstream's agent has confirmed."""


@message('cli.zone_request', pb.ZoneRequest)
@dataclass(frozen=True, slots=True)
class ZoneRequest(Message):
    """Evacuate an availability zone, or restore it."""

    zone: Zone
    evacuate: bool
    requester: str
    request_id: RequestId


@message('cli.zone_reply', pb.ZoneReply)
@dataclass(frozen=True, slots=True)
class ZoneReply(Reply):
    """Accepted once the change is committed, as ``version`` of the evacuated zones."""

    version: int = 0


@message('cli.zones_request', pb.ZonesRequest)
@dataclass(frozen=True, slots=True)
class ZonesRequest(Message):
    """Return the evacuated zones."""


@message('cli.zones_reply', pb.ZonesReply)
@dataclass(frozen=True, slots=True)
class ZonesReply(Reply):
    """The evacuated zones, as a majority of the control group confirmed them."""

    evacuations: Evacuations = field(default_factory=Evacuations)
