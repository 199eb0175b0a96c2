"""Reads the segments of a journal and checks that no record is missing."""

import os
from pathlib import Path
from typing import TypeVar

from google.protobuf.message import Message as ProtoMessage

from basilcove.helpers import codec
from basilcove.storage import storage_pb2 as pb
from basilcove.storage.exceptions import StorageDamagedError
from basilcove.storage.frames import scan_frames
from basilcove.storage.models import Batch
from basilcove.storage.replay import Replay

RecordT = TypeVar('RecordT')


def decode_record(cls: type[RecordT], proto: type[ProtoMessage], body: bytes) -> RecordT:
    """Return the record in the body of a frame."""
    return codec.from_proto(cls, proto.FromString(body))


class SegmentReader:
    """Replays segments, oldest first; ``sequence`` is the number of the last record."""

    def __init__(self) -> None:
        """Start without records."""
        self.sequence = 0
        self._replay = Replay()
        # Where a segment is damaged whose records no later one has replaced so far.
        self._damage = ''

    def read(self, segment: Path, is_last: bool) -> None:
        """Replay a segment, the last one without a torn tail; StorageDamagedError if a record is missing."""
        content = segment.read_bytes()
        end = 0
        for frame in scan_frames(content):
            batch = decode_record(Batch, pb.Batch, frame.body)
            self._check_order(segment, frame.sequence, batch)
            self._replay.add(batch)
            self.sequence = frame.sequence
            end = frame.end
        if end == len(content):
            return
        if not is_last:
            self._damage = f'{segment}: damaged record at byte {end}'
            return
        with segment.open('r+b') as torn:
            torn.truncate(end)
            os.fsync(torn.fileno())

    def finish(self) -> Replay:
        """Return the replayed log; StorageDamagedError if records are damaged that nothing replaces."""
        if self._damage:
            raise StorageDamagedError(self._damage)
        return self._replay

    def _check_order(self, segment: Path, sequence: int, batch: Batch) -> None:
        """Raise StorageDamagedError if records before this one are missing or damaged.

        A batch with a start replaces all earlier ones, so it may follow a gap: after a crash one deleted
        segment may still exist while the next is gone, and a segment whose sync failed may end anyhow.
        """
        if batch.start is not None and sequence > self.sequence:
            self._damage = ''
        elif self.sequence and sequence != self.sequence + 1:
            raise StorageDamagedError(f'{segment}: record {self.sequence + 1} is missing')
        if self._damage:
            raise StorageDamagedError(self._damage)


def read_segments(segments: list[Path]) -> SegmentReader:
    """Replay all segments of a journal, oldest first; StorageDamagedError if a record is missing."""
    reader = SegmentReader()
    for segment in segments:
        reader.read(segment, is_last=segment == segments[-1])
    return reader
