"""Splits a stream of server-sent events, so that callers are sent whole events only."""

from dataclasses import dataclass

from basilcove.gateway.const import MAX_EVENT_BYTES

_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')


class EventTooLargeError(ValueError):
    """An event exceeds its bound without an end."""


@dataclass(slots=True)
class EventSplitter:
    """Bytes of an event that has not ended, and the id of the last one that has."""

    last_event: str = ''
    _rest: bytes = b''

    def feed(self, part: bytes) -> bytes:
        """Return the bytes of all events that have ended; EventTooLargeError beyond the bound."""
        held = self._rest + part
        end = max(_end_of(held, mark) for mark in _ENDS)
        if not end:
            if len(held) > MAX_EVENT_BYTES:
                raise EventTooLargeError(f'an event exceeds {MAX_EVENT_BYTES} bytes')
            self._rest = held
            return b''
        whole, self._rest = held[:end], held[end:]
        self._note_id(whole)
        return whole

    @property
    def is_between_events(self) -> bool:
        """Tell whether no event has been cut short."""
        return not self._rest.strip()

    def _note_id(self, whole: bytes) -> None:
        position = whole.rfind(b'\nid:')
        if position < 0:
            if not whole.startswith(b'id:'):
                return
            position = -1
        line = whole[position + 1 :].splitlines()[0]
        self.last_event = line[len(b'id:') :].strip().decode('latin-1')


def _end_of(held: bytes, mark: bytes) -> int:
    position = held.rfind(mark)
    return 0 if position < 0 else position + len(mark)
