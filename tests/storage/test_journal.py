import contextlib
import errno
import itertools
import os
import threading
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilcove.core.events import Event
from basilcove.storage.driver import StorageDriver
from basilcove.storage.events import Persist, Persisted, PersistSnapshot, StorageFailed, StorageRecovered
from basilcove.storage.exceptions import (
    StorageDamagedError,
    StorageError,
    StorageFailedError,
    StorageFullError,
)
from basilcove.storage.journal import Journal
from basilcove.storage.models import Batch, EntryKind, HardState, LogEntry, LogStart, Recovered, Snapshot
from basilcove.storage.replay import Replay
from tests.harness.processes import wait_for

HARD = HardState('cluster', 'host-1:0', 3, 'host-2:0')


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index, term, index / 2, EntryKind.COMMAND, b'body' * index)


def batch(*entries: LogEntry, hard: HardState | None = None) -> Batch:
    return Batch(hard, None, entries)


def reopen(folder: Path) -> Recovered:
    journal = Journal(folder)
    try:
        return journal.open()
    finally:
        journal.close()


def write_three(folder: Path) -> Path:
    journal = Journal(folder)
    journal.open()
    for index in (1, 2, 3):
        journal.append(batch(entry(index), hard=HARD))
    journal.close()
    return next(folder.glob('*.journal'))


class TestRecovery:
    @given(cut=st.integers(1, 80), fill=st.sampled_from([b'', b'\0', b'\xff']))
    @settings(derandomize=True, max_examples=40, deadline=None)
    def test_torn_tail_is_truncated(
        self, tmp_path_factory: pytest.TempPathFactory, cut: int, fill: bytes
    ) -> None:
        """Guards against a replica that can't start after a crash in the middle of a write."""
        folder = tmp_path_factory.mktemp('data')
        path = write_three(folder)
        content = path.read_bytes()
        cut = min(cut, len(content) // 4)
        path.write_bytes(content[:-cut] + fill * cut)
        assert reopen(folder) == Recovered(HARD, None, (entry(1), entry(2)))
        journal = Journal(folder)
        journal.open()
        journal.append(batch(entry(3, term=2)))
        journal.close()
        assert reopen(folder).entries[-1] == entry(3, term=2)

    @given(position=st.integers(0, 120), mask=st.integers(1, 255))
    @settings(derandomize=True, max_examples=60, deadline=None)
    def test_damage_in_the_middle_is_refused(
        self, tmp_path_factory: pytest.TempPathFactory, position: int, mask: int
    ) -> None:
        """Guards against a replica that drops acknowledged entries behind a damaged one."""
        folder = tmp_path_factory.mktemp('data')
        path = write_three(folder)
        content = bytearray(path.read_bytes())
        content[position % (len(content) // 2)] ^= mask
        path.write_bytes(content)
        with pytest.raises(StorageDamagedError):
            reopen(folder)

    def test_missing_snapshot_and_missing_record_are_refused(self, tmp_path: Path) -> None:
        """Guards against a start with only some of the acknowledged entries."""
        journal = Journal(tmp_path)
        journal.open()
        journal.append(batch(entry(1)))
        journal.save(Snapshot(1, 1, b'members', b'state'), HARD, (entry(2),))
        journal.close()
        assert reopen(tmp_path) == Recovered(HARD, Snapshot(1, 1, b'members', b'state'), (entry(2),))
        next(tmp_path.glob('*.snapshot')).unlink()
        with pytest.raises(StorageDamagedError):
            reopen(tmp_path)

    def test_crash_between_snapshot_and_segment(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against recovering entries of a log that the snapshot replaced."""
        journal = Journal(tmp_path)
        journal.open()
        journal.append(batch(*map(entry, range(1, 6)), hard=HARD))
        monkeypatch.setattr(journal, '_rotate', _raise_full)
        with pytest.raises(StorageFailedError):
            journal.save(Snapshot(3, 2, b'', b'other log'), HARD, ())
        journal.close()
        assert reopen(tmp_path) == Recovered(HARD, Snapshot(3, 2, b'', b'other log'), ())

    def test_reappearing_older_segment_is_no_damage(self, tmp_path: Path) -> None:
        """Guards against a refused start when a crash restored one deleted segment but not the next.

        Deletions of files are not synced, so a crash may undo any of them.
        """
        journal = Journal(tmp_path)
        journal.open()
        journal.append(batch(entry(1), hard=HARD))
        oldest = next(tmp_path.glob('*.journal'))
        content = oldest.read_bytes()
        for index in (1, 2):
            journal.append(batch(entry(index + 1)))
            journal.save(Snapshot(index, 1, b'members', b'state'), HARD, (entry(index + 1),))
        journal.close()
        oldest.write_bytes(content)
        assert reopen(tmp_path) == Recovered(HARD, Snapshot(2, 1, b'members', b'state'), (entry(3),))

    def test_folder_is_locked(self, tmp_path: Path) -> None:
        """Guards against two processes that write one journal."""
        journal = Journal(tmp_path)
        journal.open()
        with pytest.raises(StorageError):
            reopen(tmp_path)
        journal.close()


class TestReplay:
    def test_later_entry_replaces_and_gap_is_refused(self) -> None:
        """Guards against entries of a deposed leader that return after a restart."""
        replay = Replay()
        replay.add(batch(entry(1), entry(2), entry(3)))
        replay.add(batch(entry(2, term=2)))
        assert replay.finish(None).entries == (entry(1), entry(2, term=2))
        with pytest.raises(StorageDamagedError):
            replay.add(batch(entry(4)))
        replay.add(Batch(HARD, LogStart(9, 2), (entry(10),)))
        with pytest.raises(StorageDamagedError):
            replay.finish(None)


class TestDriver:
    def test_queued_writes_share_one_sync(self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against one sync for each proposal."""
        events, done = _collector(Persisted(101))
        journal = Journal(tmp_path)
        journal.open()
        syncs: list[int] = []
        monkeypatch.setattr(os, 'fsync', syncs.append)
        driver = StorageDriver(journal, events)
        for number in range(1, 101):
            driver.submit(Persist(number, None, (entry(number),)))
        driver.submit(PersistSnapshot(101, Snapshot(100, 1, b'', b'state'), HARD, ()))
        driver.setup()
        assert done.wait(20)
        driver.unload()
        # One for the entries; the snapshot syncs its file and its segment once, and the folder twice.
        assert len(syncs) == 5
        assert reopen(tmp_path).snapshot == Snapshot(100, 1, b'', b'state')

    def test_failed_sync_is_reported_and_ends_writing(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against acknowledgements after a failed sync, which a retry can't repair."""
        journal = Journal(tmp_path)
        journal.open()
        posted: list[Event] = []
        with monkeypatch.context() as patch:
            patch.setattr(os, 'fsync', _raise_failed)
            driver = StorageDriver(journal, posted.append)
            driver.submit(Persist(1, HARD, (entry(1),)))
            driver.setup()
            driver.unload()
        assert [type(event) for event in posted] == [StorageFailed]
        with pytest.raises(StorageFailedError):
            journal.append(batch(entry(1)))

    @pytest.mark.parametrize('is_reopened', [False, True])
    @pytest.mark.parametrize('refused', [('fsync',), ('write', 'ftruncate')])
    def test_writes_resume_where_the_file_is_uncertain(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, refused: tuple[str, ...], is_reopened: bool
    ) -> None:
        """Guards against a replica that fails until a restart, as a full disk refuses more than a write.

        What follows the durable frames isn't known then, so these are written again.
        """
        write_three(tmp_path)
        journal = Journal(tmp_path)
        journal.open()
        with monkeypatch.context() as patch:
            for name in refused:
                patch.setattr(os, name, _raise_full)
            for _ in range(2):
                with pytest.raises(StorageFullError):
                    journal.append(batch(entry(4)))
        if is_reopened:
            journal.close()
            assert reopen(tmp_path).entries[:3] == (entry(1), entry(2), entry(3))
            return
        former = next(tmp_path.glob('*.journal'))
        journal.append(batch(entry(4)))
        assert not former.exists()
        journal.append(batch(entry(5)))
        journal.close()
        assert reopen(tmp_path) == Recovered(HARD, None, tuple(map(entry, range(1, 6))))

    @pytest.mark.parametrize('tail', [b'', b'torn', None])
    def test_frame_of_a_failed_sync_reappears(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, tail: bytes | None
    ) -> None:
        """Guards against a refused start if a loss of power restores the segment whose sync failed."""
        write_three(tmp_path)
        journal = Journal(tmp_path)
        journal.open()
        with monkeypatch.context() as patch:
            patch.setattr(os, 'fsync', _raise_full)
            with pytest.raises(StorageFullError):
                journal.append(batch(entry(4)))
        former = next(tmp_path.glob('*.journal'))
        content = former.read_bytes()
        journal.append(batch(entry(4, term=2)))
        journal.close()
        former.write_bytes(content if tail is None else content[:-5] + tail)
        assert reopen(tmp_path).entries[-1] == entry(4, term=2)

    def test_writes_resume_once_there_is_space(self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a replica that fails for ever, or confirms writes, while its disk is full."""
        journal = Journal(tmp_path)
        journal.open()
        posted: list[Event] = []
        driver = StorageDriver(journal, posted.append)
        snapshot = PersistSnapshot(3, Snapshot(2, 1, b'', b'state'), HARD, ())
        driver.submit(Persist(1, HARD, (entry(1),)))
        with monkeypatch.context() as patch:
            patch.setattr(os, 'write', _write_half)
            driver.setup()
            wait_for(lambda: posted, 'a failure')
            driver.submit(Persist(2, None, (entry(2),)))
            driver.submit(snapshot)
            assert [type(event) for event in posted] == [StorageFailed]
        wait_for(lambda: Persisted(3) in posted, 'the last write')
        driver.submit(Persist(4, None, (entry(3),)))
        driver.unload()
        # Queued writes may share a sync.
        assert posted[1:2] == [StorageRecovered()]
        assert posted[-1] == Persisted(4)
        assert reopen(tmp_path) == Recovered(HARD, snapshot.snapshot, (entry(3),))

    def test_driver_stops_while_the_disk_is_full(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a process that can't be stopped, and a partial frame that remains."""
        write_three(tmp_path)
        journal = Journal(tmp_path)
        journal.open()
        with monkeypatch.context() as patch:
            patch.setattr(os, 'write', _write_half)
            driver = StorageDriver(journal, lambda event: None)
            driver.submit(Persist(1, HARD, (entry(4),)))
            driver.setup()
            driver.unload()
        assert reopen(tmp_path) == Recovered(HARD, None, (entry(1), entry(2), entry(3)))

    @pytest.mark.parametrize('full_at', range(1, 6))
    def test_snapshot_without_space_changes_nothing(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, full_at: int
    ) -> None:
        """Guards against a journal that can't be read after a snapshot or segment found no space."""
        write_three(tmp_path)
        journal = Journal(tmp_path)
        journal.open()
        snapshot = Snapshot(2, 1, b'', b'state')
        calls = itertools.count(1)

        def write(handle: int, content: bytes) -> int:
            return _write_half(handle, content) if next(calls) >= full_at else os_write(handle, content)

        os_write = os.write
        with monkeypatch.context() as patch:
            patch.setattr(os, 'write', write)
            for _ in range(3):
                with contextlib.suppress(StorageFullError):
                    journal.save(snapshot, HARD, (entry(3),))
        journal.append(batch(entry(4)))
        journal.close()
        assert reopen(tmp_path).entries[-2:] == (entry(3), entry(4))


def _write_half(handle: int, content: bytes) -> int:
    if len(content) < 2:
        _raise_full()
    os.pwrite(handle, content[: len(content) // 2], os.fstat(handle).st_size)
    raise OSError(errno.EFBIG, 'file too large')


def _raise_failed(*args: object) -> None:
    raise OSError(errno.EIO, 'input/output error')


def _raise_full(*args: object) -> None:
    raise OSError(errno.ENOSPC, 'no space left on device')


class _Collector:
    def __init__(self, last: Event) -> None:
        self.last = last
        self.done = threading.Event()

    def __call__(self, event: Event) -> None:
        if event == self.last:
            self.done.set()


def _collector(last: Event) -> tuple[_Collector, threading.Event]:
    collector = _Collector(last)
    return collector, collector.done
