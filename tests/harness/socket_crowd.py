"""Clients that keep to no limit: each kind sends to a listener over many connections and reads nothing."""

import contextlib
import selectors
import socket
import time
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Final, Self

# A crowd stops to send when no connection has taken a byte for this long.
_QUIET_S: Final = 1.0
_SEND_BYTES: Final = 65536
_RECEIVE_BUFFER_BYTES: Final = 4096


@dataclass(frozen=True, slots=True)
class Kind:
    """What each of ``connections`` sends: ``opening``, then ``repeated`` up to ``total_bytes``.

    ``step_bytes`` is what is sent at once.
    """

    name: str
    connections: int
    opening: bytes = b''
    repeated: bytes = b''
    total_bytes: int = 0
    step_bytes: int = _SEND_BYTES

    def content(self) -> bytes:
        """Return what one connection sends."""
        count = max(0, self.total_bytes - len(self.opening)) // max(1, len(self.repeated))
        return self.opening + self.repeated * count


class Crowd:
    """The connections of one kind of client."""

    def __init__(self, kind: Kind, host: str, port: int) -> None:
        """Connect to a listener."""
        self._kind = kind
        self._selector = selectors.DefaultSelector()
        self._content = memoryview(kind.content())
        self._sent: dict[socket.socket, int] = {}
        self._sockets: list[socket.socket] = []
        for _ in range(kind.connections):
            sock = socket.socket()
            sock.setblocking(False)
            # What a client doesn't read stays with the process instead of in the kernel.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
            with contextlib.suppress(BlockingIOError):
                sock.connect((host, port))
            self._sockets.append(sock)
            self._sent[sock] = 0
            self._selector.register(sock, selectors.EVENT_WRITE)

    def __enter__(self) -> Self:
        """Return the crowd."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close all connections."""
        self._selector.close()
        for sock in self._sockets:
            sock.close()

    def send(self) -> int:
        """Send until all is sent or nothing more is taken; return the number of bytes that were sent."""
        quiet_since = time.monotonic()
        while self._selector.get_map() and time.monotonic() - quiet_since < _QUIET_S:
            for key, _ in self._selector.select(_QUIET_S):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if self._send_step(sock):
                    quiet_since = time.monotonic()
        return sum(self._sent.values())

    def _send_step(self, sock: socket.socket) -> bool:
        start = self._sent[sock]
        step = self._content[start : start + self._kind.step_bytes]
        try:
            sent = sock.send(step) if step else 0
        except BlockingIOError:
            return False
        except OSError:
            sent = 0
        if not sent:
            self._selector.unregister(sock)
        self._sent[sock] += sent
        return bool(sent)


def peak_memory_mb(pid: int) -> float:
    """Return the peak of the resident memory of a process, in MB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024 / 1e6
    raise AssertionError(f'no peak of the memory of process {pid}')


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))
