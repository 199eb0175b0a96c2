import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from tests.harness.platform import CONTROL, HTTP, Deployment, Engine, configuration
from tests.harness.processes import wait_for

GATEWAYS = ('127.77.0.4', '127.77.0.5')
MEMORY = 10_000
LONG, SHORT = '6000,1000', '500,100'
TIMEOUT_S = 20


class HoldingEngine(Engine):
    """Answers long requests only when it is told to."""

    released = threading.Event()

    def do_POST(self) -> None:
        """Answer at once, or after the release."""
        if self.headers['X-Basilcove-Token-Usage'] == LONG:
            self.released.wait(TIMEOUT_S)
        super().do_POST()


class TwoGateways(Deployment):
    """Two gateways, and an engine whose memory is stated."""

    gateways = GATEWAYS

    def __init__(self, folder: Path) -> None:
        """Start an engine that holds long requests."""
        super().__init__(folder)
        self.engine.RequestHandlerClass = HoldingEngine

    def is_serving(self) -> bool:
        """Return whether all gateways serve short requests."""
        return all(self.ask(gateway, SHORT) == 200 for gateway in GATEWAYS)

    def ask(self, gateway: str, usage: str) -> int:
        """Return the status of a request that states its tokens; 0 without an answer."""
        headers = {
            'Host': 'desk.example',
            'Authorization': 'Token k-1',
            'X-Basilcove-Attempt-Id': f'r-{usage}',
            'X-Basilcove-Token-Usage': usage,
        }
        url = f'http://{gateway}:{self.ports["http"]}/book/x'
        try:
            return HTTP.request('POST', url, headers=headers, body=b'x', timeout=TIMEOUT_S).status
        except urllib3.exceptions.HTTPError:
            return 0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[TwoGateways]:
    running = TwoGateways(tmp_path)
    HoldingEngine.released.clear()
    try:
        for address in (*CONTROL, *GATEWAYS):
            running.start(address)
        content = configuration(1)
        content['routes'][0]['timeout_ms'] = TIMEOUT_S * 1000
        content['services'][0]['engine'] = {'kv_capacity': MEMORY}
        assert running.put(content) == 200
        running.announce(1)
        wait_for(running.is_serving, 'answers of both gateways')
        yield running
    finally:
        HoldingEngine.released.set()
        running.stop()


class TestMemory:
    def test_gateways_count_each_others_tokens(self, deployment: TwoGateways) -> None:
        """Guards against a setting, header or count that doesn't get from one process to the next."""
        statuses: list[int] = []
        holder = threading.Thread(target=lambda: statuses.append(deployment.ask(GATEWAYS[0], LONG)))
        holder.start()
        wait_for(lambda: deployment.ask(GATEWAYS[1], '9000,0') == 503, 'a refusal by the other gateway')
        assert deployment.ask(GATEWAYS[1], SHORT) == 200
        HoldingEngine.released.set()
        holder.join()
        assert statuses == [200]
        wait_for(lambda: deployment.ask(GATEWAYS[1], '9000,0') == 200, 'an answer after the release')
