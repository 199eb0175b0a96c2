"""A crowd of clients without limits on raw sockets, and the resources of the process that they load."""

import os
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from tests.harness.processes import wait_for

_ROUND_S = 0.01
# A client that could send nothing for so long is not being read.
_BLOCKED_S = 1.0
# Bytes sent to one client at a time, so that all of them advance together.
_TURN_BYTES = 64 * 1024

Payload = Callable[[], Iterator[bytes]]


class Crowd:
    """Clients that each send one payload, read nothing and stay connected until the end."""

    def __init__(self, address: str, count: int, payload: Payload) -> None:
        """Prepare the clients; ``payload`` yields the parts that each of them sends."""
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._count = count
        self._payload = payload
        self._sockets: list[socket.socket] = []
        self._sending: dict[socket.socket, Iterator[bytes]] = {}
        self._left: dict[socket.socket, bytes] = {}
        self._advanced_at = time.monotonic()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'Crowd':
        """Connect and start to send."""
        for _ in range(self._count):
            sock = socket.create_connection(self._address, timeout=10)
            sock.setblocking(False)
            self._sockets.append(sock)
            self._sending[sock] = self._payload()
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Disconnect."""
        self._is_stopping = True
        self._thread.join()
        for sock in self._sockets:
            sock.close()

    def settle(self) -> None:
        """Wait until each client has sent everything, was disconnected or isn't read."""
        wait_for(self._is_settled, 'the crowd to send', 120)

    def _is_settled(self) -> bool:
        return not self._sending or time.monotonic() - self._advanced_at > _BLOCKED_S

    def _run(self) -> None:
        while self._sending and not self._is_stopping:
            for sock in tuple(self._sending):
                self._advance(sock)
            time.sleep(_ROUND_S)

    def _advance(self, sock: socket.socket) -> None:
        data = self._left.pop(sock, b'') or next(self._sending[sock], b'')
        if not data:
            del self._sending[sock]
            return
        try:
            sent = sock.send(data[:_TURN_BYTES])
        except BlockingIOError:
            sent = 0
        except OSError:
            del self._sending[sock]
            return
        self._left[sock] = data[sent:]
        if sent:
            self._advanced_at = time.monotonic()


def peak_bytes(pid: int) -> int:
    """Return the peak resident memory of a process (VmHWM) since its start or the last ``reset_peak``."""
    return _read_status(pid, 'VmHWM')


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return _read_status(pid, 'VmRSS')


def reset_peak(pid: int) -> None:
    """Let the peak of a process start from its resident memory."""
    Path(f'/proc/{pid}/clear_refs').write_text('5')


def count_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f'/proc/{pid}/fd'))


def _read_status(pid: int, field: str) -> int:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, rest = line.partition(':')
        if name == field:
            return int(rest.split()[0]) * 1024
    raise AssertionError(f'no {field} of process {pid}')
