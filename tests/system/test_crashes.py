import threading
import time
from collections import Counter
from collections.abc import Iterator
from itertools import count
from pathlib import Path

import pytest
import urllib3

from tests.harness.platform import CONTROL, HTTP, Deployment, configuration
from tests.harness.processes import wait_for
from tests.standins.crashing import CrashingEngines

GATEWAYS = ('127.77.0.4', '127.77.0.5', '127.77.0.6')
ENGINES = ('127.77.0.11', '127.77.0.12', '127.77.0.13', '127.77.0.14', '127.77.0.15', '127.77.0.16')
FIRST_PART = 'aa'
DEADLY_PART = 'bb'
# Time after which all gateways must know what some of them have seen.
CONTACT_S = 3
# After so many crashes and the contact time, so many requests with the part may still reach engines.
MAX_CRASHES = 5
MAX_LATE_REQUESTS = 3


class Plant(Deployment):
    """Three control hosts, three gateways and six engines that a part of prompts crashes."""

    gateways = GATEWAYS

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        engines = [f'{host}:{self.ports["http"]}' for host in ENGINES]
        hosts = [f'{host}:{self.ports["api"]}' for host in CONTROL]
        self.engines = CrashingEngines(engines, hosts, DEADLY_PART)
        self._numbers = count(1)

    def stop(self) -> None:
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

    def __init__(self, plant: Plant, interval_s: float, *parts: str) -> None:
        super().__init__(daemon=True)
        self._plant = plant
        self._interval_s = interval_s
        self._parts = parts
        self._is_ended = threading.Event()
        self.statuses: Counter[int] = Counter()

    def run(self) -> None:
        for number in count():
            if self._is_ended.wait(self._interval_s):
                return
            self.statuses[self._plant.ask(GATEWAYS[number % len(GATEWAYS)], *self._parts)] += 1

    def end(self) -> Counter[int]:
        self._is_ended.set()
        self.join()
        return self.statuses


@pytest.fixture
def plant(tmp_path: Path) -> Iterator[Plant]:
    running = Plant(tmp_path)
    try:
        for address in (*CONTROL, *GATEWAYS):
            running.start(address)
        content = configuration(3)
        content['routes'][0].update(type='streaming', resumable=True, max_attempts=2)
        assert running.put(content) == 200
        wait_for(running.is_serving, 'streams served by all gateways')
        yield running
    finally:
        running.stop()


class TestDeadlyPart:
    def test_requests_with_one_part_crash_engines_one_after_the_other(self, plant: Plant) -> None:
        """Guards against requests that share a part of their prompt and crash engine after engine."""
        sound = Load(plant, 0.05, FIRST_PART)
        deadly = [Load(plant, 0.1, FIRST_PART, DEADLY_PART) for _ in range(2)]
        for load in (sound, *deadly):
            load.start()
        time.sleep(8)
        restarted = plant.processes[GATEWAYS[0]]
        restarted.kill()
        restarted.wait()
        plant.start(GATEWAYS[0], first=False)
        wait_for(lambda: plant.ask(GATEWAYS[0], FIRST_PART) == 200, 'the restarted gateway to serve')
        time.sleep(2)
        served = sound.end()
        for load in deadly:
            assert not load.end()[200]
        crashes = plant.engines.arrivals.crashes
        if len(crashes) >= MAX_CRASHES:
            bound_s = crashes[MAX_CRASHES - 1] + CONTACT_S
            late = [at for at in plant.engines.arrivals.deadly if at > bound_s]
            assert len(late) <= MAX_LATE_REQUESTS, f'{len(crashes)} crashes, {len(late)} late requests'
        assert served[200] > served.total() / 2
