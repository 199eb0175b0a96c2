import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness.processes import wait_for
from tests.standins.streaming import EVENTS, Faults
from tests.system.streams import FIRST_PART, GATEWAYS, Load, StreamingDeployment

DEADLY_PART = 'bb'
# Time after which all gateways must know what some of them have seen.
CONTACT_S = 3
# After so many crashes and the contact time, so many requests with the part may still reach engines.
MAX_CRASHES = 5
MAX_LATE_REQUESTS = 3


@pytest.fixture
def deployment(tmp_path: Path, deadly_events: int) -> Iterator[StreamingDeployment]:
    running = StreamingDeployment(tmp_path, Faults(deadly_part=DEADLY_PART, deadly_events=deadly_events))
    try:
        running.setup()
        yield running
    finally:
        running.stop()


class TestDeadlyPart:
    # Before the first event, after it, and after the last one before the end of the answer.
    @pytest.mark.parametrize('deadly_events', [0, 1, EVENTS])
    def test_requests_with_one_part_crash_engines_one_after_the_other(
        self, deployment: StreamingDeployment
    ) -> None:
        """Guards against requests that share a part of their prompt and crash engine after engine."""
        sound = Load(deployment, 0.05, FIRST_PART)
        deadly = [Load(deployment, 0.1, FIRST_PART, DEADLY_PART) for _ in range(2)]
        for load in (sound, *deadly):
            load.start()
        time.sleep(8)
        restarted = deployment.processes[GATEWAYS[0]]
        restarted.kill()
        restarted.wait()
        deployment.start(GATEWAYS[0], first=False)
        wait_for(lambda: deployment.ask(GATEWAYS[0], FIRST_PART) == 200, 'the restarted gateway to serve')
        time.sleep(2)
        served = sound.end()
        for load in deadly:
            assert not load.end()[200]
        crashes = deployment.engines.arrivals.crashes
        assert crashes, 'no request with the part has begun'
        if len(crashes) >= MAX_CRASHES:
            bound_s = crashes[MAX_CRASHES - 1] + CONTACT_S
            late = [at for at in deployment.engines.arrivals.deadly if at > bound_s]
            assert len(late) <= MAX_LATE_REQUESTS, f'{len(crashes)} crashes, {len(late)} late requests'
        assert served[200] > served.total() / 2
