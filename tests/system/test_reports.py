"""Failures that operators of similar systems reported, brought about with real processes under load."""

import random
import signal
import threading
import time
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import ClassVar

import pytest

from tests.harness.platform import CONTROL, GATEWAY, Deployment, Engine, configuration
from tests.harness.processes import wait_for

CALLERS = 8
LOAD_S = 1.5
# After SIGTERM a gateway ends its work within the grace period of the platform.
GRACE_S = 8
# A new request comes so long after SIGTERM; load balancers may not have noticed the stop yet.
LATE_S = 2.5
# The engine answers requests for it after the grace period only.
HANGING_PATH = '/book/hanging'


class SlowEngine(Engine):
    """Takes a while for each answer, and records the requests that it ran."""

    ran: ClassVar[set[str]] = set()
    rng: ClassVar[random.Random] = random.Random(0)

    def do_POST(self) -> None:
        self.ran.add(self.headers['X-Basilcove-Attempt-Id'])
        time.sleep(GRACE_S if self.path == HANGING_PATH else self.rng.uniform(0.02, 0.3))
        super().do_POST()


class Caller(threading.Thread):
    """Sends requests on one connection, which it keeps open, and on a new one where that was closed."""

    def __init__(self, deployment: Deployment, name: str) -> None:
        super().__init__(daemon=True)
        self.deployment, self.prefix = deployment, name
        self.unanswered: set[str] = set()
        self.answered = 0
        self.is_stopping = threading.Event()

    def run(self) -> None:
        conn = self._connect()
        number = 0
        while not self.is_stopping.is_set():
            number += 1
            request_id = f'{self.prefix}-{number}'
            try:
                self._ask(conn, request_id)
            except (OSError, HTTPException):
                self.unanswered.add(request_id)
                conn.close()
                conn = self._connect()
                time.sleep(0.05)

    def _connect(self) -> HTTPConnection:
        return HTTPConnection(GATEWAY, self.deployment.ports['http'], timeout=6)

    def _ask(self, conn: HTTPConnection, request_id: str) -> None:
        self.answered += self.send(conn, request_id, '/book/x') == 200

    def send(self, conn: HTTPConnection, request_id: str, path: str, deadline_ms: int = 5000) -> int:
        """Return the status of the answer; OSError or HTTPException without one."""
        headers = {
            'Host': 'desk.example',
            'Authorization': 'Token k-1',
            'X-Basilcove-Attempt-Id': request_id,
            'X-Basilcove-Deadline-Ms': str(deadline_ms),
        }
        conn.request('POST', path, b'x', headers)
        answer = conn.getresponse()
        answer.read()
        return answer.status


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    running = Deployment(tmp_path)
    running.engine.RequestHandlerClass = SlowEngine
    SlowEngine.ran.clear()
    try:
        for address in (*CONTROL, GATEWAY):
            running.start(address)
        assert running.put(configuration(3)) == 200
        running.announce(1)
        wait_for(lambda: running.send_request() == 200, 'a served request')
        yield running
    finally:
        running.stop()


class TestPlannedStop:
    @pytest.mark.parametrize('seed', [1, 2])
    def test_requests_in_progress_are_answered(self, deployment: Deployment, seed: int) -> None:
        """Guards against requests that are cut off without an answer because they came just before a stop."""
        SlowEngine.rng.seed(seed)
        callers = [Caller(deployment, f'c{number}') for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(LOAD_S + random.Random(seed).random())
        process = deployment.processes[GATEWAY]
        process.send_signal(signal.SIGTERM)
        process.wait(GRACE_S)
        for caller in callers:
            caller.is_stopping.set()
        for caller in callers:
            caller.join(GRACE_S)
        assert sum(caller.answered for caller in callers) > CALLERS
        unanswered: set[str] = set().union(*(each.unanswered for each in callers))
        assert not unanswered & SlowEngine.ran

    def test_late_booking_gets_an_answer(self, deployment: Deployment) -> None:
        """Guards against a booking that is taken after the stop request and ends without an answer."""
        content = configuration(4)
        content['routes'][0]['timeout_ms'] = 1000 * GRACE_S
        assert deployment.put(content) == 200
        caller = Caller(deployment, 'late')
        process = deployment.processes[GATEWAY]
        process.send_signal(signal.SIGTERM)
        time.sleep(LATE_S)
        conn = HTTPConnection(GATEWAY, deployment.ports['http'], timeout=GRACE_S)
        assert caller.send(conn, 'late-1', HANGING_PATH, 1000 * GRACE_S) == 504
        assert process.wait(GRACE_S) == 0
        assert 'late-1' in SlowEngine.ran


class TestRestarts:
    @pytest.mark.parametrize('restarted', [(GATEWAY,), CONTROL, (GATEWAY, *CONTROL)])
    def test_what_has_left_stays_away(self, deployment: Deployment, restarted: tuple[str, ...]) -> None:
        """Guards against a withdrawn key, or an engine that has left, in use again after a restart."""
        deployment.put(configuration(5, key='k-2'))
        wait_for(lambda: deployment.send_request() == 401, 'a withdrawn key')
        deployment.announce(7, state='draining')
        wait_for(lambda: deployment.send_request(key='k-2') == 503, 'an engine that drains')
        for address in restarted:
            deployment.processes[address].kill()
            deployment.processes[address].wait()
        for address in restarted:
            deployment.start(address, first=False)
        # A call that the engine sent before it left arrives late, after the start.
        deployment.announce(8, state='draining')
        for host in CONTROL:
            deployment.call(host, 'PUT', '/instances/i-1', _late_call(deployment))
        statuses = []
        ends_at = time.monotonic() + 5
        while time.monotonic() < ends_at:
            statuses.append((deployment.send_request(), deployment.send_request(key='k-2')))
            time.sleep(0.1)
        assert {old for old, _ in statuses} <= {0, 401, 503}
        assert statuses[-1][0] == 401
        assert {new for _, new in statuses} <= {0, 503}


def _late_call(deployment: Deployment) -> dict[str, object]:
    return {
        'service': 'desk',
        'address': f'127.0.0.1:{deployment.engine.server_address[1]}',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        'sequence': 6,
        'born': 1,
    }
