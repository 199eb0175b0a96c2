"""Rebuilds the log from the batches of a journal."""

from basilcove.storage.exceptions import StorageDamagedError
from basilcove.storage.models import Batch, HardState, LogEntry, LogStart, Recovered, Snapshot


class Replay:
    """Applies batches in the order in which they were written."""

    def __init__(self) -> None:
        """Begin with an empty log."""
        self._hard_state: HardState | None = None
        self._start = LogStart(0, 0)
        self._entries: list[LogEntry] = []

    def add(self, batch: Batch) -> None:
        """Apply one batch; StorageDamagedError if it leaves a gap in the log."""
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
        if batch.start is not None:
            self._start = batch.start
            self._entries.clear()
        for entry in batch.entries:
            position = entry.index - self._start.index - 1
            if not 0 <= position <= len(self._entries):
                raise StorageDamagedError(f'entry {entry.index} does not continue the log')
            del self._entries[position:]
            self._entries.append(entry)

    def to_batch(self) -> Batch:
        """Return one batch that replaces all that were applied."""
        return Batch(self._hard_state, self._start, tuple(self._entries))

    def finish(self, snapshot: Snapshot | None) -> Recovered:
        """Return the durable state.

        Entries after the snapshot are kept only if the log has the snapshot's
        last entry; otherwise they belong to a log that the snapshot replaced.
        """
        if snapshot is None:
            if self._start.index:
                raise StorageDamagedError(f'the snapshot at entry {self._start.index} is missing')
            return Recovered(self._hard_state, None, tuple(self._entries))
        if snapshot.index < self._start.index:
            raise StorageDamagedError(f'the snapshot at entry {self._start.index} is missing')
        position = snapshot.index - self._start.index
        tail: tuple[LogEntry, ...] = ()
        if self._term_at(position) == snapshot.term:
            tail = tuple(self._entries[position:])
        return Recovered(self._hard_state, snapshot, tail)

    def find_missing_start(self, recovered: Recovered) -> Batch | None:
        """Return the batch with which the log after a snapshot begins, if a crash lost it; otherwise None.

        It must be written before any later entry, which would otherwise continue the log that the snapshot
        replaced.
        """
        snapshot = recovered.snapshot
        if snapshot is None or snapshot.index == self._start.index:
            return None
        return Batch(recovered.hard_state, LogStart(snapshot.index, snapshot.term), recovered.entries)

    def _term_at(self, position: int) -> int | None:
        if position == 0:
            return self._start.term
        if position > len(self._entries):
            return None
        return self._entries[position - 1].term
