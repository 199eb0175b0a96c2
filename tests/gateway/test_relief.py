from collections.abc import Iterable
from http import HTTPStatus

from basilcove.core.events import Effect, Received
from basilcove.core.ids import InstanceId
from basilcove.gateway.config import RetryConfig
from basilcove.gateway.const import MIN_ATTEMPT_S, SLOW_LIFETIME_S
from basilcove.gateway.events import AttemptResult, MoveAttempt, Refuse, StartAttempt
from basilcove.gateway.messages import SlowInstances
from basilcove.registry.messages import RegistrationState
from tests.gateway.world import CONTROL, SLOTS, World, only_start, registration, starts


def report_slow(world: World, *names: str) -> list[Effect]:
    msg = SlowInstances(tuple(InstanceId(name) for name in names))
    return world.apply(Received(CONTROL, msg))


def moves(effects: Iterable[Effect]) -> list[MoveAttempt]:
    return [effect for effect in effects if isinstance(effect, MoveAttempt)]


def instances(attempts: Iterable[StartAttempt]) -> set[str]:
    return {start.instance for start in attempts}


class TestNewRequests:
    def test_go_elsewhere_while_an_upstream_is_slow(self) -> None:
        """Guards against requests for which a whole group waits."""
        world = World('up-1', 'up-2')
        report_slow(world, 'up-1')
        attempts = [next(starts(world.ask())) for _ in range(SLOTS)]
        assert instances(attempts) == {'up-2'}

    def test_return_with_the_next_message_or_after_some_seconds(self) -> None:
        """Guards against an upstream that gets no more requests, for example when the leader dies."""
        world = World('up-1', 'up-2')
        report_slow(world, 'up-1')
        report_slow(world)
        assert instances(next(starts(world.ask())) for _ in range(4)) == {'up-1', 'up-2'}
        report_slow(world, 'up-1', 'up-2')
        report_slow(world, 'up-2')
        world.now += SLOW_LIFETIME_S
        assert instances(next(starts(world.ask())) for _ in range(4)) == {'up-1', 'up-2'}

    def test_go_to_a_slow_upstream_where_there_is_no_other(self) -> None:
        """Guards against refusals although an upstream can serve."""
        world = World('up-1')
        report_slow(world, 'up-1')
        assert only_start(world.ask()).instance == 'up-1'


class TestStreams:
    def test_resume_at_another_upstream(self) -> None:
        """Guards against streams of a slow rank that delay all others until they end."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        assert moves(report_slow(world, first.instance)) == [MoveAttempt(first.key)]
        second = only_start(world.end(first, AttemptResult.MOVED, last_event='7'))
        assert (second.instance != first.instance, second.last_event) == (True, '7')

    def test_that_move_are_no_failures_of_their_upstream(self) -> None:
        """Guards against a slow upstream that counts as failing for some seconds."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        report_slow(world, first.instance)
        world.end(first, AttemptResult.MOVED)
        assert not world.state.pools.by_instance[first.instance].failure_share(world.now)

    def test_move_as_far_as_others_have_free_slots(self) -> None:
        """Guards against streams that all move to the same few slots and wait there, or are refused."""
        world = World('up-1', 'up-2', 'up-3')
        world.register(registration('up-1', 2, slots=200), registration('up-2', 2, slots=20))
        world.register(registration('up-3', 2, slots=20, standing=RegistrationState.DRAINING))
        world.report_others({'up-2': 200})
        for _ in range(100):
            assert only_start(world.ask('/brief/x')).instance == 'up-1'
        world.report_others({'up-1': 100, 'up-2': 0})
        moved = len(moves(report_slow(world, 'up-1')))
        # Another gateway has as many streams there and decides in the same way.
        assert 4 <= moved <= 16

    def test_without_time_after_a_move_are_answered_as_lost(self) -> None:
        """Guards against an answer that states that a stream did not run although it did."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x', timeout_s=1))
        assert moves(report_slow(world, first.instance))
        world.now += 1 - MIN_ATTEMPT_S / 2
        refusals = [each for each in world.end(first, AttemptResult.MOVED) if isinstance(each, Refuse)]
        assert [refusal.status for refusal in refusals] == [HTTPStatus.BAD_GATEWAY]

    def test_are_moved_once(self) -> None:
        """Guards against a retry budget that each message of the leader charges again."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        assert moves(report_slow(world, first.instance))
        assert not moves(report_slow(world, first.instance))

    def test_that_are_not_retryable_stay(self) -> None:
        """Guards against a call or stream that runs twice."""
        world = World('up-1', 'up-2')
        for path in ('/once/x', '/book/x', '/lookup/x'):
            first = only_start(world.ask(path))
            assert not moves(report_slow(world, first.instance))
            report_slow(world)

    def test_stay_without_a_free_slot_elsewhere(self) -> None:
        """Guards against streams that are interrupted only to wait at a full upstream."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        other = 'up-2' if first.instance == 'up-1' else 'up-1'
        world.report_others({other: SLOTS + 1})
        assert not moves(report_slow(world, first.instance))
        assert not moves(report_slow(world, 'up-1', 'up-2'))

    def test_stay_without_budget(self) -> None:
        """Guards against moves beyond the retry budget that all gateways share."""
        world = World('up-1', 'up-2', retries=RetryConfig(base=0, ratio=0))
        first = only_start(world.ask('/brief/x'))
        assert not moves(report_slow(world, first.instance))
