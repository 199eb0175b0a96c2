"""Splits a stream of server-sent events, so that callers are sent complete events only."""

from dataclasses import dataclass, field

from basilcove.helpers.events import EventBuffer


@dataclass(slots=True)
class EventSplitter:
    """The bytes of an incomplete event, and the id of the last complete one."""

    last_event: str = ''
    _buffer: EventBuffer = field(default_factory=EventBuffer)

    def feed(self, part: bytes) -> bytes:
        """Return the bytes of all events that are now complete; EventTooLargeError if one is too large."""
        events = self._buffer.add(part)
        if events:
            self._update_last_event(events)
        return events

    @property
    def size_bytes(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return len(self._buffer)

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return self._buffer.is_between_events

    def _update_last_event(self, events: bytes) -> None:
        position = events.rfind(b'\nid:')
        if position < 0:
            if not events.startswith(b'id:'):
                return
            position = -1
        line = events[position + 1 :].splitlines()[0]
        self.last_event = line[len(b'id:') :].strip().decode('latin-1')
