"""A deployment with several gateways in front of engines that serve streams, and load for it."""

import threading
from collections import Counter
from itertools import count
from pathlib import Path

import urllib3

from tests.harness.platform import CONTROL, HTTP, Deployment, configuration
from tests.harness.processes import wait_for
from tests.standins.streaming import Faults, StreamingEngines

GATEWAYS = ('127.77.0.4', '127.77.0.5', '127.77.0.6')
ENGINES = ('127.77.0.11', '127.77.0.12', '127.77.0.13', '127.77.0.14', '127.77.0.15', '127.77.0.16')
FIRST_PART = 'aa'


class StreamingDeployment(Deployment):
    """Three control hosts, three gateways and six engines with faults."""

    gateways = GATEWAYS

    def __init__(self, folder: Path, faults: Faults) -> None:
        """Start the engines."""
        super().__init__(folder)
        engines = [f'{host}:{self.ports["http"]}' for host in ENGINES]
        hosts = [f'{host}:{self.ports["api"]}' for host in CONTROL]
        self.engines = StreamingEngines(engines, hosts, faults)
        self._numbers = count(1)

    def setup(self, **service: float) -> None:
        """Start the processes and wait until all gateways serve; ``service`` is what its entry states."""
        for address in (*CONTROL, *GATEWAYS):
            self.start(address)
        content = configuration(3)
        content['routes'][0].update(type='streaming', resumable=True, max_attempts=2)
        content['services'][0].update(service)
        assert self.put(content) == 200
        wait_for(self.is_serving, 'streams served by all gateways')

    def stop(self) -> None:
        """End all processes and engines."""
        super().stop()
        self.engines.stop()

    def is_serving(self) -> bool:
        """Return whether all gateways serve a stream."""
        return all(self.ask(gateway, FIRST_PART) == 200 for gateway in GATEWAYS)

    def ask(self, gateway: str, *parts: str) -> int:
        """Return the status of a stream whose prompt has these shared parts; 0 if it isn't complete."""
        number = next(self._numbers)
        headers = {
            'Host': 'desk.example',
            'Authorization': 'Token k-1',
            'X-Basilcove-Attempt-Id': f'r-{number}',
            'X-Basilcove-Deadline-Ms': '3000',
            'X-Basilcove-Prefix-Hash': ','.join([f'{part}:40' for part in parts] + [f'{number:x}:600']),
        }
        url = f'http://{gateway}:{self.ports["http"]}/book/x'
        try:
            return HTTP.request('POST', url, headers=headers, body=b'x').status
        except urllib3.exceptions.HTTPError:
            return 0


class Load(threading.Thread):
    """Sends requests with the same shared parts, one after the other, to each gateway in turn."""

    def __init__(self, deployment: StreamingDeployment, interval_s: float, *parts: str) -> None:
        """Send a request each ``interval_s`` at most."""
        super().__init__(daemon=True)
        self._deployment = deployment
        self._interval_s = interval_s
        self._parts = parts
        self._is_ended = threading.Event()
        self.statuses: Counter[int] = Counter()

    def run(self) -> None:
        """Send requests until the load is ended."""
        for number in count():
            if self._is_ended.wait(self._interval_s):
                return
            self.statuses[self._deployment.ask(GATEWAYS[number % len(GATEWAYS)], *self._parts)] += 1

    def end(self) -> Counter[int]:
        """Stop sending and return the number of answers by status."""
        self._is_ended.set()
        self.join()
        return self.statuses
