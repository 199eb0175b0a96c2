import time
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.standins.streaming import Faults
from tests.system.streams import ENGINES, FIRST_PART, Load, StreamingDeployment

LIMIT_PER_S = 1.2
# Time after which all gateways must know what some of them have seen.
CONTACT_S = 3
# In any such window an engine may get one and a half times what its limit allows, and five requests more.
WINDOW_S = 4
MOST_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_S + 5


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[StreamingDeployment]:
    running = StreamingDeployment(tmp_path, Faults(limits_per_s=dict.fromkeys(ENGINES[:3], LIMIT_PER_S)))
    try:
        running.setup()
        yield running
    finally:
        running.stop()


class TestStatedLimit:
    def test_engine_gets_more_requests_than_the_limit_that_it_states(
        self, deployment: StreamingDeployment
    ) -> None:
        """Guards against a limit that each gateway heeds for itself, or none; the load goes elsewhere."""
        loads = [Load(deployment, 0.1, FIRST_PART) for _ in range(4)]
        for load in loads:
            load.start()
        time.sleep(CONTACT_S)
        begun_at = time.monotonic()
        time.sleep(3 * WINDOW_S)
        statuses: Counter[int] = Counter()
        for ended in loads:
            statuses.update(ended.end())
        assert deployment.engines.arrivals.limited
        for times in deployment.engines.arrivals.limited.values():
            late = [at for at in times if at > begun_at]
            most = max((bisect_left(late, at + WINDOW_S) - index for index, at in enumerate(late)), default=0)
            assert 0 < most <= MOST_REQUESTS
        assert statuses[200] > 0.95 * statuses.total()
