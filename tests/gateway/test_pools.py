from basilcove.core.events import PeerLost
from basilcove.core.ids import ServiceName, Zone
from basilcove.gateway.events import ReportedLoad
from basilcove.registry.messages import RegistrationState
from tests.gateway.world import CONTROL, OTHER_CONTROL, World, registration

DESK = ServiceName('desk')


def chosen(world: World, *excluded: str) -> str | None:
    upstream = world.state.pools.choose(DESK, world.now, excluded, 'salt')  # type: ignore[arg-type]
    return upstream.registration.instance if upstream is not None else None


class TestChoice:
    def test_least_loaded_is_chosen(self) -> None:
        """Guards against work that piles up at one upstream."""
        world = World('up-1', 'up-2')
        world.report_others({'up-1': 2})
        assert chosen(world) == 'up-2'

    def test_failing_upstream_is_avoided_until_it_recovers(self) -> None:
        """Guards against an upstream that fails fast and so attracts all requests."""
        world = World('up-1', 'up-2')
        failing = world.state.pools.by_instance['up-1']  # type: ignore[index]
        for _ in range(5):
            failing.record_result(world.now, failed=True)
        world.report_others({'up-2': 3})
        assert chosen(world) == 'up-2'
        world.now += 30
        assert chosen(world) == 'up-1'

    def test_own_zone_is_preferred_while_it_has_room(self) -> None:
        """Guards against needless traffic between availability zones, and overload of the same zone."""
        world = World()
        world.register(registration('far', zone=Zone('b')), registration('near'))
        assert chosen(world) == 'near'
        world.report_others({'near': 3})
        assert chosen(world) == 'far'

    def test_load_of_an_answer_counts_without_totals(self) -> None:
        """Guards against a gateway that knows no load without its control hosts."""
        world = World('up-1', 'up-2')
        world.state.pools.other_attempts = None
        loaded = world.state.pools.by_instance['up-1']  # type: ignore[index]
        loaded.update_load(ReportedLoad(3, 1, 4), world.now)
        assert chosen(world) == 'up-2'


class TestRegistrations:
    def test_silent_upstream_is_chosen_last(self) -> None:
        """Guards against requests for a dead upstream, and refusals if only control hosts lost contact."""
        world = World('up-1', 'up-2')
        world.register(registration('up-1'), silent=('up-1',))
        assert chosen(world) == 'up-2'
        assert chosen(world, 'up-2') == 'up-1'

    def test_upstream_is_alive_while_one_host_receives_its_registrations(self) -> None:
        """Guards against a control host behind a partition that makes all upstreams look dead."""
        world = World('up-1')
        world.register(registration('up-1'), source=OTHER_CONTROL)
        world.register(registration('up-1'), silent=('up-1',))
        assert not world.state.pools.by_instance['up-1'].is_silent  # type: ignore[index]
        world.apply(PeerLost(CONTROL))
        assert not world.state.pools.by_instance['up-1'].is_silent  # type: ignore[index]

    def test_new_start_under_the_same_id_resets_the_upstream(self) -> None:
        """Guards against state of a former process that counts against a new one."""
        world = World('up-1')
        former = world.state.pools.by_instance['up-1']  # type: ignore[index]
        former.is_misdirected = True
        world.register(registration('up-1', 1, born_ms=2))
        assert chosen(world) == 'up-1'

    def test_late_registration_of_a_former_start_is_ignored(self) -> None:
        """Guards against a departure of a former process that removes the new one."""
        world = World('up-1')
        world.register(registration('up-1', 1, born_ms=2))
        world.register(registration('up-1', 9, born_ms=1, standing=RegistrationState.GONE))
        assert chosen(world) == 'up-1'

    def test_upstream_that_changes_its_service_leaves_the_former_one(self) -> None:
        """Guards against requests for one service at an upstream of another."""
        world = World('up-1')
        world.register(registration('up-1', 1, born_ms=2, service=ServiceName('other')))
        assert chosen(world) is None
