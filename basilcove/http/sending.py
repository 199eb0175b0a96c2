"""Sends answers without holding a thread for a client that doesn't read them."""

import select
import socket
import time
from typing import Final

# Cheroot recognises a timeout by this text.
_TIMED_OUT: Final = 'timed out'
_MS_PER_S: Final = 1000


class AnswerWriter:
    """Cheroot's output file of a connection; what the client doesn't take at once is kept.

    One thread at a time uses it: first the one that answers, then the one that polls the connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Write to this socket."""
        self._socket = sock
        self.unsent = bytearray()
        self.is_broken = False

    def write(self, content: bytes) -> int:
        """Send what the client takes at once and keep the rest; OSError if it has left."""
        if self.is_broken:
            raise BrokenPipeError('the connection is broken')
        self.unsent += content
        self.send()
        return len(content)

    def send(self) -> bool:
        """Send more of the rest; True if nothing is left, OSError if the client has left."""
        try:
            while self.unsent:
                sent = self._socket.send(self.unsent, socket.MSG_DONTWAIT)
                del self.unsent[:sent]
        except BlockingIOError:
            return False
        except OSError:
            self.unsent.clear()
            self.is_broken = True
            raise
        return True

    def wait(self, timeout_s: float) -> None:
        """Wait until everything is sent; TimeoutError if the client hasn't taken it by then."""
        deadline = time.monotonic() + timeout_s
        poll = select.poll()
        poll.register(self._socket, select.POLLOUT)
        while not self.send():
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                self.unsent.clear()
                self.is_broken = True
                raise TimeoutError(_TIMED_OUT)
            poll.poll(left_s * _MS_PER_S)
