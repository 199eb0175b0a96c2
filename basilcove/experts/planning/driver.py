"""Computes plans on a separate thread."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from basilcove.core.events import Event
from basilcove.core.runtime import carries_out
from basilcove.experts.planner import plan
from basilcove.experts.planning.events import ComputePlan, PlanComputed, PlanFailed


class PlanRunner:
    """The driver of ``ComputePlan``; computes one plan at a time."""

    def __init__(self, post: Callable[[Event], object]) -> None:
        """Results go to ``post``; the thread starts with the first plan."""
        self._post = post
        self._pool = ThreadPoolExecutor(1, thread_name_prefix='plans')

    def unload(self) -> None:
        """Stop the thread after the plan in progress; cancel queued plans."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def compute(self, effect: ComputePlan) -> None:
        """Queue a plan; one event follows."""
        self._pool.submit(self._run, effect)

    def _run(self, effect: ComputePlan) -> None:
        started = time.monotonic()
        event: Event
        try:
            planned = plan(effect.popularity, effect.current_map, effect.cost)
        except Exception as exc:
            # Without an event the group would never plan again.
            event = PlanFailed(effect.plan_id, repr(exc))
        else:
            event = PlanComputed(effect.plan_id, planned, time.monotonic() - started)
        self._post(event)


@carries_out(ComputePlan, PlanRunner)
def compute_plan(runner: PlanRunner, effect: ComputePlan) -> None:
    """Start a plan."""
    runner.compute(effect)
