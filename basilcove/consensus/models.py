"""State of a member of the control group."""

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import Self

from basilcove.consensus import consensus_pb2 as pb
from basilcove.consensus.const import KEPT_ENTRIES, OUT_OF_TOUCH_AFTER_S, SNAPSHOT_AFTER_ENTRIES
from basilcove.consensus.log import Log
from basilcove.core.events import Message
from basilcove.core.ids import Incarnation, NodeId
from basilcove.helpers import codec
from basilcove.helpers.hashing import stable_hash
from basilcove.storage.models import EntryKind, HardState, LogEntry, Recovered, Snapshot

NEVER = float('-inf')


class Standing(enum.Enum):
    """What a member currently does."""

    UNFORMED = 'unformed'
    FOLLOWER = 'follower'
    TRIAL_CANDIDATE = 'trial_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    FAILED = 'failed'


class FormingStage(enum.Enum):
    """What a host's disk holds of the first start of the cluster."""

    EMPTY = 'empty'
    PREPARED = 'prepared'
    FORMED = 'formed'


@dataclass(frozen=True, slots=True)
class Member:
    """One identity of a control host; ``member`` is empty until the host joined."""

    node: NodeId
    member: str
    voter: bool


@dataclass(frozen=True, slots=True)
class Members:
    """The control group; a node occurs once.

    ``request_id`` and ``request_digest`` identify the operator's request that
    led to this group; the replicated state answers a resend by them.
    """

    members: tuple[Member, ...] = ()
    request_id: str = ''
    request_digest: int = 0

    def voters(self) -> tuple[str, ...]:
        """Return the identities that count towards a majority."""
        return tuple(member.member for member in self.members if member.voter)

    def find(self, node: NodeId) -> Member | None:
        """Return the member on a node."""
        for member in self.members:
            if member.node == node:
                return member
        return None

    def replaced(self, node: NodeId, member: Member | None) -> 'Members':
        """Return the group with the member on a node replaced, added or (None) removed."""
        others = [other for other in self.members if other.node != node]
        if member is not None:
            others.append(member)
        return Members(tuple(sorted(others, key=_node_of)))

    def encode(self) -> bytes:
        """Return the protobuf bytes."""
        return codec.to_proto(self, pb.Members).SerializeToString(deterministic=True)

    @classmethod
    def decode(cls, body: bytes) -> Self:
        """Return the group of these protobuf bytes."""
        return codec.from_proto(cls, pb.Members.FromString(body))


def _node_of(member: Member) -> str:
    return member.node


@dataclass(slots=True)
class Progress:
    """What a leader knows of another member."""

    node: NodeId
    next_index: int
    match: int = 0
    inflight: deque[int] = field(default_factory=deque)
    probing: bool = True
    heard_at: float = NEVER
    round: int = 0
    sent_at: float = NEVER
    progressed_at: float = NEVER
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


@dataclass(slots=True)
class Incoming:
    """A snapshot that arrives in chunks."""

    index: int
    index_term: int
    body: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class PendingWrite:
    """A write that is not confirmed yet and the last entry that it holds."""

    ticket: int
    last_index: int


@dataclass(frozen=True, slots=True)
class HeldMessage:
    """A message that promises something and waits for the sync."""

    ticket: int
    node: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a majority confirmed the leader in ``round``."""

    token: str
    round: int
    index: int


@dataclass(slots=True)
class Durability:
    """Writes under way and what is known to be synced."""

    ticket: int = 0
    confirmed: int = 0
    hard_ticket: int = 0
    synced_index: int = 0
    pending: deque[PendingWrite] = field(default_factory=deque)
    held: deque[HeldMessage] = field(default_factory=deque)


@dataclass(slots=True)
class Forming:
    """Progress of a host without a cluster: answers of the first members, by node."""

    answers: dict[NodeId, FormingStage] = field(default_factory=dict)
    cluster: str = ''
    asked_at: float = NEVER


@dataclass(slots=True)
class Leading:
    """What only a leader keeps."""

    progress: dict[str, Progress] = field(default_factory=dict)
    round: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    heartbeat_at: float = NEVER
    elected_at: float = 0
    first_index: int = 0


@dataclass(slots=True)
class ConsensusState:
    """State of one member; ``commit`` entries are applied as soon as they are committed.

    Entries up to ``matched`` are known to equal those of the current leader.
    ``failure`` says why the storage failed.
    """

    node: NodeId
    incarnation: Incarnation
    bootstrap: tuple[NodeId, ...]
    standing: Standing = Standing.UNFORMED
    cluster: str = ''
    member: str = ''
    term: int = 0
    vote: str = ''
    log: Log = field(default_factory=Log)
    commit: int = 0
    matched: int = 0
    snapshot_after: int = SNAPSHOT_AFTER_ENTRIES
    kept_entries: int = KEPT_ENTRIES
    admits_unknown: bool = False
    history: list[tuple[int, Members]] = field(default_factory=list)
    snapshot: Snapshot | None = None
    snapshot_wanted: bool = False
    log_bytes: int = 0
    leader: str = ''
    heard_leader_at: float = NEVER
    campaign_at: float | None = None
    campaigns: int = 0
    votes: set[str] = field(default_factory=set)
    incoming: Incoming | None = None
    durability: Durability = field(default_factory=Durability)
    forming: Forming = field(default_factory=Forming)
    leading: Leading = field(default_factory=Leading)
    peers: dict[NodeId, None] = field(default_factory=dict)
    is_stopping: bool = False
    failure: str = ''

    @classmethod
    def from_recovered(
        cls,
        node: NodeId,
        incarnation: Incarnation,
        bootstrap: tuple[NodeId, ...],
        recovered: Recovered,
    ) -> Self:
        """Return the state of a process that starts with what its disk holds."""
        state = cls(node, incarnation, bootstrap)
        hard = recovered.hard_state
        if hard is None:
            return state
        state.cluster, state.member = hard.cluster, hard.member
        state.term, state.vote = hard.term, hard.vote
        if state.cluster:
            state.standing = Standing.FOLLOWER
        if recovered.snapshot is not None:
            state.restore(recovered.snapshot)
        state.log.extend(recovered.entries)
        state.durability.synced_index = state.log.last_index
        for entry in recovered.entries:
            state.note_entry(entry)
        return state

    @property
    def members(self) -> Members:
        """The group in effect: that of the newest entry in the log."""
        return self.history[-1][1] if self.history else Members()

    @property
    def is_leader(self) -> bool:
        """Tell whether this member leads, as far as it knows."""
        return self.standing is Standing.LEADER

    @property
    def leader_node(self) -> NodeId | None:
        """The node of the leader of the current term, if known."""
        return node_of(self.leader) if self.leader else None

    @property
    def hard_state(self) -> HardState:
        """What must be durable before this member promises anything."""
        return HardState(self.cluster, self.member, self.term, self.vote)

    def note_entry(self, entry: LogEntry) -> None:
        """Take account of an entry that was added to the log."""
        self.log_bytes += len(entry.body)
        if entry.kind is EntryKind.MEMBERS:
            self.history.append((entry.index, Members.decode(entry.body)))

    def truncate(self, first: int) -> None:
        """Drop uncommitted entries that another leader replaces."""
        self.log.truncate(first)
        while self.history and self.history[-1][0] >= first:
            self.history.pop()
        self.durability.synced_index = min(self.durability.synced_index, first - 1)
        for write in self.durability.pending:
            write.last_index = min(write.last_index, first - 1)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot."""
        self.snapshot = snapshot
        self.log = Log(snapshot.index, snapshot.term)
        self.log_bytes = 0
        self.commit = snapshot.index
        self.history = [(snapshot.index, Members.decode(snapshot.members))]

    def committed_members(self) -> tuple[int, Members]:
        """Return the newest group known to be committed, and a log index at which it was in effect."""
        committed = [found for found in self.history if found[0] <= self.commit]
        return committed[-1] if committed else (0, Members())

    def follows_leader(self, now: float) -> bool:
        """Tell whether this member leads, or heard a leader of its group lately."""
        return self.is_leader or now - self.heard_leader_at < OUT_OF_TOUCH_AFTER_S

    def members_at(self, index: int) -> Members:
        """Return the group in effect at an entry that the log or snapshot covers."""
        found = Members()
        for position, members in self.history:
            if position > index:
                break
            found = members
        return found


def node_of(member: str) -> NodeId:
    """Return the node of an identity."""
    return NodeId(member.rpartition(':')[0])


def identity(node: NodeId, number: int) -> str:
    """Return the identity of a node's disk; first members have number 0."""
    return f'{node}:{number}'


def cluster_of(bootstrap: tuple[NodeId, ...]) -> str:
    """Return the id of the cluster with these first members."""
    return f'{stable_hash(*sorted(bootstrap)):016x}'
