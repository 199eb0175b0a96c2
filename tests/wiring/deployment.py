"""A control group and an entry, with the states that decide when the entry may use its document."""

from basilcove.catalog.client import ClientState
from basilcove.catalog.commands import AdmitHost, ApplyDocument, RemoveHost
from basilcove.catalog.outcomes import DocumentApplied, MembersChanged
from basilcove.core.events import PeerFound
from basilcove.core.ids import Incarnation, NodeId, RequestId, Revision, Role, Stage, Zone
from basilcove.core.reducer import Node
from basilcove.distribution import coordinator as _distribution  # noqa: F401
from basilcove.distribution import pulling as _pulling  # noqa: F401
from basilcove.distribution.config import DistributionConfig
from basilcove.distribution.models import DistributionState
from basilcove.wiring.confirmation import Confirmation
from basilcove.wiring.documents import CatchUp
from tests.consensus.cluster import CLIENT, Cluster
from tests.consensus.hosts import EventRecorder, Host
from tests.consensus.oracle import ENVIRONMENT, document
from tests.storage.fake_disk import FakeDisk


class Deployment(Cluster):
    """A control group that distributes documents, and an entry whose settings name its first members."""

    def parts(self, name: NodeId) -> tuple[object, ...]:
        """Return the states of a control host that distributes documents."""
        confirmation = Confirmation(name, Incarnation(next(self._incarnations)))
        return ClientState(name), self._documents(name, Role.CONTROL), CatchUp(name), confirmation

    def start(self, name: NodeId) -> Host:
        """Start a control host and link it to the entry."""
        host = super().start(name)
        self.link(name)
        return host

    def link(self, *names: NodeId) -> None:
        """Set up links between the entry and control hosts."""
        for name in names:
            self.cut.discard(frozenset((CLIENT, name)))
            self.apply(self.client, PeerFound(self._peer(name)))
            self.apply(self.hosts[name], PeerFound(self._peer(CLIENT)))

    def restart_entry(self, *reached: NodeId) -> DistributionState:
        """Restart the entry with links to these control hosts only."""
        documents = self._documents(CLIENT, Role.ENTRY)
        incarnation = Incarnation(next(self._incarnations))
        node = Node(ClientState(CLIENT), documents, Confirmation(CLIENT, incarnation))
        node.add(EventRecorder(self._on_client_event))
        self.client = Host(CLIENT, incarnation, node, FakeDisk())
        self.cut |= {frozenset((CLIENT, name)) for name in self.hosts}
        self.link(*reached)
        return documents

    def accept(self, revision: int) -> None:
        """Apply the document of a revision and check that it is accepted."""
        command = self.build_command(revision)
        assert self.ask(f'apply-{revision}', command) == DocumentApplied(Revision(revision))

    def build_command(self, revision: int) -> ApplyDocument:
        """Return the command for the document of a revision."""
        request_id = RequestId(f'request-{revision}')
        return ApplyDocument(ENVIRONMENT, Stage.TRIAL, Revision(revision - 1), document(revision), request_id)

    def replace(self, former: NodeId, spare: NodeId) -> None:
        """Replace a control host by another one; the former one keeps running."""
        self.add_host(spare)
        assert self.ask(f'admit {spare}', AdmitHost(spare, RequestId(f'admit {spare}'))) == MembersChanged()
        self.run_until(lambda: spare in self.voters())
        assert (
            self.ask(f'remove {former}', RemoveHost(former, RequestId(f'remove {former}')))
            == MembersChanged()
        )
        self.run_until(lambda: former not in self.voters())

    def voters(self) -> set[NodeId]:
        """Return the voters in the state of the leader."""
        return {member.node for member in self.elect().consensus.members.members if member.voter}

    def _documents(self, name: NodeId, role: Role) -> DistributionState:
        cfg = DistributionConfig(environment=ENVIRONMENT, stage=Stage.TRIAL, control_nodes=self.bootstrap)
        return DistributionState.from_config(cfg, name, Zone('zone'), (role,))
