from basilcove.core.events import PeerLost
from basilcove.core.ids import ServiceName, Zone
from basilcove.gateway.events import ReportedLoad
from basilcove.registry.messages import Standing
from tests.gateway.world import CONTROL, OTHER_CONTROL, World, registration

DESK = ServiceName('desk')


def chosen(world: World, *excluded: str) -> str | None:
    known = world.state.pools.choose(DESK, world.now, excluded, 'salt')  # type: ignore[arg-type]
    return known.registration.instance if known is not None else None


class TestChoice:
    def test_least_loaded_is_chosen(self) -> None:
        """Guards against work that piles up at one upstream."""
        world = World('up-1', 'up-2')
        world.hear_others({'up-1': 2})
        assert chosen(world) == 'up-2'

    def test_failing_upstream_is_left_out_until_it_recovers(self) -> None:
        """Guards against an upstream that fails fast and so attracts all requests."""
        world = World('up-1', 'up-2')
        failing = world.state.pools.by_instance['up-1']  # type: ignore[index]
        for _ in range(5):
            failing.note_result(world.now, failed=True)
        world.hear_others({'up-2': 3})
        assert chosen(world) == 'up-2'
        world.now += 30
        assert chosen(world) == 'up-1'

    def test_own_zone_is_preferred_while_it_has_room(self) -> None:
        """Guards against traffic between availability zones without need, and against a full own zone."""
        world = World()
        world.learn(registration('far', zone=Zone('b')), registration('near'))
        assert chosen(world) == 'near'
        world.hear_others({'near': 3})
        assert chosen(world) == 'far'

    def test_load_of_an_answer_counts_where_no_totals_are_known(self) -> None:
        """Guards against a gateway that is blind without its control hosts."""
        world = World('up-1', 'up-2')
        world.state.pools.others = None
        loaded = world.state.pools.by_instance['up-1']  # type: ignore[index]
        loaded.note_load(ReportedLoad(3, 1, 4), world.now)
        assert chosen(world) == 'up-2'


class TestKnowledge:
    def test_silent_upstream_is_chosen_last(self) -> None:
        """Guards against requests for a dead upstream, and refusals where only control lost it."""
        world = World('up-1', 'up-2')
        world.learn(registration('up-1'), silent=('up-1',))
        assert chosen(world) == 'up-2'
        assert chosen(world, 'up-2') == 'up-1'

    def test_one_host_that_hears_an_upstream_is_enough(self) -> None:
        """Guards against a control host behind a partition that makes all upstreams look dead."""
        world = World('up-1')
        world.learn(registration('up-1'), source=OTHER_CONTROL)
        world.learn(registration('up-1'), silent=('up-1',))
        assert not world.state.pools.by_instance['up-1'].is_silent  # type: ignore[index]
        world.apply(PeerLost(CONTROL))
        assert not world.state.pools.by_instance['up-1'].is_silent  # type: ignore[index]

    def test_new_start_under_the_same_id_is_known_as_such(self) -> None:
        """Guards against counts of a former process that are held against a new one."""
        world = World('up-1')
        former = world.state.pools.by_instance['up-1']  # type: ignore[index]
        former.is_misdirected = True
        world.learn(registration('up-1', 1, born_ms=2))
        assert chosen(world) == 'up-1'

    def test_late_word_of_a_former_start_is_left_out(self) -> None:
        """Guards against a departure of a former process that takes the new one away."""
        world = World('up-1')
        world.learn(registration('up-1', 1, born_ms=2))
        world.learn(registration('up-1', 9, born_ms=1, standing=Standing.GONE))
        assert chosen(world) == 'up-1'

    def test_upstream_that_changes_its_service_leaves_the_former_one(self) -> None:
        """Guards against requests of one service at an upstream of another."""
        world = World('up-1')
        world.learn(registration('up-1', 1, born_ms=2, service=ServiceName('other')))
        assert chosen(world) is None
