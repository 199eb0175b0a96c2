"""Journal segments and snapshots under one data folder."""

import errno
import fcntl
import os
from pathlib import Path

from google.protobuf.message import Message as ProtoMessage

from basilcove.helpers import codec
from basilcove.storage import storage_pb2 as pb
from basilcove.storage.const import (
    FILE_MODE,
    LOCK_NAME,
    NUMBER_WIDTH,
    SEGMENT_SUFFIX,
    SNAPSHOT_SUFFIX,
    TEMPORARY_SUFFIX,
)
from basilcove.storage.exceptions import (
    StorageDamagedError,
    StorageError,
    StorageFailedError,
    StorageFullError,
)
from basilcove.storage.frames import pack_frame, scan_frames
from basilcove.storage.models import Batch, HardState, LogEntry, LogStart, Recovered, Snapshot
from basilcove.storage.segments import decode_record, read_segments

# The disk, a quota or a limit on the size of files is exhausted.
_NO_SPACE = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))
_APPEND_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND


class Journal:
    """Files of one control host; used by one thread at a time.

    A write for which there was no space is undone and can be retried. After a failed sync it isn't known what
    follows the durable frames on the disk: if the disk was full, these are written to a new segment before
    the next append; after any other failure the journal refuses every later write until a restart.
    """

    def __init__(self, folder: Path) -> None:
        """Use this folder; it is created if missing."""
        self._folder = folder
        self._segment = 0
        self._sequence = 0
        self._file = -1
        self._lock = -1
        # Offset at which the durable frames of the segment end.
        self._durable_end = 0
        self._has_failed = False
        # The sync of the segment found no space.
        self._is_segment_uncertain = False
        # The beginning of the log after a snapshot whose segment is missing.
        self._missing_start: Batch | None = None

    def open(self) -> Recovered:
        """Lock the folder, truncate a torn tail and return the durable state.

        StorageDamagedError if synced data is damaged; StorageError if another
        process uses the folder.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self._folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            raise StorageError(f'{self._folder} is in use by another process') from exc
        for leftover in self._folder.glob(f'*{TEMPORARY_SUFFIX}'):
            leftover.unlink()
        segments = self._list_files(SEGMENT_SUFFIX)
        reader = read_segments(segments)
        replay = reader.finish()
        self._sequence = reader.sequence
        self._segment = int(segments[-1].stem) if segments else 1
        self._open_segment()
        recovered = replay.finish(self._newest_snapshot())
        self._missing_start = replay.find_missing_start(recovered)
        return recovered

    def close(self) -> None:
        """Close the files and release the folder."""
        for handle in (self._file, self._lock):
            if handle >= 0:
                os.close(handle)
        self._file = -1
        self._lock = -1

    def append(self, batch: Batch) -> None:
        """Write a batch as one frame and sync it; StorageFailedError if that fails."""
        self._check_usable()
        if self._is_segment_uncertain:
            self._replace_segment()
        if self._missing_start is not None:
            self._append_frame(self._missing_start)
            self._missing_start = None
        self._append_frame(batch)

    def _append_frame(self, batch: Batch) -> None:
        frame = pack_frame(self._sequence + 1, _to_bytes(batch, pb.Batch))
        try:
            _write(self._file, frame)
        except OSError as exc:
            raise self._truncate_partial_frame(exc) from exc
        try:
            os.fsync(self._file)
        except OSError as exc:
            self._is_segment_uncertain = True
            raise self._convert_error('sync the journal', exc) from exc
        self._sequence += 1
        self._durable_end += len(frame)

    def _replace_segment(self) -> None:
        """Write what is durable to a new segment; StorageFailedError if that fails."""
        try:
            os.ftruncate(self._file, self._durable_end)
            replay = read_segments(self._list_files(SEGMENT_SUFFIX)).finish()
            # The frame whose sync failed may be found again after a loss of power, so its number is left out.
            self._sequence += 1
            self._rotate(replay.to_batch())
            self._is_segment_uncertain = False
            self._drop_older()
        except OSError as exc:
            raise self._convert_error('start a segment', exc) from exc

    def save(self, snapshot: Snapshot, hard_state: HardState, tail: tuple[LogEntry, ...]) -> None:
        """Replace all data with a snapshot and the tail of the log; StorageFailedError if that fails.

        A crash in between leaves the old segments beside the new snapshot; the
        replay then keeps only the entries that follow the snapshot, and the next
        ``append`` writes the beginning of the segment that is missing.
        """
        self._check_usable()
        start = LogStart(snapshot.index, snapshot.term)
        try:
            self._write_snapshot(snapshot)
        except OSError as exc:
            raise self._convert_error('write a snapshot', exc) from exc
        self._missing_start = Batch(hard_state, start, tail)
        try:
            self._rotate(self._missing_start)
            self._missing_start = None
            self._drop_older()
        except OSError as exc:
            raise self._convert_error('start a segment', exc) from exc

    def _drop_older(self) -> None:
        for segment in self._list_files(SEGMENT_SUFFIX)[:-1]:
            segment.unlink()
        for older in self._list_files(SNAPSHOT_SUFFIX)[:-1]:
            older.unlink()

    def _check_usable(self) -> None:
        if self._has_failed:
            raise StorageFailedError('an earlier write failed')

    def _mark_failed(self, action: str, exc: OSError) -> StorageFailedError:
        self._has_failed = True
        return StorageFailedError(f'could not {action}: {exc}')

    def _convert_error(self, action: str, exc: OSError) -> StorageFailedError:
        if exc.errno in _NO_SPACE:
            return StorageFullError(f'could not {action}: {exc}')
        return self._mark_failed(action, exc)

    def _truncate_partial_frame(self, exc: OSError) -> StorageFailedError:
        """Remove the partially written frame and return the error to raise."""
        error = self._convert_error('append to the journal', exc)
        try:
            os.ftruncate(self._file, self._durable_end)
        except OSError as failure:
            self._is_segment_uncertain = True
            return self._convert_error('cut off a part of a frame', failure)
        return error

    def _list_files(self, suffix: str) -> list[Path]:
        return sorted(self._folder.glob(f'*{suffix}'))

    def _path(self, number: int, suffix: str) -> Path:
        return self._folder / f'{number:0{NUMBER_WIDTH}d}{suffix}'

    def _open_segment(self) -> None:
        path = self._path(self._segment, SEGMENT_SUFFIX)
        self._file = os.open(path, _APPEND_FLAGS, FILE_MODE)
        self._durable_end = os.fstat(self._file).st_size
        self._sync_folder()

    def _rotate(self, batch: Batch) -> None:
        path = self._path(self._segment + 1, SEGMENT_SUFFIX)
        frame = pack_frame(self._sequence + 1, _to_bytes(batch, pb.Batch))
        handle = os.open(path, _APPEND_FLAGS | os.O_TRUNC, FILE_MODE)
        try:
            _write_and_sync(handle, frame)
        except OSError:
            # The previous segment stays in use, and only the last segment may have a torn tail.
            os.close(handle)
            path.unlink()
            raise
        os.close(self._file)
        self._file = handle
        self._segment += 1
        self._sequence += 1
        self._durable_end = len(frame)
        self._sync_folder()

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        path = self._path(snapshot.index, SNAPSHOT_SUFFIX)
        temporary = path.with_suffix(TEMPORARY_SUFFIX)
        handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            _write_and_sync(handle, pack_frame(snapshot.index, _to_bytes(snapshot, pb.Snapshot)))
        finally:
            os.close(handle)
        temporary.rename(path)
        self._sync_folder()

    def _newest_snapshot(self) -> Snapshot | None:
        paths = self._list_files(SNAPSHOT_SUFFIX)
        if not paths:
            return None
        frames = tuple(scan_frames(paths[-1].read_bytes()))
        if len(frames) != 1:
            raise StorageDamagedError(f'{paths[-1]}: damaged snapshot')
        return decode_record(Snapshot, pb.Snapshot, frames[0].body)

    def _sync_folder(self) -> None:
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def _write(handle: int, content: bytes) -> None:
    view = memoryview(content)
    while view:
        view = view[os.write(handle, view) :]


def _write_and_sync(handle: int, content: bytes) -> None:
    _write(handle, content)
    os.fsync(handle)


def _to_bytes(record: object, proto: type[ProtoMessage]) -> bytes:
    return codec.to_proto(record, proto).SerializeToString()
