"""One process of a test's cluster, and a recorder of the events that its subsystems emit."""

from collections.abc import Callable
from dataclasses import dataclass, field

from basilcove.catalog.control import ControlState
from basilcove.catalog.events import ProposalFailed, Proposed, QueryAnswered, QueryFailed
from basilcove.catalog.models import CatalogState
from basilcove.consensus.events import EntriesCommitted, SnapshotInstalled
from basilcove.consensus.models import ConsensusState
from basilcove.core.events import Effect, Event
from basilcove.core.ids import Incarnation, NodeId
from basilcove.core.reducer import Context, Node, handles
from tests.storage.fake_disk import FakeDisk


@dataclass
class EventRecorder:
    """Records the events that the subsystems of one process emit."""

    on_event: Callable[[Event], None]


def _record(state: EventRecorder, event: Event, ctx: Context) -> list[Effect]:
    state.on_event(event)
    return []


handles(EntriesCommitted, EventRecorder)(_record)
handles(SnapshotInstalled, EventRecorder)(_record)
handles(Proposed, EventRecorder)(_record)
handles(ProposalFailed, EventRecorder)(_record)
handles(QueryAnswered, EventRecorder)(_record)
handles(QueryFailed, EventRecorder)(_record)


@dataclass
class Host:
    """One process start; while it is frozen, its events queue in ``inbox``."""

    name: NodeId
    incarnation: Incarnation
    node: Node
    disk: FakeDisk
    is_frozen: bool = False
    inbox: list[Event] = field(default_factory=list)

    @property
    def consensus(self) -> ConsensusState:
        return self.node.part(ConsensusState)

    @property
    def catalog(self) -> CatalogState:
        return self.node.part(ControlState).catalog

    @property
    def is_leader(self) -> bool:
        return self.consensus.is_leader
