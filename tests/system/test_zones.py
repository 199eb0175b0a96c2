import contextlib
import json
import os
import signal
import socket
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import pytest

from basilcove.cli.__main__ import main
from basilcove.cli.client import Client, Security
from basilcove.cli.messages import StatusReply, StatusRequest
from tests.harness.platform import CONTROL, GATEWAY, Deployment, configuration, start_engine
from tests.harness.processes import wait_for

REQUESTS = 20
# For so long after a host wakes, what it does with the calls of before is watched.
WOKEN_S = 3.0


class ZoneDeployment(Deployment):
    """A deployment with an engine in zone ``a`` and one in zone ``b``."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.far_engine = start_engine()

    def stop(self) -> None:
        super().stop()
        self.far_engine.shutdown()

    def announce_both(self, sequence: int) -> None:
        self.announce_as('near', self.engine, 'a', sequence)
        self.announce_as('far', self.far_engine, 'b', sequence)

    def change_zone(self, method: str, zone: str, hosts: Sequence[str] = CONTROL) -> int:
        """Send a call to one host after another as operators do; return the version."""

        def send() -> bytes | None:
            for host in hosts:
                status, body = self.call(host, method, f'/evacuations/{zone}')
                assert not 400 <= status < 500
                if status == 200:
                    return body
            return None

        return json.loads(wait_for(send, 'an acknowledged change of a zone'))['version']

    def engines(self) -> set[bytes]:
        """Return which engines answer some requests, by their ports; a refusal is ``refused``."""
        answers = [self.exchange() for _ in range(REQUESTS)]
        return {body if status == 200 else b'refused' for status, body, _ in answers}

    def addresses(self, *hosts: str) -> str:
        return ','.join(f'{host}:{self.ports["rpc"]}' for host in hosts)

    def leader(self) -> str | None:
        status = Client((self.addresses(*CONTROL)).split(','), Security()).ask(StatusRequest(), StatusReply)
        return str(status.leader).partition(':')[0] or None


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[ZoneDeployment]:
    with contextlib.ExitStack() as stack:
        running = ZoneDeployment(tmp_path)
        stack.callback(running.stop)
        for address in (*CONTROL, GATEWAY):
            running.start(address)
        assert running.put(configuration(3)) == 200
        running.announce_both(1)
        yield running


class TestFrozenHost:
    def test_call_that_waited_in_its_socket(self, deployment: ZoneDeployment) -> None:
        """Guards against a host that wakes and carries out a restore of before the last evacuation."""
        version = deployment.change_zone('POST', 'b')
        frozen, *others = CONTROL
        os.kill(deployment.processes[frozen].pid, signal.SIGSTOP)
        with socket.create_connection((frozen, deployment.ports['api'])) as operator:
            operator.sendall(b'DELETE /evacuations/b HTTP/1.1\r\nHost: c\r\n\r\n')
            time.sleep(1)
        for method in ('DELETE', 'POST'):
            version = deployment.change_zone(method, 'b', others)
        os.kill(deployment.processes[frozen].pid, signal.SIGCONT)
        until = time.monotonic() + WOKEN_S
        while time.monotonic() < until:
            assert deployment.change_zone('POST', 'b', others) == version
            time.sleep(0.1)


class TestEvacuation:
    def test_evacuate_lose_the_leader_restart_and_restore(
        self, deployment: ZoneDeployment, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against requests to an evacuated zone, also after failures, and a zone never used again."""
        near, far = (
            engine.server_address[1].to_bytes(2).hex().encode()
            for engine in (deployment.engine, deployment.far_engine)
        )
        # The gateway is in zone a, whose engine it prefers.
        wait_for(lambda: deployment.engines() == {near} or None, 'requests to the zone of the gateway')
        assert deployment.change_zone('POST', 'a') == 1
        wait_for(lambda: deployment.engines() == {far} or None, 'an evacuation in force', 5)
        leader = deployment.leader()
        assert leader in CONTROL
        deployment.processes[leader].kill()
        assert deployment.change_zone('POST', 'a') == 1
        deployment.processes[GATEWAY].kill()
        deployment.processes[GATEWAY].wait()
        deployment.start(GATEWAY)
        wait_for(lambda: deployment.exchange()[0] == 200, 'a served request')
        assert deployment.engines() == {far}
        assert deployment.change_zone('POST', 'b') == 2
        wait_for(lambda: deployment.engines() == {b'refused'} or None, 'refusals', 5)
        began = time.monotonic()
        status, body, retry_after = deployment.exchange()
        assert (status, b'evacuated' in body, bool(retry_after)) == (503, True, True)
        assert time.monotonic() - began < 1
        others = [host for host in CONTROL if host != leader]
        options = ('--insecure', '--node', deployment.addresses(*others))
        assert main(['zones', 'restore', 'a', *options]) == 0
        assert main(['zones', 'list', *options]) == 0
        assert 'b ' in capsys.readouterr().out
        wait_for(lambda: deployment.engines() == {near} or None, 'requests to the restored zone', 5)
        assert deployment.change_zone('DELETE', 'b') == 4
        assert deployment.change_zone('POST', 'a') == 5
        wait_for(lambda: deployment.engines() == {far} or None, 'requests to the other restored zone', 5)
