import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness.platform import CONTROL, GATEWAY, Deployment, PlatformProcesses, configuration
from tests.harness.processes import Process, wait_for


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    running = Deployment(tmp_path)
    try:
        for address in (*CONTROL, GATEWAY):
            running.start(address)
        yield running
    finally:
        running.stop()


class TestPlatform:
    def test_whole_path(self, deployment: Deployment) -> None:
        """Guards against a deployment that serves no requests, and templates that render wrong settings."""
        assert deployment.send_request() in {0, 503}
        assert deployment.put(configuration(3)) == 200
        assert deployment.put({**configuration(4), 'routes': None}) == 400
        assert deployment.put({**configuration(4), 'unknown': 'half a character \ud83d'}) == 400
        deployment.announce(1)
        wait_for(lambda: deployment.send_request() == 200, 'a served request')
        assert deployment.send_request('/nowhere/') == 404
        assert deployment.send_request(key='other') == 401
        deployment.put(configuration(5, key='k-2'))
        wait_for(lambda: deployment.send_request() == 401, 'a revoked key')
        assert deployment.send_request(key='k-2') == 200
        deployment.put({**configuration(6), 'tenants': []})
        wait_for(lambda: deployment.send_request(key='k-2') == 401, 'a revoked key')
        assert deployment.send_request(key='other') == 401
        deployment.put(configuration(7, key='k-2'))
        wait_for(lambda: deployment.send_request(key='k-2') == 200, 'a key that is back')
        deployment.announce(2, state='draining')
        wait_for(lambda: deployment.send_request(key='k-2') == 503, 'a drained engine')

    def test_killed_control_hosts_with_and_without_their_disk(self, deployment: Deployment) -> None:
        """Guards against an acknowledged configuration that is lost or replaced by an older one."""
        assert deployment.put(configuration(3)) == 200
        deployment.processes[CONTROL[0]].kill()
        assert deployment.put(configuration(4)) == 200
        folder = deployment.folder / CONTROL[0]
        for each in sorted(folder.rglob('*'), reverse=True):
            each.unlink()
        deployment.start(CONTROL[0], first=False)
        read = wait_for(
            lambda: deployment.call(CONTROL[0], 'GET', '/config')[1], 'a read at the repaired host'
        )
        assert json.loads(read) == configuration(4)
        for host in CONTROL:
            deployment.processes[host].kill()
            deployment.processes[host].wait()
        for host in CONTROL:
            deployment.start(host, first=False)
        read = wait_for(
            lambda: deployment.call(CONTROL[1], 'GET', '/config')[1], 'a read after all were killed'
        )
        assert json.loads(read) == configuration(4)

    def test_signals(self, deployment: Deployment) -> None:
        """Guards against a SIGHUP that ends a process, and a planned stop that fails."""
        deployment.put(configuration(3))
        deployment.announce(1)
        wait_for(lambda: deployment.send_request() == 200, 'a served request')
        gateway = deployment.processes[GATEWAY]
        gateway.send_signal(signal.SIGHUP)
        assert deployment.send_request() == 200
        gateway.send_signal(signal.SIGTERM)
        assert deployment.send_request() == 200
        assert gateway.wait(20) == 0


class TestStart:
    def test_reload_while_a_process_starts(self, tmp_path: Path) -> None:
        """Guards against a SIGHUP that ends a process which has not set its handler yet."""
        processes = PlatformProcesses(tmp_path)
        processes.start(GATEWAY)
        gateway = processes.processes[GATEWAY]
        try:
            for _ in range(10):
                time.sleep(0.15)
                gateway.send_signal(signal.SIGHUP)
            assert gateway.poll() is None
        finally:
            processes.stop()


class TestDemonstration:
    def test_demonstration_succeeds(self, tmp_path: Path) -> None:
        """Guards against a demonstration of the platform that fails or leaves processes running."""
        process = Process('demo', ['examples.demo', '--platform'], tmp_path / 'demo.log')
        try:
            assert process.wait() == 0, process.log.read_text()
        finally:
            process.stop()
