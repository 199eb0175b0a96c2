import os
import re
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness.processes import Process, free_address, wait_for


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Process]:
    arguments = ['examples.demo', '--serve', '--listen', free_address()]
    process = Process('serve', arguments, tmp_path / 'serve.log')
    try:
        wait_for(lambda: 'keys: ' in process.log.read_text(), 'the deployment to serve')
        yield process
    finally:
        process.stop()
        process.wait()


def pids(process: Process) -> list[int]:
    return [int(pid) for pid in re.findall(r'pid (\d+)', process.log.read_text())]


def is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class TestServe:
    def test_killed_daemon_is_restarted(self, deployment: Process) -> None:
        """Guards against a manually killed daemon that ends the whole deployment."""
        before = pids(deployment)
        os.kill(before[0], signal.SIGKILL)
        wait_for(lambda: len(pids(deployment)) > len(before), 'the daemon to be restarted')
        assert deployment.is_running
        assert is_running(pids(deployment)[-1])

    def test_sigterm_leaves_no_process(self, deployment: Process) -> None:
        """Guards against daemons that keep running and occupy the ports of the next start."""
        started = pids(deployment)
        assert len(started) > 1
        deployment.stop()
        assert deployment.wait() == 0
        assert not any(map(is_running, started))
