from collections.abc import Iterable
from http import HTTPStatus

from basilcove.core.events import Effect, Received
from basilcove.core.ids import InstanceId
from basilcove.gateway.config import RetryConfig
from basilcove.gateway.const import MIN_ATTEMPT_S, SLOW_LIFETIME_S
from basilcove.gateway.events import AttemptResult, MoveAttempt, Refuse, StartAttempt
from basilcove.gateway.messages import SlowInstances
from basilcove.registry.messages import Standing
from tests.gateway.world import CONTROL, SLOTS, World, only_start, registration, starts


def slow(world: World, *names: str) -> list[Effect]:
    msg = SlowInstances(tuple(InstanceId(name) for name in names))
    return world.apply(Received(CONTROL, msg))


def moves(effects: Iterable[Effect]) -> list[MoveAttempt]:
    return [effect for effect in effects if isinstance(effect, MoveAttempt)]


def instances(found: Iterable[StartAttempt]) -> set[str]:
    return {start.instance for start in found}


class TestNewRequests:
    def test_go_elsewhere_while_an_upstream_is_slow(self) -> None:
        """Guards against requests for which a whole group waits."""
        world = World('up-1', 'up-2')
        slow(world, 'up-1')
        found = [next(starts(world.ask())) for _ in range(SLOTS)]
        assert instances(found) == {'up-2'}

    def test_come_back_with_the_next_word_or_after_some_seconds(self) -> None:
        """Guards against an upstream that gets nothing any more, as after the death of the leader."""
        world = World('up-1', 'up-2')
        slow(world, 'up-1')
        slow(world)
        assert instances(next(starts(world.ask())) for _ in range(4)) == {'up-1', 'up-2'}
        slow(world, 'up-1', 'up-2')
        slow(world, 'up-2')
        world.now += SLOW_LIFETIME_S
        assert instances(next(starts(world.ask())) for _ in range(4)) == {'up-1', 'up-2'}

    def test_go_to_a_slow_upstream_where_there_is_no_other(self) -> None:
        """Guards against refusals although somebody serves."""
        world = World('up-1')
        slow(world, 'up-1')
        assert only_start(world.ask()).instance == 'up-1'


class TestStreams:
    def test_go_on_at_another_upstream(self) -> None:
        """Guards against streams of a slow rank that hold back all others until they end."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        assert moves(slow(world, first.instance)) == [MoveAttempt(first.key)]
        second = only_start(world.end(first, AttemptResult.MOVED, last_event='7'))
        assert (second.instance != first.instance, second.last_event) == (True, '7')

    def test_that_leave_say_nothing_against_their_upstream(self) -> None:
        """Guards against an upstream that counts as failing for some seconds after it was only slow."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        slow(world, first.instance)
        world.end(first, AttemptResult.MOVED)
        assert not world.state.pools.by_instance[first.instance].failure_share(world.now)

    def test_leave_as_many_as_others_have_places_for(self) -> None:
        """Guards against streams that all move to the same few places and wait there, or are refused."""
        world = World('up-1', 'up-2', 'up-3')
        world.learn(registration('up-1', 2, slots=200), registration('up-2', 2, slots=20))
        world.learn(registration('up-3', 2, slots=20, standing=Standing.DRAINING))
        world.hear_others({'up-2': 200})
        for _ in range(100):
            assert only_start(world.ask('/brief/x')).instance == 'up-1'
        world.hear_others({'up-1': 100, 'up-2': 0})
        found = len(moves(slow(world, 'up-1')))
        # Another gateway has as many streams there and decides alike.
        assert 4 <= found <= 16

    def test_that_have_no_time_left_after_a_move_are_not_said_to_have_not_run(self) -> None:
        """Guards against a refusal as not run of a stream that has run at the upstream it left."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x', timeout_s=1))
        assert moves(slow(world, first.instance))
        world.now += 1 - MIN_ATTEMPT_S / 2
        refusals = [each for each in world.end(first, AttemptResult.MOVED) if isinstance(each, Refuse)]
        assert [refusal.status for refusal in refusals] == [HTTPStatus.BAD_GATEWAY]

    def test_are_moved_once(self) -> None:
        """Guards against a budget of repeats that each word of the leader charges again."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        assert moves(slow(world, first.instance))
        assert not moves(slow(world, first.instance))

    def test_that_may_run_once_stay(self) -> None:
        """Guards against a call or stream that runs twice."""
        world = World('up-1', 'up-2')
        for path in ('/once/x', '/book/x', '/lookup/x'):
            first = only_start(world.ask(path))
            assert not moves(slow(world, first.instance))
            slow(world)

    def test_stay_without_a_place_elsewhere(self) -> None:
        """Guards against streams that are broken off only to wait at a full upstream."""
        world = World('up-1', 'up-2')
        first = only_start(world.ask('/brief/x'))
        other = 'up-2' if first.instance == 'up-1' else 'up-1'
        world.hear_others({other: SLOTS + 1})
        assert not moves(slow(world, first.instance))
        assert not moves(slow(world, 'up-1', 'up-2'))

    def test_stay_without_budget(self) -> None:
        """Guards against moves beyond the repeats that all gateways share."""
        world = World('up-1', 'up-2', retries=RetryConfig(base=0, ratio=0))
        first = only_start(world.ask('/brief/x'))
        assert not moves(slow(world, first.instance))
