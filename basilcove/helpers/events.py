"""Buffers the bytes of a stream of server-sent events until an event is complete."""

from dataclasses import dataclass, field
from typing import Final

# Engines send events of a few hundred bytes.
MAX_EVENT_BYTES: Final = 1024 * 1024
# An empty line ends an event; ``\n\r\n`` is also the end of ``\r\n\r\n``.
_EVENT_ENDS: Final = (b'\n\n', b'\n\r\n', b'\r\r')
_MAX_END_BYTES: Final = 3


class EventTooLargeError(ValueError):
    """An incomplete event exceeds the size limit."""


@dataclass(slots=True)
class EventBuffer:
    """The bytes of an incomplete event; the work for each part of a stream grows with that part only."""

    _partial: bytearray = field(default_factory=bytearray)

    def add(self, part: bytes) -> bytes:
        """Return the bytes of all events that are now complete.

        Raises EventTooLargeError if an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        # An end may have begun in the bytes before this part.
        searched = max(0, len(self._partial) - _MAX_END_BYTES + 1)
        self._partial += part
        end = max(_find_end(self._partial, mark, searched) for mark in _EVENT_ENDS)
        if end:
            events = bytes(self._partial[:end])
            del self._partial[:end]
            return events
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        return b''

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._partial)

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._partial.strip()


def _find_end(buffered: bytearray, mark: bytes, start: int) -> int:
    position = buffered.rfind(mark, start)
    return 0 if position < 0 else position + len(mark)
