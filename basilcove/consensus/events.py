"""Events between the replicated log and the state machine that it drives."""

from dataclasses import dataclass

from basilcove.core.events import Event
from basilcove.core.ids import NodeId
from basilcove.storage.models import LogEntry


@dataclass(frozen=True, slots=True)
class ProposeEntry(Event):
    """Asks this node, as the leader, to append a command."""

    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ChangeMembers(Event):
    """Asks this node, as the leader, to admit or remove a control host at an operator's request."""

    token: str
    node: NodeId
    admit: bool
    request_id: str
    request_digest: int


@dataclass(frozen=True, slots=True)
class EntryAppended(Event):
    """The leader appended the entry proposed under the token; it is not committed yet."""

    token: str
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class EntryRefused(Event):
    """Nothing was appended for the token; ``leader`` is the leader if known.

    With ``is_final`` the reason lies in the committed group, not in the state of this leader.
    """

    token: str
    reason: str
    leader: NodeId | None
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class EntriesCommitted(Event):
    """These entries are committed, in order and without a gap."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class LeadershipLost(Event):
    """This node is no longer the leader; entries that it appended may or may not be committed."""


@dataclass(frozen=True, slots=True)
class SnapshotNeeded(Event):
    """Asks for the state after the entry at ``index``, the newest committed one."""

    index: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken(Event):
    """Answers ``SnapshotNeeded``."""

    index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SnapshotInstalled(Event):
    """The state is replaced by that of a snapshot."""

    index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HandOverRequested(Event):
    """Asks this node, as the leader, to hand leadership over to another voter."""


@dataclass(frozen=True, slots=True)
class ReadIndex(Event):
    """Asks for a linearizable read: ``ReadReady`` follows once the state reflects every earlier answer."""

    token: str


@dataclass(frozen=True, slots=True)
class ReadReady(Event):
    """The applied state may be read for the token."""

    token: str


@dataclass(frozen=True, slots=True)
class ReadRefused(Event):
    """This node can't confirm a read; ``leader`` is the leader if known."""

    token: str
    leader: NodeId | None


@dataclass(frozen=True, slots=True)
class ReplicaDamaged(Event):
    """A handler failed, so the state in memory may differ from that of other replicas until a restart."""

    reason: str
