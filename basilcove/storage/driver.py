"""Storage thread, which groups durable writes under one sync."""

import queue
import threading
from collections.abc import Callable, Iterator

from basilcove.core.events import Event
from basilcove.core.runtime import carries_out
from basilcove.storage.const import DISK_FULL_RETRY_INTERVAL_S, MAX_GROUP_ENTRIES
from basilcove.storage.events import Persist, Persisted, PersistSnapshot, StorageFailed, StorageRecovered
from basilcove.storage.exceptions import StorageFailedError, StorageFullError
from basilcove.storage.journal import Journal
from basilcove.storage.models import Batch, LogEntry

Write = Persist | PersistSnapshot


class StorageDriver:
    """Carries out durable writes in order; any failure but a full disk ends all writing."""

    def __init__(self, journal: Journal, post: Callable[[Event], object]) -> None:
        """Write to an open journal; ``post`` must be safe from any thread."""
        self._journal = journal
        self._post = post
        self._writes: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='storage', daemon=True)

    def setup(self) -> None:
        """Start the thread."""
        self._thread.start()

    def unload(self) -> None:
        """Carry out the queued writes, stop the thread and close the journal."""
        self._is_stopping.set()
        self._writes.put(None)
        self._thread.join()
        self._journal.close()

    def submit(self, write: Write) -> None:
        """Queue a write."""
        self._writes.put(write)

    def _run(self) -> None:
        while True:
            pending = self._take_queued()
            writes = [write for write in pending if write is not None]
            if not self._write_groups(writes) or pending[-1] is None:
                return

    def _take_queued(self) -> list[Write | None]:
        pending = [self._writes.get()]
        while pending[-1] is not None and len(pending) < MAX_GROUP_ENTRIES:
            try:
                pending.append(self._writes.get_nowait())
            except queue.Empty:
                break
        return pending

    def _write_groups(self, writes: list[Write]) -> bool:
        """Write the groups in order; return whether later writes may follow."""
        for group in group_writes(writes):
            try:
                ticket = self._write_when_possible(group)
            except StorageFailedError as exc:
                self._post(StorageFailed(str(exc)))
                return False
            if ticket is None:
                return False
            self._post(Persisted(ticket))
        return True

    def _write_when_possible(self, group: list[Persist] | PersistSnapshot) -> int | None:
        """Return the last ticket written; None if the driver stops while the disk is full."""
        is_full = False
        while True:
            try:
                ticket = self._write(group)
            except StorageFullError as exc:
                if not is_full:
                    self._post(StorageFailed(str(exc)))
                is_full = True
                if self._is_stopping.wait(DISK_FULL_RETRY_INTERVAL_S):
                    return None
                continue
            if is_full:
                self._post(StorageRecovered())
            return ticket

    def _write(self, group: list[Persist] | PersistSnapshot) -> int:
        if isinstance(group, PersistSnapshot):
            self._journal.save(group.snapshot, group.hard_state, group.tail)
            return group.ticket
        self._journal.append(merge_writes(group))
        return group[-1].ticket


def group_writes(writes: list[Write]) -> Iterator[list[Persist] | PersistSnapshot]:
    """Yield runs of writes that share a sync, and snapshots, in order."""
    group: list[Persist] = []
    for write in writes:
        if isinstance(write, Persist):
            group.append(write)
            continue
        if group:
            yield group
            group = []
        yield write
    if group:
        yield group


def merge_writes(group: list[Persist]) -> Batch:
    """Return one batch with the newest hard state and all entries in order."""
    hard_state = None
    entries: list[LogEntry] = []
    for write in group:
        hard_state = write.hard_state or hard_state
        entries.extend(write.entries)
    return Batch(hard_state, None, tuple(entries))


@carries_out(Persist, StorageDriver)
def _persist(driver: StorageDriver, effect: Persist) -> None:
    driver.submit(effect)


@carries_out(PersistSnapshot, StorageDriver)
def _persist_snapshot(driver: StorageDriver, effect: PersistSnapshot) -> None:
    driver.submit(effect)
