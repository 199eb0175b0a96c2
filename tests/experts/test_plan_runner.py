import queue
import threading

import pytest

from basilcove.core.events import Event
from basilcove.experts.models import Cost, ExpertMap, Plan, Popularity
from basilcove.experts.planning import driver
from basilcove.experts.planning.events import ComputePlan, PlanComputed, PlanFailed

_MAP = ExpertMap(1, (((0, 1), (2, 3)),))


def _compute(events: 'queue.Queue[Event]', *shares: float) -> driver.PlanRunner:
    runner = driver.PlanRunner(events.put)
    runner.compute(ComputePlan('p', Popularity((shares,)), _MAP, Cost()))
    return runner


class TestPlanRunner:
    def test_loop_is_not_blocked_while_a_plan_is_computed(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against an event loop that is blocked for the 2 s that a plan may take."""
        may_end = threading.Event()

        def slow_plan(popularity: Popularity, current_map: ExpertMap, cost: Cost) -> Plan:
            if threading.current_thread() is not threading.main_thread():
                assert may_end.wait(30)
            return Plan(current_map)

        monkeypatch.setattr(driver, 'plan', slow_plan)
        events: queue.Queue[Event] = queue.Queue()
        runner = _compute(events, 1, 1, 1, 1)
        assert events.empty()
        may_end.set()
        assert isinstance(events.get(timeout=30), PlanComputed)
        runner.unload()

    def test_plan_that_fails_is_reported(self) -> None:
        """Guards against a group that never plans again after a failed plan."""
        events: queue.Queue[Event] = queue.Queue()
        runner = _compute(events, 1)
        assert isinstance(events.get(timeout=30), PlanFailed)
        runner.unload()
