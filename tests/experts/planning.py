"""Simulation of the agents of one group that report popularity and plan."""

import functools

from basilcove.core.events import Effect, Message
from basilcove.core.ids import UpstreamName
from basilcove.experts.activation.events import MapWanted
from basilcove.experts.activation.models import Phase
from basilcove.experts.models import Layer, Plan
from basilcove.experts.planner import plan
from basilcove.experts.planning import coordinator as _coordinator  # noqa: F401 (registers the handlers)
from basilcove.experts.planning import reporting as _reporting  # noqa: F401 (registers the handlers)
from basilcove.experts.planning.events import (
    ComputePlan,
    CountsRead,
    GroupShape,
    PlanComputed,
    PlanningAssigned,
    ReadCounts,
)
from basilcove.experts.planning.models import PlanningState, ReportingState
from basilcove.http.counts import parse_rank
from tests.experts.catalog import GROUP
from tests.experts.world import CONTROL, Process, World

INTERVAL_S = 60.0
EXPERTS = 6
EVEN: Layer = ((0, 3), (1, 4), (2, 5))
# Experts 0 and 3 are on the first rank of the even map.
SKEWED = [[4000, 1000, 1000, 4000, 1000, 1000]]
BALANCED = [[1000 for _ in range(EXPERTS)]]


class PlanningWorld(World):
    """Holds plans back until the test finishes them; drops messages of the ``lost`` types."""

    def __init__(self, selections: list[list[int]]) -> None:
        self.lost: set[type[Message]] = set()
        self.plans: list[tuple[Process, ComputePlan]] = []
        self.readings = [0, 0, 0]
        super().__init__()
        self.selections = [selections for _ in self.names]
        self.run(8)
        self.want_even_map()
        self.run(3)

    def start(self, name: str) -> None:
        super().start(name)
        proc = self.processes[name]
        for state in (ReportingState, PlanningState):
            proc.node.add(state(proc.peer.node, proc.peer.incarnation, INTERVAL_S))
        upstreams = tuple(UpstreamName(f'u{index}') for index, _ in enumerate(self.names))
        upstream = upstreams[self.names.index(name)]
        shape = GroupShape(GROUP, 1, EXPERTS, upstreams)
        self.post(proc, PlanningAssigned(upstream, f'http://{name}', shape))

    def restart_engine(self, index: int) -> None:
        super().restart_engine(index)
        self.engines[index].started = 1

    def want_even_map(self) -> None:
        for proc in self.processes.values():
            self.post(proc, MapWanted((EVEN,)))

    @property
    def versions(self) -> set[int]:
        return {engine.status()['active'] for engine in self.engines}

    @property
    def holder(self) -> Process:
        """The process that coordinates the group."""
        holders = [proc for proc in self.processes.values() if proc.activation.phase is Phase.IDLE]
        assert len(holders) == 1
        return holders[0]

    @property
    def merged(self) -> int:
        """All selections in the newest reports at the holder of the lease."""
        merger = self.holder.node.part(PlanningState).merger
        assert merger is not None
        return merger.selections

    def carry_out(self, proc: Process, effect: Effect) -> None:
        if isinstance(effect, ReadCounts):
            index = self.names.index(proc.peer.node)
            self.readings[index] += 1
            if index in self.stalled:
                return
            self.engines[index].select(self.selections[index])
            ranks = tuple(map(parse_rank, self.engines[index].read_counts(index)['ranks']))
            self.at(0.01, functools.partial(self.post, proc, CountsRead(effect.url, ranks)))
        elif isinstance(effect, ComputePlan):
            self.plans.append((proc, effect))
        else:
            super().carry_out(proc, effect)

    def send(self, proc: Process, target: str, message: Message) -> None:
        if not isinstance(message, tuple(self.lost)):
            super().send(proc, target, message)

    def run_until_plan(self) -> None:
        for _ in range(30):
            if self.plans:
                return
            self.run(INTERVAL_S / 6)
        raise AssertionError('no plan was started')

    def finish_plan(self) -> None:
        """Compute the oldest pending plan and post its result."""
        effect = self.plans[0][1]
        self.answer_plan(plan(effect.popularity, effect.current_map, effect.cost))

    def answer_plan(self, answer: Plan) -> None:
        """Post a given result for the oldest pending plan."""
        proc, effect = self.plans.pop(0)
        self.post(proc, PlanComputed(effect.plan_id, answer, 2.0))

    def cut_control(self, *names: str) -> None:
        """Cut off exactly these agents from control."""
        self.cuts = {frozenset((name, CONTROL)) for name in names}
