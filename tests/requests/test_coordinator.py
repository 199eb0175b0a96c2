import pytest

from basilcove.core.events import StopRequested
from basilcove.core.ids import Outcome
from basilcove.requests.const import STOP_TIMEOUT_S
from basilcove.requests.limits import TeamLimits
from tests.requests.network import World
from tests.requests.samples import RETRY_SHARE, answer_parts, make_environment, make_request

IN_PROGRESS = 'a call with this key is in progress'


class TestAnswers:
    def test_each_kind_of_request_gets_its_complete_answer(self) -> None:
        """Guards against a kind of request that fails even without any fault."""
        world = World(make_environment())
        names = ('stream', 'model', 'lookup', 'charge')
        callers = [world.arrive('e0', make_request(f'r-{kind}', kind)) for kind in names]
        callers.append(world.arrive('e1', make_request('r-key', 'charge', key='k')))
        world.run(2)
        for caller in callers:
            assert (caller.end, caller.runs) == ('whole', 1)
            assert caller.body == b''.join(answer_parts(caller.request.body))


class TestRetries:
    def test_stream_is_resumed_without_a_token_lost_or_doubled(self) -> None:
        """Guards against a broken stream that restarts from the beginning, or continues with a gap."""
        world = World(make_environment(), entries=1)
        world.pace_s = 0.1
        callers = [world.arrive('e0', make_request(name, 'stream')) for name in ('c', 'h', 'm')]
        world.run(0.35)
        assert all(caller.body and caller.end is None for caller in callers)
        world.break_link(('e0', 'a0'))
        world.run(2)
        for caller in callers:
            assert caller.end == 'whole'
            assert caller.body == b''.join(answer_parts(caller.request.body))
        assert sorted(caller.runs for caller in callers) == [1, 1, 2]

    def test_retries_stay_within_the_budget_when_every_upstream_refuses(self) -> None:
        """Guards against retries that amplify a flood."""
        world = World(make_environment(), entries=1)
        world.mode = dict.fromkeys(world.mode, 'refuse')
        callers = []
        for index in range(200):
            callers.append(world.arrive('e0', make_request(f'r{index}')))
            world.run(0.05)
        world.run(1)
        assert {caller.refusal.outcome for caller in callers} == {Outcome.NOT_RUN}
        sent = world.processes['e0'].sent
        assert sent['first'] == 200
        assert 0 < sent['retry'] <= RETRY_SHARE * 200

    def test_attempt_that_waits_too_long_moves(self) -> None:
        """Guards against a request that waits for a full upstream while another is idle."""
        world = World(make_environment(), entries=1, agents=2)
        world.mode[0] = 'stall'
        world.break_link(('e0', 'a1'))
        blocking = [world.arrive('e0', make_request(f'b{index}', 'charge', 30)) for index in range(2)]
        waiting = world.arrive('e0', make_request('w', 'charge', 8))
        world.run(4.5)
        assert (waiting.end, waiting.runs) == ('whole', 1)
        assert all(caller.end is None for caller in blocking)

    def test_leaving_upstream_ends_no_request(self) -> None:
        """Guards against a planned stop that causes refusals once the retry budget is spent."""
        world = World(make_environment(), entries=1)
        world.pace_s = 0.5
        callers = [world.arrive('e0', make_request(f'r{index}', timeout_s=60)) for index in range(30)]
        world.run(0.1)
        world.leave('a0')
        world.run(60)
        assert {caller.end for caller in callers} == {'whole'}


class TestOutcome:
    def test_attempt_barred_at_the_deadline_never_runs(self) -> None:
        """Guards against a request that is refused as not run, but runs later."""
        world = World(make_environment(), entries=1, agents=1)
        world.pace_s = 1
        callers = [world.arrive('e0', make_request(f'r{index}', 'charge', 0.5)) for index in range(3)]
        world.run(1)
        assert [caller.refusal and caller.refusal.outcome for caller in callers] == [
            Outcome.UNKNOWN, Outcome.UNKNOWN, Outcome.NOT_RUN,
        ]  # fmt: skip
        world.run(20)
        assert [caller.runs for caller in callers] == [1, 1, 0]

    def test_caller_gone_ends_only_its_repeatable_call(self) -> None:
        """Guards against work that no caller waits for, and against bookings that a disconnect interrupts."""
        world = World(make_environment(), entries=1, agents=1)
        world.pace_s = 1
        callers = [world.arrive('e0', make_request(kind, kind)) for kind in ('model', 'charge')]
        world.run(0.1)
        for caller in callers:
            world.hang_up(caller)
        world.run(0.1)
        running = world.processes['a0'].agent.running.values()
        assert [attempt.start.request_id for attempt in running] == ['charge']
        assert not world.processes['e0'].entry.requests

    def test_planned_stop_finishes_requests_within_the_timeout(self) -> None:
        """Guards against a stop that interrupts answers, or that never ends."""
        world = World(make_environment(), entries=1)
        world.pace_s = 0.5
        former = world.processes['e0']
        first = world.arrive('e0', make_request('first'))
        world.post(former, StopRequested())
        late = world.arrive('e0', make_request('late'))
        assert not former.entry.is_ready
        world.run(6)
        assert (first.end, late.refusal.outcome, late.runs) == ('whole', Outcome.NOT_RUN, 0)
        assert former.entry.stop_completed
        world.pace_s = 100
        current = world.processes['e0']
        slow = world.arrive('e0', make_request('slow', 'charge', timeout_s=90))
        world.run(0.1)
        world.post(current, StopRequested())
        world.run(STOP_TIMEOUT_S + 0.1)
        assert slow.refusal.outcome is Outcome.UNKNOWN
        assert current.entry.stop_completed


class TestTeamLimits:
    def test_refusal_states_the_time_to_wait(self) -> None:
        """Guards against one team that uses all of an entry's capacity, and against a wrong Retry-After."""
        team = make_environment(max_concurrent=5, rate=2).teams['kiosk']
        limits = TeamLimits()
        refusals = [limits.admit('kiosk', team, 0) for _index in range(3)]
        assert refusals[:2] == [None, None]
        assert (refusals[2].status, refusals[2].outcome, refusals[2].retry_after_s) == (
            429,
            Outcome.NOT_RUN,
            0.5,
        )
        assert [limits.admit('kiosk', team, now) for now in (1, 1, 2)] == [None, None, None]
        assert 'in flight' in limits.admit('kiosk', team, 9).reason
        limits.release('kiosk')
        assert limits.admit('kiosk', team, 9) is None


class TestKeyedCalls:
    @pytest.mark.parametrize(
        ('died_at_s', 'fault', 'reason', 'runs'),
        [
            pytest.param(0.005, 'before', None, 1, id='before_the_claim_is_recorded'),
            pytest.param(0.015, '', IN_PROGRESS, 0, id='before_the_call_is_sent'),
            pytest.param(0.035, '', IN_PROGRESS, 1, id='before_the_answer_is_recorded'),
            pytest.param(0.5, 'silent', None, 1, id='before_the_caller_has_the_answer'),
        ],
    )
    def test_second_request_has_a_defined_outcome(
        self, died_at_s: float, fault: str, reason: str | None, runs: int
    ) -> None:
        """Guards against a second run of a booking, at whichever point the entry died."""
        world = World(make_environment())
        first = world.arrive('e0', make_request('first', 'charge', key='k'))
        world.at(0.025 if fault == 'silent' else 0, lambda: setattr(world.claims, 'fault', fault))
        world.run(died_at_s, tick_s=0.005)
        world.kill('e0')
        world.run(3)
        world.claims.fault = ''
        second = world.arrive('e1', make_request('second', 'charge', key='k'))
        world.run(1)
        assert first.end == 'died'
        assert world.key_runs['k'] == runs
        if reason is None:
            assert (second.end, second.body) == ('whole', b''.join(answer_parts(b'k')))
        else:
            assert (second.refusal.outcome, second.refusal.reason) == (Outcome.UNKNOWN, reason)

    def test_lost_call_is_never_run_again(self) -> None:
        """Guards against a key that is freed although its call may have run."""
        world = World(make_environment())
        world.pace_s = 1
        first = world.arrive('e0', make_request('first', 'charge', key='k'))
        world.run(0.5)
        for agent in world.agent_names:
            world.break_link(('e0', agent))
        world.run(1)
        second = world.arrive('e1', make_request('second', 'charge', key='k'))
        world.run(5)
        assert {caller.refusal.outcome for caller in (first, second)} == {Outcome.UNKNOWN}
        assert 'is unknown' in second.refusal.reason
        assert world.key_runs['k'] == 1

    def test_late_grant_frees_the_key(self) -> None:
        """Guards against a key that stays claimed although its request was refused as not run."""
        world = World(make_environment())
        world.claims.fault = 'after'
        first = world.arrive('e0', make_request('first', 'charge', key='k'))
        world.run(1)
        assert (first.refusal.outcome, first.runs) == (Outcome.NOT_RUN, 0)
        world.claims.fault = ''
        second = world.arrive('e1', make_request('second', 'charge', key='k'))
        gone = world.arrive('e0', make_request('gone', 'charge', key='other'))
        world.hang_up(gone)
        world.run(1)
        assert second.end == 'whole'
        assert all(claim.answer for claim in world.claims.by_key.values())
