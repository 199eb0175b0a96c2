import contextlib
import errno
import itertools
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilcove.storage.exceptions import StorageFullError
from basilcove.storage.journal import Journal
from basilcove.storage.models import Batch, EntryKind, HardState, LogEntry, Recovered, Snapshot

HARD = HardState('cluster', 'host-1:0', 3, 'host-2:0')


class _CrashError(Exception):
    """The process is killed; what it wrote stays in the page cache."""


class _Kill:
    """Raises ``_CrashError`` at a call that changes files."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.remaining_calls = 0
        self._patch = patch
        for module, name in ((os, 'write'), (os, 'fsync'), (Path, 'rename'), (Path, 'unlink')):
            self._wrap(module, name)

    def _wrap(self, module: object, name: str) -> None:
        original = getattr(module, name)

        def call(*args: object, **kwargs: object) -> object:
            self.remaining_calls -= 1
            if not self.remaining_calls:
                raise _CrashError
            return None if name == 'fsync' else original(*args, **kwargs)

        self._patch.setattr(module, name, call)


class _Writer:
    """Writes to a journal, and knows what it must return after a crash."""

    def __init__(self, folder: Path) -> None:
        self.durable = Recovered(HARD, None, ())
        self.attempted = self.durable
        self.journal = Journal(folder)
        self._folder = folder
        self._terms = itertools.count(1)

    def reopen(self) -> Recovered:
        self.journal.close()
        self.journal = Journal(self._folder)
        recovered = self.journal.open()
        self.durable = recovered
        return recovered

    def append(self) -> None:
        self._append((*self.durable.entries, _entry(self._last + 1, next(self._terms))))

    def replace(self) -> None:
        if self.durable.entries:
            self._append((*self.durable.entries[:-1], _entry(self._last, next(self._terms))))

    def compact(self) -> None:
        if self.durable.entries:
            first, *rest = self.durable.entries
            self._save(Snapshot(first.index, first.term, b'', b'own'), tuple(rest))

    def install(self) -> None:
        self._save(Snapshot(self._last + 5, next(self._terms), b'', b'foreign'), ())

    def install_over_another_log(self) -> None:
        if self.durable.entries:
            self._save(Snapshot(self._last, next(self._terms), b'', b'foreign'), ())

    @property
    def _last(self) -> int:
        snapshot = self.durable.snapshot
        base = snapshot.index if snapshot is not None else 0
        return base + len(self.durable.entries)

    def _append(self, entries: tuple[LogEntry, ...]) -> None:
        self.attempted = Recovered(HARD, self.durable.snapshot, entries)
        self.journal.append(Batch(HARD, None, entries[-1:]))
        self.durable = self.attempted

    def _save(self, snapshot: Snapshot, tail: tuple[LogEntry, ...]) -> None:
        self.attempted = Recovered(HARD, snapshot, tail)
        self.journal.save(snapshot, HARD, tail)
        self.durable = self.attempted


def _entry(index: int, term: int) -> LogEntry:
    return LogEntry(index, term, 0, EntryKind.COMMAND, b'body')


Operation = Callable[[_Writer], None]
OPERATIONS: tuple[Operation, ...] = (
    _Writer.append,
    _Writer.replace,
    _Writer.compact,
    _Writer.install,
    _Writer.install_over_another_log,
)
# A write of a snapshot and its segment makes about ten calls.
LIFE = st.tuples(st.lists(st.sampled_from(OPERATIONS), min_size=1, max_size=4), st.integers(1, 20))
LIVES = st.lists(LIFE, min_size=3, max_size=5)


class TestKilledProcess:
    @given(LIVES)
    @settings(derandomize=True, max_examples=800, deadline=None)
    def test_every_start_recovers_what_was_written(self, lives: list[tuple[list[Operation], int]]) -> None:
        """Guards against a host that a kill between two files keeps from starting, or robs of entries."""
        with tempfile.TemporaryDirectory() as folder, pytest.MonkeyPatch.context() as patch:
            kill = _Kill(patch)
            writer = _Writer(Path(folder))
            writer.reopen()
            writer.journal.append(Batch(HARD, None, ()))
            writer.reopen()
            for operations, calls in lives:
                kill.remaining_calls = calls
                with contextlib.suppress(_CrashError):
                    for operation in operations:
                        operation(writer)
                kill.remaining_calls = 0
                expected = (writer.durable, writer.attempted)
                assert writer.reopen() in expected

    @pytest.mark.parametrize('index', [3, 8])
    @pytest.mark.parametrize('error', [_CrashError, OSError(errno.ENOSPC, 'no space left on device')])
    def test_entry_after_an_installed_snapshot(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, index: int, error: Exception
    ) -> None:
        """Guards against entries after a snapshot that are refused, or dropped, at the second start.

        Its segment is missing since the process was killed, or since the disk was full until it was stopped.
        """
        writer = _Writer(tmp_path)
        writer.reopen()
        writer.journal.append(Batch(HARD, None, tuple(_entry(number, 1) for number in range(1, 6))))
        monkeypatch.setattr(writer.journal, '_rotate', Mock(side_effect=error))
        with pytest.raises((_CrashError, StorageFullError)):
            writer.journal.save(Snapshot(index, 2, b'', b'foreign'), HARD, ())
        writer.reopen()
        writer.journal.append(Batch(None, None, (_entry(index + 1, 2),)))
        assert writer.reopen().entries == (_entry(index + 1, 2),)
