from http import HTTPStatus

import pytest

from basilcove.core.events import Effect, Log, Received
from basilcove.core.ids import InstanceId, Zone
from basilcove.core.reducer import reduce
from basilcove.distribution.events import EvacuationsChanged
from basilcove.gateway.const import HOLD_SPREAD
from basilcove.gateway.events import AttemptResult, MoveAttempt, Refuse, UpstreamHinted
from basilcove.gateway.hints import Hints
from basilcove.gateway.messages import SlowInstances
from basilcove.gateway.outcomes import EVACUATED, HELD
from basilcove.registry.messages import RegistrationState
from basilcove.zones.models import Evacuation
from tests.gateway.world import CONTROL, World, only_start, registration, starts

FAR = Zone('b')
RETRIED = (AttemptResult.UNSENT, AttemptResult.NOT_RUN, AttemptResult.FAILED, AttemptResult.LOST)


def set_zones(world: World, version: int, *zones: str) -> list[Effect]:
    rows = tuple(Evacuation(Zone(zone), 90, 'operator') for zone in zones)
    return reduce(world.node, EvacuationsChanged(version, rows, 95, 'other'), world.now, world.now)


def build_world() -> World:
    """Return a gateway with two upstreams in its zone and two in the other."""
    world = World('near-1', 'near-2')
    world.register(registration('far-1', zone=FAR), registration('far-2', zone=FAR))
    return world


def only_refusal(effects: list[Effect]) -> Refuse:
    refusals = [effect for effect in effects if isinstance(effect, Refuse)]
    assert len(refusals) == 1
    return refusals[0]


class TestSelection:
    def test_new_requests_go_elsewhere_also_to_busy_upstreams(self) -> None:
        """Guards against requests to an evacuated zone because its upstreams are the least loaded."""
        world = build_world()
        set_zones(world, 1, FAR)
        chosen = [start.instance for _ in range(9) for start in starts(world.ask())]
        assert set(chosen) == {'near-1', 'near-2'}
        set_zones(world, 2)
        for start in starts(world.ask()):
            assert start.instance in {'far-1', 'far-2'}

    @pytest.mark.parametrize('result', RETRIED)
    def test_requests_are_not_retried_there(self, result: AttemptResult) -> None:
        """Guards against a retry in the zone, at an upstream that was known before the evacuation."""
        world = World('near-1')
        world.register(registration('far-1', zone=FAR), registration('far-2', zone=FAR))
        start = only_start(world.ask())
        set_zones(world, 1, FAR)
        assert not list(starts(world.end(start, result)))

    def test_streams_are_not_resumed_or_moved_there(self) -> None:
        """Guards against a broken or slow stream that continues in an evacuated zone."""
        world = World('near-1')
        broken, slow, moving = (only_start(world.ask('/brief/x')) for _ in range(3))
        world.register(registration('far-1', zone=FAR))
        set_zones(world, 1, FAR)
        assert not list(starts(world.end(broken, AttemptResult.BROKEN, last_event='7')))
        message = SlowInstances((InstanceId(slow.instance),))
        effects = world.apply(Received(CONTROL, message))
        assert not any(isinstance(effect, MoveAttempt) for effect in effects)
        assert not list(starts(world.end(moving, AttemptResult.MOVED, last_event='7')))

    def test_streams_of_a_slow_upstream_there_move_as_far_as_others_have_free_slots(self) -> None:
        """Guards against streams that all leave an evacuated zone at once and wait at a full upstream."""
        world = World()
        world.register(registration('far-1', zone=FAR, slots=200))
        for _ in range(100):
            assert only_start(world.ask('/brief/x')).instance == 'far-1'
        world.register(registration('near-1', slots=20))
        set_zones(world, 1, FAR)
        effects = world.apply(Received(CONTROL, SlowInstances((InstanceId('far-1'),))))
        moved = sum(isinstance(effect, MoveAttempt) for effect in effects)
        assert 10 <= moved <= 32

    def test_upstream_of_the_zone_that_registers_later_gets_nothing(self) -> None:
        """Guards against a zone of which the gateway knew no upstream when it was evacuated."""
        world = World('near-1')
        set_zones(world, 1, FAR)
        world.register(registration('far-1', zone=FAR, slots=400))
        assert only_start(world.ask()).instance == 'near-1'

    def test_running_requests_go_on(self) -> None:
        """Guards against streams that are cut off by the evacuation of their zone."""
        world = World()
        world.register(registration('far-1', zone=FAR))
        start = only_start(world.ask('/brief/x'))
        assert not any(isinstance(each, MoveAttempt) for each in set_zones(world, 1, FAR))
        assert not list(starts(world.end(start, AttemptResult.ANSWERED)))
        assert not world.state.requests


class TestRefusal:
    def test_service_without_another_zone_is_refused_at_once(self) -> None:
        """Guards against requests that wait, go to the last zone, or are refused for another reason."""
        world = World()
        world.register(registration('far-1', zone=FAR))
        set_zones(world, 1, FAR, 'unknown')
        refusal = only_refusal(world.ask())
        assert (refusal.status, refusal.reason) == (HTTPStatus.SERVICE_UNAVAILABLE, EVACUATED.reason)
        assert refusal.retry_after_s
        set_zones(world, 2, 'unknown')
        assert only_start(world.ask()).instance == 'far-1'

    def test_other_reasons_are_kept(self) -> None:
        """Guards against a refusal that blames an evacuation for upstreams that hold requests off."""
        world = World('near-1')
        world.register(registration('far-1', zone=FAR))
        set_zones(world, 1, FAR)
        world.apply(UpstreamHinted(0, InstanceId('near-1'), 1, Hints(retry_after_s=3)))
        refusal = only_refusal(world.ask())
        assert refusal.reason == HELD.reason
        assert refusal.retry_after_s is not None
        assert refusal.retry_after_s >= 3 * (1 - HOLD_SPREAD)
        draining = registration('near-1', 2, standing=RegistrationState.DRAINING)
        world.register(draining)
        assert only_refusal(world.ask()).reason == EVACUATED.reason


class TestReports:
    def test_each_change_is_logged_once(self) -> None:
        """Guards against a change that operators can't trace, and lines for zones that have not changed."""
        world = World()
        evacuated = [each for each in set_zones(world, 1, FAR, 'c') if isinstance(each, Log)]
        assert [dict(log.fields)['zone'] for log in evacuated] == [FAR, 'c']
        restored = [each for each in set_zones(world, 2, 'c') if isinstance(each, Log)]
        fields = {'zone': FAR, 'version': '2', 'age_s': '5.000', 'requester': 'other'}
        assert [(log.text, dict(log.fields)) for log in restored] == [('zone restored', fields)]

    def test_time_of_a_restore_is_kept(self) -> None:
        """Guards against upstreams that are taken for warm although their zone had no requests."""
        world = build_world()
        set_zones(world, 1, FAR)
        world.now += 30
        set_zones(world, 2)
        cold = {name: each.throttle.cold for name, each in world.state.pools.by_instance.items()}
        times = {name: each.restored_at for name, each in cold.items() if each.is_restored}
        assert times == {'far-1': world.now, 'far-2': world.now}
