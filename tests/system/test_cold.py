import time
from bisect import bisect_left
from collections.abc import Iterator
from pathlib import Path

import pytest

from basilcove.throttling.const import START_WINDOW_S
from tests.harness.platform import CONTROL
from tests.standins.streaming import Faults
from tests.system.streams import ENGINES, FIRST_PART, GATEWAYS, Load, StreamingDeployment

COLD_PER_S = 2
COLD_S = 6.0
MOST_IN_A_SECOND = 1.5 * COLD_PER_S + 5


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[StreamingDeployment]:
    running = StreamingDeployment(tmp_path, Faults())
    try:
        running.setup(cold_per_s=COLD_PER_S, cold_start_s=COLD_S)
        yield running
    finally:
        running.stop()


class TestColdEngines:
    def test_engines_that_become_cold_under_load(self, deployment: StreamingDeployment) -> None:
        """Guards against the usual load at cold engines while a control host and a gateway restart."""
        time.sleep(START_WINDOW_S)
        loads = [Load(deployment, 0.01, FIRST_PART) for _ in range(8)]
        for load in loads:
            load.start()
        cold = [f'{host}:{deployment.ports["http"]}' for host in ENGINES[:3]]
        time.sleep(2)
        for number, address in enumerate(cold):
            deployment.engines.chill(address, COLD_S)
            if number == 1:
                deployment.processes[CONTROL[0]].kill()
                deployment.start(CONTROL[0], first=False)
            if number == 2:
                deployment.processes[GATEWAYS[0]].kill()
                deployment.start(GATEWAYS[0])
            time.sleep(COLD_S / 3)
        time.sleep(COLD_S)
        for load in loads:
            load.end()
        for address in cold:
            times = deployment.engines.arrivals.cold[address]
            most = max((bisect_left(times, at + 1) - index for index, at in enumerate(times)), default=0)
            assert 0 < most <= MOST_IN_A_SECOND
            assert len(times) <= COLD_PER_S * COLD_S + MOST_IN_A_SECOND
