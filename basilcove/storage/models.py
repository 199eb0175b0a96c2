"""Records of the durable state."""

import enum
from dataclasses import dataclass


class EntryKind(enum.Enum):
    """Meaning of a log entry's body."""

    COMMAND = 0
    MEMBERS = 1
    EMPTY = 2


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log; ``time`` is the leader's, in seconds since the epoch."""

    index: int
    term: int
    time: float
    kind: EntryKind
    body: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    """Identity, term and vote; recorded before a member sends a message that relies on them.

    ``cluster`` is empty until the cluster is formed, ``vote`` until one is granted in the term.
    """

    cluster: str
    member: str
    term: int
    vote: str


@dataclass(frozen=True, slots=True)
class LogStart:
    """Index and term of the entry after which the log begins."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Everything that one sync makes durable."""

    hard_state: HardState | None
    start: LogStart | None
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State after the entry at ``index``, with the members in effect there."""

    index: int
    term: int
    members: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class Recovered:
    """Durable state that a restarted process recovers from its disk."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
