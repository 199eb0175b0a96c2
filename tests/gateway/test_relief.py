from collections.abc import Iterable

from basilcove.core.events import Effect, Received
from basilcove.core.ids import InstanceId
from basilcove.gateway.config import RetryConfig
from basilcove.gateway.const import SLOW_LIFETIME_S
from basilcove.gateway.events import AttemptResult, MoveAttempt, StartAttempt
from basilcove.gateway.messages import SlowInstances
from tests.gateway.world import CONTROL, SLOTS, World, only_start, starts


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
        assert moves(slow(world, first.instance)) == [MoveAttempt(first.key, first.number)]
        second = only_start(world.end(first, AttemptResult.BROKEN, last_event='7'))
        assert (second.instance != first.instance, second.last_event) == (True, '7')

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
