"""Events of the distribution of documents."""

from dataclasses import dataclass

from basilcove.core.events import Event
from basilcove.core.ids import NodeId, Revision


@dataclass(frozen=True, slots=True)
class ReplicaCaughtUp(Event):
    """The control replica of this node has applied all that was committed when it last asked.

    Emitted after each start and after each ``ReplicaCutOff``, when the replica
    has applied up to a commit index that a leader confirmed since.
    """


@dataclass(frozen=True, slots=True)
class ReplicaCutOff(Event):
    """The control replica of this node hears no leader; its group may have gone on without it."""


@dataclass(frozen=True, slots=True)
class RevisionConfirmed(Event):
    """The leader stated, confirmed by a majority since this process started, the newest accepted revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class ControlMembersChanged(Event):
    """These nodes vote in the control group as of a log index; an older list replaces no newer one."""

    index: int
    voters: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class DistributionReady(Event):
    """The node may act on its document: it will not have to go back to a lower revision."""

    revision: Revision
