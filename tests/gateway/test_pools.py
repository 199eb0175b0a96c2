from collections import Counter
from collections.abc import Iterator

from basilcove.core.events import PeerLost
from basilcove.core.ids import ServiceName, Zone
from basilcove.gateway.events import AttemptResult, ReportedLoad
from basilcove.registry.messages import RegistrationState
from tests.gateway.world import CONTROL, OTHER_CONTROL, SLOTS, World, only_start, registration, starts

DESK = ServiceName('desk')


def chosen(world: World, *excluded: str) -> str | None:
    choice = world.state.pools.choose(DESK, world.now, excluded, 'salt')  # type: ignore[arg-type]
    return choice.upstream.registration.instance if choice is not None else None


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


class TestOldCounts:
    """Many gateways decide on the same counts, before these show the requests of the others."""

    GATEWAYS = 60
    UPSTREAMS = tuple(f'up-{number:02}' for number in range(60))
    REQUESTS = 60

    def test_requests_do_not_gather_at_the_least_loaded(self) -> None:
        """Guards against a queue at the one upstream that all gateways believe to be idle."""
        world = self._world()
        world.report_others(dict.fromkeys(self.UPSTREAMS[1:], 1))
        counts = Counter(self._choices(world))
        # The sample of each request holds any one upstream once in ten times.
        assert counts[self.UPSTREAMS[0]] <= self.REQUESTS / 4
        assert len(counts) > self.REQUESTS / 3

    def test_loaded_upstreams_get_little(self) -> None:
        """Guards against a choice that ignores the counts."""
        world = self._world()
        world.report_others(dict.fromkeys(self.UPSTREAMS[:30], SLOTS))
        loaded = [name for name in self._choices(world) if name in self.UPSTREAMS[:30]]
        assert len(loaded) <= self.REQUESTS / 10

    def test_few_free_slots_admit_few_streams(self) -> None:
        """Guards against a burst whose streams all wait for the same free slots and all come late."""
        world = self._world()
        world.report_others(dict.fromkeys(self.UPSTREAMS[3:], SLOTS))
        # The gateway counts its own, so it fills the free slots and no more.
        assert 0 < self._admitted(world) <= 3 * SLOTS
        full = self._world()
        full.report_others(dict.fromkeys(self.UPSTREAMS, SLOTS))
        assert not self._admitted(full)

    def test_few_gateways_consider_all(self) -> None:
        """Guards against requests that wait though the few gateways know of a free upstream."""
        world = self._world()
        world.state.pools.gateways = 7
        world.report_others(dict.fromkeys(self.UPSTREAMS[1:], 1))
        assert set(self._choices(world)) == {self.UPSTREAMS[0]}

    def _world(self) -> World:
        world = World(*self.UPSTREAMS)
        world.state.pools.gateways = self.GATEWAYS
        return world

    def _admitted(self, world: World) -> int:
        return sum(len(list(starts(world.ask('/brief/x')))) for _ in range(self.REQUESTS))

    def _choices(self, world: World) -> Iterator[str]:
        for number in range(self.REQUESTS):
            choice = world.state.pools.choose(DESK, world.now, (), f'request-{number}')
            assert choice is not None
            yield choice.upstream.registration.instance


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

    def test_attempts_at_a_former_start_do_not_count_for_the_new_one(self) -> None:
        """Guards against a new start that seems less loaded with each attempt that its former start loses."""
        world = World('up-1')
        start = only_start(world.ask(tokens=900))
        world.register(registration('up-1', 1, born_ms=2))
        world.end(start, AttemptResult.LOST)
        upstream = world.state.pools.by_instance['up-1']  # type: ignore[index]
        assert (upstream.open_attempts, upstream.held_tokens) == (0, 0)

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
