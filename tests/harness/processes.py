"""Child processes of a test, free ports, and waiting for conditions."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

ResultT = TypeVar('ResultT')

ROOT = Path(__file__).resolve().parents[2]
WAIT_S = 30.0
POLL_S = 0.02

# Sockets that reserve the ports of the latest 256 addresses; older ones are closed.
_RESERVED: deque[socket.socket] = deque(maxlen=256)


def free_address() -> str:
    """Return a loopback address with a port that no other process is assigned.

    The port stays bound, since otherwise an outgoing connection of any process may be assigned it before the
    server binds it. Only a server that sets SO_REUSEADDR, as all here do, can bind it as well.
    """
    probe = socket.socket()
    probe.bind(('127.0.0.1', 0))
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _RESERVED.append(probe)
    return f'127.0.0.1:{probe.getsockname()[1]}'


def wait_for(condition: Callable[[], ResultT], what: str, timeout_s: float = WAIT_S) -> ResultT:
    """Poll until the condition is truthy and return its result; raise AssertionError after the timeout."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline:
            raise AssertionError(f'waited {timeout_s:g} s for {what}')
        time.sleep(POLL_S)


class Process:
    """A child process that logs to a file."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        """Start ``python -m`` with the arguments."""
        self.name = name
        self.log = log
        environment = {**os.environ, 'PYTHONPATH': str(ROOT), 'PYTHONUNBUFFERED': '1'}
        with log.open('ab') as output:
            self._child = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self._child.poll() is None

    def stop(self) -> None:
        """Ask the process to stop gracefully."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self._signal(signal.SIGKILL)
        self._child.wait()

    def freeze(self) -> None:
        """Suspend the process."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the suspended process."""
        self._signal(signal.SIGCONT)

    def wait(self, timeout_s: float = WAIT_S) -> int:
        """Wait until the process has exited and return its status."""
        return self._child.wait(timeout_s)

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self._child.send_signal(number)
