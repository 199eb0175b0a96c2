"""Events of the distribution of documents."""

from dataclasses import dataclass

from basilcove.core.events import Event
from basilcove.core.ids import NodeId, Revision


@dataclass(frozen=True, slots=True)
class ReplicaCaughtUp(Event):
    """The control replica of this node has applied all that it knows to be committed.

    Emitted once after each start, when the replica has heard the commit index
    of a leader elected since.
    """


@dataclass(frozen=True, slots=True)
class ControlMembersChanged(Event):
    """The control group consists of other nodes than before."""

    members: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class DistributionReady(Event):
    """The node may act on its document: it will not have to go back to a lower revision."""

    revision: Revision
