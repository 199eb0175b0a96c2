"""Events of the distribution of documents."""

from dataclasses import dataclass
from typing import Self

from basilcove.core.events import Event
from basilcove.core.ids import NodeId, Revision
from basilcove.zones.models import Evacuation, Evacuations


@dataclass(frozen=True, slots=True)
class ReplicaCaughtUp(Event):
    """The control replica of this node has caught up with the log of its group.

    Emitted after each start and after each ``ReplicaCutOff``, once the replica has applied all
    entries up to a commit index that a leader has confirmed since then.
    """


@dataclass(frozen=True, slots=True)
class ReplicaCutOff(Event):
    """The control replica of this node has no contact with a leader; its group may continue without it."""


@dataclass(frozen=True, slots=True)
class RevisionConfirmed(Event):
    """The leader's newest accepted revision, which a majority confirmed since this process started.

    ``evacuations_version`` is the leader's version of the evacuated zones, confirmed with it.
    """

    revision: Revision
    evacuations_version: int = 0


@dataclass(frozen=True, slots=True)
class ControlMembersChanged(Event):
    """The voters of the control group as of a log index; an older list doesn't replace a newer one."""

    index: int
    voters: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class DistributionReady(Event):
    """The node may act on its document: its revision will not decrease."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class EvacuationsChanged(Event):
    """The evacuated zones in effect, when the node becomes ready and on each later change.

    The version never decreases in a process; 0 before the first change. ``changed_at`` is the replicated time
    of the last change, in seconds since the epoch.
    """

    version: int
    zones: tuple[Evacuation, ...]
    changed_at: float = 0
    changed_by: str = ''

    @classmethod
    def from_evacuations(cls, evacuations: Evacuations) -> Self:
        """Return the event that puts these zones into effect."""
        return cls(evacuations.version, evacuations.rows, evacuations.changed_at, evacuations.changed_by)
