"""Splits a byte stream into complete server-sent events."""

import re
from typing import Final

from basilcove.helpers.events import EventBuffer

_BOUNDARY: Final = re.compile(rb'\r?\n\r?\n|\r\r')
_DONE: Final = re.compile(rb'^data: ?\[DONE\]\s*$')
DONE_EVENT: Final = b'data: [DONE]\n\n'


class EventSplitter:
    """Splits a stream at event boundaries and removes its final ``[DONE]``."""

    def __init__(self) -> None:
        """Start with nothing buffered."""
        self.is_done = False
        self._buffer = EventBuffer()

    @property
    def is_clean(self) -> bool:
        """Return whether no partial event is buffered."""
        return self._buffer.is_between_events

    def feed(self, received: bytes) -> tuple[bytes, int]:
        """Add received bytes; return the events that are now complete, as bytes, and their number.

        Raises EventTooLargeError if an incomplete event is too large.
        """
        *events, _ = _BOUNDARY.split(self._buffer.add(received))
        whole = bytearray()
        count = 0
        for event in events:
            if _DONE.match(event):
                self.is_done = True
                continue
            whole += event
            whole += b'\n\n'
            count += 1
        return bytes(whole), count
