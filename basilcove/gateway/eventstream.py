"""Splits a stream of server-sent events, so that callers are sent complete events only."""

from dataclasses import dataclass

from basilcove.gateway.const import MAX_EVENT_BYTES

_EVENT_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')


class EventTooLargeError(ValueError):
    """An incomplete event exceeds the size limit."""


@dataclass(slots=True)
class EventSplitter:
    """The bytes of an incomplete event, and the id of the last complete one."""

    last_event: str = ''
    _partial: bytes = b''

    def feed(self, part: bytes) -> bytes:
        """Return the bytes of all events that are now complete.

        Raises EventTooLargeError if an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        buffered = self._partial + part
        end = max(_find_end(buffered, mark) for mark in _EVENT_ENDS)
        if not end:
            if len(buffered) > MAX_EVENT_BYTES:
                raise EventTooLargeError(f'an event exceeds {MAX_EVENT_BYTES} bytes')
            self._partial = buffered
            return b''
        events, self._partial = buffered[:end], buffered[end:]
        self._update_last_event(events)
        return events

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._partial.strip()

    def _update_last_event(self, events: bytes) -> None:
        position = events.rfind(b'\nid:')
        if position < 0:
            if not events.startswith(b'id:'):
                return
            position = -1
        line = events[position + 1 :].splitlines()[0]
        self.last_event = line[len(b'id:') :].strip().decode('latin-1')


def _find_end(buffered: bytes, mark: bytes) -> int:
    position = buffered.rfind(mark)
    return 0 if position < 0 else position + len(mark)
