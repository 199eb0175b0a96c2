"""Checksummed, length-prefixed frames, one for each sync."""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from basilcove.storage.const import FRAME_MAGIC, MAX_FRAME_BYTES
from basilcove.storage.exceptions import StorageDamagedError

# magic, length of the body, checksum of sequence and body, sequence
_HEADER = struct.Struct('<4sIIQ')
_SEQUENCE = struct.Struct('<Q')


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame, which ends at offset ``end``; sequence numbers increase by one from frame to frame."""

    sequence: int
    body: bytes
    end: int


def pack_frame(sequence: int, body: bytes) -> bytes:
    """Return the bytes of a frame."""
    return _HEADER.pack(FRAME_MAGIC, len(body), _checksum(sequence, body), sequence) + body


def scan_frames(content: bytes) -> Iterator[Frame]:
    """Yield the frames of a segment up to a torn tail.

    A frame is written only after the previous one is synced. A damaged frame
    that is followed by an intact one was therefore synced: StorageDamagedError.
    """
    offset = 0
    while offset < len(content):
        frame = _frame_at(content, offset)
        if frame is None:
            _check_no_later_frames(content, offset)
            return
        yield frame
        offset = frame.end


def _frame_at(content: bytes, offset: int) -> Frame | None:
    start = offset + _HEADER.size
    if start > len(content):
        return None
    magic, length, checksum, sequence = _HEADER.unpack_from(content, offset)
    end = start + length
    if magic != FRAME_MAGIC or length > MAX_FRAME_BYTES or end > len(content):
        return None
    body = content[start:end]
    if _checksum(sequence, body) != checksum:
        return None
    return Frame(sequence, body, end)


def _check_no_later_frames(content: bytes, offset: int) -> None:
    later = content.find(FRAME_MAGIC, offset + 1)
    while later >= 0:
        if _frame_at(content, later) is not None:
            raise StorageDamagedError(f'damaged record at byte {offset}, intact record at byte {later}')
        later = content.find(FRAME_MAGIC, later + 1)


def _checksum(sequence: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(_SEQUENCE.pack(sequence)))
