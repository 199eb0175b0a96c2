"""Effects and events of durable writes."""

from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.storage.models import HardState, LogEntry, Snapshot


@dataclass(frozen=True, slots=True)
class Persist(Effect):
    """Writes the hard state, if given, and entries; confirmed by ``Persisted``.

    An entry replaces the one with the same index and all after it.
    """

    ticket: int
    hard_state: HardState | None
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class PersistSnapshot(Effect):
    """Writes a snapshot and the log entries after it, and deletes everything older."""

    ticket: int
    snapshot: Snapshot
    hard_state: HardState
    tail: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Persisted(Event):
    """All writes up to this ticket are durable."""

    ticket: int


@dataclass(frozen=True, slots=True)
class StorageFailed(Event):
    """A write or sync failed; no later write is carried out before ``StorageRecovered``, if ever."""

    reason: str


@dataclass(frozen=True, slots=True)
class StorageRecovered(Event):
    """There is space again; the failed write and all later ones are carried out in order."""
