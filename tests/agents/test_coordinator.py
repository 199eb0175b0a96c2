import pytest

from basilcove.agents import memory
from basilcove.agents.const import LEAVING_GRACE_S, MEMORY_S, PROGRESS_TIMEOUT_S
from basilcove.agents.coordinator import current_load
from basilcove.core.events import Received, StopRequested
from basilcove.core.ids import Outcome
from basilcove.requests.messages import AttemptFailed, CancelAttempt, StartAttempt
from tests.requests.network import World
from tests.requests.samples import make_environment, make_request


@pytest.fixture
def world() -> World:
    """One entry and one agent with two slots."""
    return World(make_environment(), entries=1, agents=1)


def _agent(world: World):
    return world.processes['a0'].agent


def _arrive(world: World, count: int, kind: str = 'model'):
    return [world.arrive('e0', make_request(f'{kind}{index}', kind)) for index in range(count)]


class TestLoad:
    def test_reported_speed_is_that_of_all_slots(self, world: World) -> None:
        """Guards against routing that mistakes a lightly loaded upstream for a slow one."""
        world.pace_s = 0.5
        _arrive(world, 1)
        world.run(5)
        alone = current_load(_agent(world)).tokens_per_s
        assert alone > 0
        world.arrive('e0', make_request('next'))
        world.run(0.1)
        busy = current_load(_agent(world))
        assert busy.tokens_per_s == alone
        assert busy.queued_work > 0
        assert dict(busy.work_by_level)[1] == busy.queued_work


class TestLeaving:
    def test_frozen_agent_starts_nothing_after_the_grace_period(self, world: World) -> None:
        """Guards against a call that ends during a freeze, after which the thawed agent starts another."""
        callers = _arrive(world, 4)
        world.run(0.02)
        world.leave('a0')
        world.freeze('a0')
        world.run(LEAVING_GRACE_S + 0.2)
        world.thaw('a0')
        world.run(1)
        assert [(caller.end, caller.runs) for caller in callers] == [
            ('whole', 1), ('whole', 1), ('refused', 0), ('refused', 0),
        ]  # fmt: skip

    def test_planned_stop_finishes_running_calls_within_the_timeout(self, world: World) -> None:
        """Guards against a stop that interrupts calls, or that waits forever for a silent call."""
        world.pace_s = 0.5
        first = _arrive(world, 1)[0]
        world.run(0.1)
        former = world.processes['a0']
        world.post(former, StopRequested())
        late = world.arrive('e0', make_request('late'))
        world.run(8)
        assert first.end == 'whole'
        assert (late.refusal.outcome, late.runs) == (Outcome.NOT_RUN, 0)
        assert former.agent.stop_completed
        world.mode[0] = 'stall'
        current = world.processes['a0']
        charge = world.arrive('e0', make_request('charge', 'charge', timeout_s=100))
        world.run(0.1)
        current.agent.config = current.agent.config.model_copy(
            update={'progress_timeout_s': 90, 'stop_timeout_s': 3}
        )
        world.post(current, StopRequested())
        world.run(3.1)
        assert (charge.runs, charge.end) == (1, 'broken')
        assert current.agent.stop_completed


class TestMemory:
    @pytest.mark.parametrize('is_bounded_by_number', [True, False])
    def test_attempt_older_than_the_memory_is_not_run(
        self, world: World, monkeypatch: pytest.MonkeyPatch, is_bounded_by_number: bool
    ) -> None:
        """Guards against a late duplicate that runs again once its first run was evicted."""
        if is_bounded_by_number:
            monkeypatch.setattr(memory, 'MAX_REMEMBERED_ATTEMPTS', 0)
        caller = _arrive(world, 1)[0]
        world.run(1 if is_bounded_by_number else MEMORY_S + 1, tick_s=0.5)
        assert not len(_agent(world).memory)
        _name, event = next(item for item in world.history if isinstance(item[1].message, StartAttempt))
        world.receive(world.processes['a0'], event)
        world.run(1)
        assert caller.runs == 1
        assert isinstance(world.history[-1][1].message, AttemptFailed)


class TestCancel:
    def test_cancel_only_if_waiting_does_not_end_a_running_call(self, world: World) -> None:
        """Guards against a booking that is interrupted because it started before the cancel arrived."""
        world.pace_s = 0.5
        caller = _arrive(world, 1, 'charge')[0]
        world.run(0.1)
        attempt_id = next(iter(_agent(world).running))
        start = _agent(world).running[attempt_id].start
        cancel = CancelAttempt(attempt_id, start.number, start.incarnation, only_if_waiting=True)
        world.receive(world.processes['a0'], Received(world.processes['e0'].peer, cancel))
        world.run(5)
        assert caller.end == 'whole'

    def test_lost_entry_ends_only_its_repeatable_calls(self, world: World) -> None:
        """Guards against slots in use for a lost entry, and against bookings that its loss interrupts."""
        world.pace_s = 1
        _arrive(world, 1)
        _arrive(world, 1, 'charge')
        world.run(0.1)
        world.break_link(('e0', 'a0'))
        running = _agent(world).running.values()
        assert [attempt.start.request_id for attempt in running] == ['charge0']

    def test_silent_upstream_loses_its_slot(self, world: World) -> None:
        """Guards against slots that a silent upstream occupies until the deadline."""
        world.mode[0] = 'stall'
        caller = world.arrive('e0', make_request('r', 'charge', timeout_s=60))
        world.run(PROGRESS_TIMEOUT_S + 0.5)
        assert caller.end == 'broken'
        assert not _agent(world).running
