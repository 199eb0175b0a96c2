from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilcove.catalog.const import MAX_LEASE_S
from basilcove.experts.activation.models import Phase
from tests.experts.world import CONTROL, World

_NAMES = ('a0', 'a1', 'a2')
_AGENTS = st.sampled_from(_NAMES)
_ENGINES = st.integers(0, 2)
_PHASES = (Phase.SETTLING, Phase.PREPARING, Phase.ARMING, Phase.DECIDING)
_RARELY = st.sampled_from([False, False, True])


class ActivationMachine(RuleBasedStateMachine):
    """Agents and engines of a group under faults; the oracle is what the engines ran and took."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.wanted = 0
        self.world.run(8)
        self.want_map()
        self.world.run(2)

    @rule()
    def want_map(self) -> None:
        self.wanted += 1
        self.world.want_map(self.wanted)

    @rule(
        name=_AGENTS,
        phase=st.sampled_from(_PHASES),
        wait_s=st.sampled_from([0, 0.02, 0.05]),
        fault=st.sampled_from(['freeze', 'restart', 'isolate', 'stall', 'engine', 'coordinator']),
    )
    def interrupt_round(self, name: str, phase: Phase, wait_s: float, fault: str) -> None:
        """Bring a fault about while a map is being activated, which other rules rarely hit."""
        self.want_map()
        self.world.run_until(phase)
        self.world.run(wait_s, 0.01)
        world, index = self.world, _NAMES.index(name)
        faults = {
            'freeze': lambda: world.freeze(name, amid_effects=False),
            'restart': lambda: world.start(name),
            'coordinator': lambda: self.restart_coordinator(chance=True),
            'isolate': lambda: world.cuts.update(frozenset((name, other)) for other in (*_NAMES, CONTROL)),
            'stall': lambda: world.stalled.add(index),
            'engine': lambda: world.restart_engine(index),
        }
        faults[fault]()
        self.world.run(3)

    @rule(duration_s=st.sampled_from([0.1, 0.3, 1, 3, 8]))
    def run(self, duration_s: float) -> None:
        self.world.run(duration_s)

    @rule(duration_s=st.sampled_from([20, 20, MAX_LEASE_S + 10]))
    def run_long(self, duration_s: float) -> None:
        self.world.run(duration_s, tick_s=0.5)

    @rule(
        loss=st.sampled_from([0, 0, 0.1, 0.4]),
        duplicates=st.sampled_from([0, 0.3]),
        delay_s=st.sampled_from([0.02, 0.3, 1]),
        seed=st.integers(0, 1000),
    )
    def set_network(self, loss: float, duplicates: float, delay_s: float, seed: int) -> None:
        self.world.loss, self.world.duplicates, self.world.delay_s = loss, duplicates, delay_s
        self.world.random.seed(seed)

    @rule(name=_AGENTS, other=st.sampled_from([*_NAMES, CONTROL, CONTROL]))
    def cut(self, name: str, other: str) -> None:
        self.world.cuts.add(frozenset((name, other)))

    @rule()
    def join(self) -> None:
        self.world.cuts.clear()

    @rule(name=_AGENTS, chance=_RARELY)
    def restart(self, name: str, chance: bool) -> None:
        if chance:
            self.world.start(name)

    @rule(chance=_RARELY)
    def restart_coordinator(self, chance: bool) -> None:
        for name, proc in tuple(self.world.processes.items()):
            if chance and proc.activation.lease is not None:
                self.world.start(name)

    @rule(index=_ENGINES, chance=_RARELY)
    def restart_engine(self, index: int, chance: bool) -> None:
        if chance:
            self.world.restart_engine(index)

    @rule(index=_ENGINES)
    def stall(self, index: int) -> None:
        self.world.stalled.add(index)

    @rule()
    def end_stalls(self) -> None:
        self.world.stalled.clear()

    @rule(name=_AGENTS, amid_effects=st.booleans())
    def freeze(self, name: str, amid_effects: bool) -> None:
        self.world.freeze(name, amid_effects=amid_effects)

    @rule(name=_AGENTS)
    def thaw(self, name: str) -> None:
        self.world.thaw(name)

    @rule(name=_AGENTS, amid_effects=st.booleans(), is_coordinator=st.booleans())
    def sleep(self, name: str, amid_effects: bool, is_coordinator: bool) -> None:
        """Freeze a process until its leases have ended, and let it go on."""
        for holder, proc in self.world.processes.items():
            if is_coordinator and proc.activation.lease is not None:
                name = holder
        self.world.freeze(name, amid_effects=amid_effects)
        self.world.run(20, tick_s=0.5)
        self.world.thaw(name)

    @rule(name=_AGENTS, restarts=st.booleans(), pick=st.integers(0, 9))
    def deliver_old_order(self, name: str, restarts: bool, pick: int) -> None:
        """Deliver an order of a former coordinator, also to an agent that has lost its token."""
        if restarts:
            self.world.start(name)
            self.world.cuts.update(frozenset((name, other)) for other in (*_NAMES, CONTROL))
            self.world.run(8, tick_s=0.5)
        self.world.deliver_old_order(name, pick)

    @rule(pick=st.integers(0, 199))
    def deliver_again(self, pick: int) -> None:
        self.world.deliver_again(pick)

    @invariant()
    def nothing_is_split_or_late(self) -> None:
        assert not self.world.faults, self.world.faults

    def teardown(self) -> None:
        """Heal everything; the group must go on together, on a map that it wanted last."""
        world = self.world
        world.heal()
        world.run(40)
        self.want_map()
        before = min(world.progress)
        world.run(40)
        self.nothing_is_split_or_late()
        assert not any(engine.is_held for engine in world.engines), 'a rank waits for a decision forever'
        assert len({engine.status()['active'] for engine in world.engines}) == 1
        assert min(world.progress) > before, 'the group stands still'
        wanted = [[[self.wanted * 10 + rank] for rank in range(3)]]
        assert world.engines[0].status(wants_layers=True)['layers'] == wanted


TestActivationMachine = ActivationMachine.TestCase
TestActivationMachine.settings = settings(
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
