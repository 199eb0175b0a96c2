"""State of a member of the control group."""

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import Self

from basilcove.consensus import consensus_pb2 as pb
from basilcove.consensus.const import (
    FAULT_TOLERANCE,
    KEPT_ENTRIES,
    LEADER_CONTACT_TIMEOUT_S,
    SNAPSHOT_AFTER_ENTRIES,
)
from basilcove.consensus.log import Log
from basilcove.core.events import Message
from basilcove.core.ids import Incarnation, NodeId
from basilcove.helpers import codec
from basilcove.helpers.hashing import stable_hash
from basilcove.storage.models import EntryKind, HardState, LogEntry, Recovered, Snapshot

NEVER = float('-inf')


class MemberState(enum.Enum):
    """State of a member in the protocol; ``FAILED`` after a storage failure."""

    UNFORMED = 'unformed'
    FOLLOWER = 'follower'
    TRIAL_CANDIDATE = 'trial_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    FAILED = 'failed'


class FormingStage(enum.Enum):
    """Stage of a host in forming the cluster, as recorded on its disk."""

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
    led to this group; the replicated state uses them to answer a resend.
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

    def replace_member(self, node: NodeId, member: Member | None) -> 'Members':
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
        """Return the group encoded in these protobuf bytes."""
        return codec.from_proto(cls, pb.Members.FromString(body))


def _node_of(member: Member) -> str:
    return member.node


@dataclass(slots=True)
class Progress:
    """Replication progress of another member, as known to the leader."""

    node: NodeId
    next_index: int
    match: int = 0
    inflight: deque[int] = field(default_factory=deque)
    is_probing: bool = True
    contact_at: float = NEVER
    round: int = 0
    sent_at: float = NEVER
    progressed_at: float = NEVER
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    index: int
    index_term: int
    body: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class PendingWrite:
    """A write that is not confirmed yet, and the index of the last entry in it."""

    ticket: int
    last_index: int


@dataclass(frozen=True, slots=True)
class DeferredMessage:
    """A message that is sent once the write with its ticket is synced."""

    ticket: int
    node: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a majority has confirmed the leader in ``round``."""

    token: str
    round: int
    index: int


@dataclass(slots=True)
class Durability:
    """Writes in flight and the last synced ticket and index."""

    ticket: int = 0
    confirmed_ticket: int = 0
    hard_state_ticket: int = 0
    synced_index: int = 0
    pending: deque[PendingWrite] = field(default_factory=deque)
    deferred: deque[DeferredMessage] = field(default_factory=deque)


@dataclass(slots=True)
class Forming:
    """Forming progress of a host without a cluster: the stages that others answered, by node."""

    answers: dict[NodeId, FormingStage] = field(default_factory=dict)
    cluster: str = ''
    asked_at: float = NEVER


@dataclass(slots=True)
class LeaderState:
    """State that only a leader has; ``first_index`` is the first entry of its term."""

    progress: dict[str, Progress] = field(default_factory=dict)
    round: int = 0
    reads: list[PendingRead] = field(default_factory=list)
    heartbeat_at: float = NEVER
    elected_at: float = 0
    first_index: int = 0


@dataclass(slots=True)
class ConsensusState:
    """State of one member; entries up to ``commit`` are committed and applied.

    Entries up to ``verified_index`` are known to equal those of the current leader.
    ``history`` lists the groups in the log with their indexes, oldest first.
    ``failure`` is the reason of a storage failure.
    """

    node: NodeId
    incarnation: Incarnation
    bootstrap: tuple[NodeId, ...]
    member_state: MemberState = MemberState.UNFORMED
    cluster: str = ''
    member: str = ''
    term: int = 0
    vote: str = ''
    log: Log = field(default_factory=Log)
    commit: int = 0
    verified_index: int = 0
    snapshot_after: int = SNAPSHOT_AFTER_ENTRIES
    kept_entries: int = KEPT_ENTRIES
    admits_unknown: bool = False
    fault_tolerance: int = FAULT_TOLERANCE
    history: list[tuple[int, Members]] = field(default_factory=list)
    snapshot: Snapshot | None = None
    is_snapshot_pending: bool = False
    log_bytes: int = 0
    leader: str = ''
    leader_contact_at: float = NEVER
    campaign_at: float | None = None
    campaigns: int = 0
    votes: set[str] = field(default_factory=set)
    incoming_snapshot: IncomingSnapshot | None = None
    durability: Durability = field(default_factory=Durability)
    forming: Forming = field(default_factory=Forming)
    leader_state: LeaderState = field(default_factory=LeaderState)
    ticked_at: float = NEVER
    peers: dict[NodeId, None] = field(default_factory=dict)
    is_stopping: bool = False
    failure: str = ''
    # A handler failed; unlike a full disk this lasts until a restart.
    is_damaged: bool = False

    @classmethod
    def from_recovered(
        cls,
        node: NodeId,
        incarnation: Incarnation,
        bootstrap: tuple[NodeId, ...],
        recovered: Recovered,
    ) -> Self:
        """Return the state of a process that starts with the recovered data of its disk."""
        state = cls(node, incarnation, bootstrap)
        hard = recovered.hard_state
        if hard is None:
            return state
        state.cluster, state.member = hard.cluster, hard.member
        state.term, state.vote = hard.term, hard.vote
        if state.cluster:
            state.member_state = MemberState.FOLLOWER
        if recovered.snapshot is not None:
            state.restore(recovered.snapshot)
        state.log.extend(recovered.entries)
        state.durability.synced_index = state.log.last_index
        for entry in recovered.entries:
            state.track_entry(entry)
        return state

    @property
    def members(self) -> Members:
        """The group in effect: that of the newest entry in the log."""
        return self.history[-1][1] if self.history else Members()

    @property
    def is_leader(self) -> bool:
        """Tell whether this member regards itself as the leader."""
        return self.member_state is MemberState.LEADER

    @property
    def leader_node(self) -> NodeId | None:
        """The node of the leader of the current term, if known."""
        return node_of(self.leader) if self.leader else None

    @property
    def hard_state(self) -> HardState:
        """Cluster, identity, term and vote; durable before a message that relies on them is sent."""
        return HardState(self.cluster, self.member, self.term, self.vote)

    def track_entry(self, entry: LogEntry) -> None:
        """Update the log size and the history of groups for an entry added to the log."""
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
        """Replace the log with a snapshot."""
        self.snapshot = snapshot
        self.log = Log(snapshot.index, snapshot.term)
        self.log_bytes = 0
        self.commit = snapshot.index
        self.history = [(snapshot.index, Members.decode(snapshot.members))]

    def committed_members(self) -> tuple[int, Members]:
        """Return the newest group known to be committed, and a log index at which it was in effect."""
        committed = [change for change in self.history if change[0] <= self.commit]
        return committed[-1] if committed else (0, Members())

    def has_leader_contact(self, now: float) -> bool:
        """Tell whether this member leads, or has had a message from the leader recently."""
        return self.is_leader or now - self.leader_contact_at < LEADER_CONTACT_TIMEOUT_S

    def members_at(self, index: int) -> Members:
        """Return the group in effect at an entry that the log or snapshot covers."""
        in_effect = Members()
        for position, members in self.history:
            if position > index:
                break
            in_effect = members
        return in_effect


def node_of(member: str) -> NodeId:
    """Return the node of an identity."""
    return NodeId(member.rpartition(':')[0])


def make_identity(node: NodeId, number: int) -> str:
    """Return the identity of a node's disk; first members have number 0."""
    return f'{node}:{number}'


def make_cluster_id(bootstrap: tuple[NodeId, ...]) -> str:
    """Return the id of the cluster with these first members."""
    return f'{stable_hash(*sorted(bootstrap)):016x}'
