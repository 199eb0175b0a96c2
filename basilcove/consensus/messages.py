"""Messages between control hosts; fields as described in the proto file."""

from dataclasses import dataclass

from basilcove.consensus import consensus_pb2 as pb
from basilcove.core.events import Message
from basilcove.helpers.codec import message
from basilcove.storage.models import LogEntry


@message('consensus.vote_request', pb.VoteRequest)
@dataclass(frozen=True, slots=True)
class VoteRequest(Message):
    """Asks for a vote, or with ``trial`` whether a vote would be granted.

    ``handover`` is set if the leader itself requested this election.
    """

    cluster: str
    sender: str
    term: int
    last_index: int
    last_term: int
    trial: bool
    handover: bool = False


@message('consensus.hand_over', pb.HandOver)
@dataclass(frozen=True, slots=True)
class HandOver(Message):
    """Asks a voter with the leader's complete log to take over."""

    cluster: str
    sender: str
    target: str
    term: int


@message('consensus.vote_answer', pb.VoteAnswer)
@dataclass(frozen=True, slots=True)
class VoteAnswer(Message):
    """Grants or denies a vote."""

    cluster: str
    sender: str
    term: int
    asked_term: int
    trial: bool
    granted: bool


@message('consensus.append', pb.Append)
@dataclass(frozen=True, slots=True)
class Append(Message):
    """Replicates entries; a heartbeat if there are none."""

    cluster: str
    sender: str
    target: str
    term: int
    previous_index: int
    previous_term: int
    commit: int
    round: int
    entries: tuple[LogEntry, ...]


@message('consensus.append_answer', pb.AppendAnswer)
@dataclass(frozen=True, slots=True)
class AppendAnswer(Message):
    """Acknowledges synced entries, or reports the last index at which the logs may agree."""

    cluster: str
    sender: str
    term: int
    accepted: bool
    match: int
    last_index: int
    round: int


@message('consensus.snapshot_chunk', pb.SnapshotChunk)
@dataclass(frozen=True, slots=True)
class SnapshotChunk(Message):
    """A chunk of a snapshot, from ``offset`` of ``total`` bytes."""

    cluster: str
    sender: str
    target: str
    term: int
    index: int
    index_term: int
    members: bytes
    offset: int
    total: int
    body: bytes


@message('consensus.snapshot_answer', pb.SnapshotAnswer)
@dataclass(frozen=True, slots=True)
class SnapshotAnswer(Message):
    """Reports how many bytes of a snapshot have arrived."""

    cluster: str
    sender: str
    term: int
    index: int
    received: int


@message('consensus.identify', pb.Identify)
@dataclass(frozen=True, slots=True)
class Identify(Message):
    """Asks a host for its forming stage."""

    incarnation: int


@message('consensus.identity', pb.Identity)
@dataclass(frozen=True, slots=True)
class Identity(Message):
    """Reports a host's forming stage: a value of ``FormingStage``."""

    asked_incarnation: int
    cluster: str
    stage: str


@message('consensus.join', pb.Join)
@dataclass(frozen=True, slots=True)
class Join(Message):
    """Asks the leader to make the sender a learner under a new identity."""

    cluster: str
    member: str
