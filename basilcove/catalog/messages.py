"""Messages between nodes and control hosts; fields as described in the proto file."""

from dataclasses import dataclass

from basilcove.catalog import catalog_pb2 as pb
from basilcove.core.events import Message
from basilcove.core.ids import EnvironmentName, NodeId, Revision
from basilcove.helpers.codec import message


@message('catalog.ask', pb.Ask)
@dataclass(frozen=True, slots=True)
class Ask(Message):
    """A command or read; each attempt is handled at most once by each host."""

    proposal_id: str
    origin: NodeId
    attempt: int
    read: bool
    expires: float
    kind: str
    body: bytes


@message('catalog.answer', pb.Answer)
@dataclass(frozen=True, slots=True)
class Answer(Message):
    """The outcome, or with an empty ``kind`` the final refusal of this attempt."""

    proposal_id: str
    origin: NodeId
    attempt: int
    kind: str
    body: bytes
    reason: str
    leader: NodeId


@message('catalog.trial_report', pb.TrialReport)
@dataclass(frozen=True, slots=True)
class TrialReport(Message):
    """Cumulative counts of one process for a trial revision; sent to all control hosts."""

    environment: EnvironmentName
    revision: Revision
    requests: int
    failures: int
    violations: int


@message('catalog.logged_command', pb.LoggedCommand)
@dataclass(frozen=True, slots=True)
class LoggedCommand(Message):
    """A command in the log; ``expires`` is in seconds since the epoch."""

    proposal_id: str
    expires: float
    kind: str
    body: bytes
