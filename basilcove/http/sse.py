"""Server-sent events: whole events out of a byte stream."""

import re
from typing import Final

_BOUNDARY: Final = re.compile(rb'\r?\n\r?\n')
_DONE: Final = re.compile(rb'^data: ?\[DONE\]\s*$')
DONE_EVENT: Final = b'data: [DONE]\n\n'


class EventSplitter:
    """Cuts a stream at event boundaries and takes out its final ``[DONE]``."""

    def __init__(self) -> None:
        """Start with nothing buffered."""
        self.is_done = False
        self._rest = b''

    @property
    def is_clean(self) -> bool:
        """Tell whether no partial event is buffered."""
        return not self._rest.strip()

    def feed(self, received: bytes) -> tuple[bytes, int]:
        """Return the events that are complete now, as bytes, and their number."""
        *events, self._rest = _BOUNDARY.split(self._rest + received)
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
