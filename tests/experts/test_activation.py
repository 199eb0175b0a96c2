import pytest

from basilcove.experts.activation.models import Phase
from tests.experts.world import CONTROL, World

_PHASES = [Phase.READING, Phase.SETTLING, Phase.PREPARING, Phase.ARMING, Phase.DECIDING]


def _group() -> World:
    world = World()
    world.run(8)
    world.want_map(1)
    world.run(3)
    assert _versions(world) == {1}
    return world


def _versions(world: World) -> set[int]:
    return {engine.status()['active'] for engine in world.engines}


def _assert_continues(world: World) -> None:
    before = min(world.progress)
    world.run(5)
    assert not world.faults
    assert len(_versions(world)) == 1
    assert min(world.progress) > before


class TestRounds:
    @pytest.mark.parametrize('phase', _PHASES)
    @pytest.mark.parametrize('wait_s', [0, 0.02, 0.05])
    def test_coordinator_dies(self, phase: Phase, wait_s: float) -> None:
        """Guards against ranks that wait, or run two maps, when the coordinator dies at any point."""
        world = _group()
        if phase is Phase.READING:
            world.start(world.names[0])
        else:
            world.want_map(2)
        coordinator = world.run_until(phase, 20)
        assert coordinator is not None
        world.run(wait_s, 0.01)
        world.start(coordinator.node)
        world.run(40)
        _assert_continues(world)

    @pytest.mark.parametrize('phase', _PHASES[2:])
    def test_engine_restarts(self, phase: Phase) -> None:
        """Guards against a group that stops after a rank has lost its map during a round."""
        world = _group()
        world.want_map(2)
        assert world.run_until(phase) is not None
        world.restart_engine(1)
        world.run(30)
        _assert_continues(world)

    @pytest.mark.parametrize('phase', _PHASES[2:])
    def test_rank_stalls(self, phase: Phase) -> None:
        """Guards against ranks that stay armed because one of them does not arm."""
        world = _group()
        world.want_map(2)
        assert world.run_until(phase) is not None
        world.stalled.add(2)
        world.run(20)
        assert not world.faults
        world.heal()
        world.run(10)
        _assert_continues(world)

    def test_map_that_can_not_be_armed_is_aborted(self) -> None:
        """Guards against armed ranks that wait forever for one that can not arm."""
        world = _group()
        world.want_map(2)
        assert world.run_until(Phase.ARMING) is not None
        world.stalled.add(2)
        world.run(8)
        assert not any(engine.armed for engine in world.engines[:2])
        decided = world.catalog.maps['riders']
        assert (decided.version, decided.accepted) == (2, False)

    def test_armed_rank_that_is_cut_off_from_its_group_reads_the_decision(self) -> None:
        """Guards against a rank that blocks its group although it could read the decision."""
        world = _group()
        world.want_map(2)
        coordinator = world.run_until(Phase.DECIDING)
        assert coordinator is not None
        member = next(name for name in world.names if name != coordinator.node)
        world.cuts.update(frozenset((member, name)) for name in world.names if name != member)
        world.run(10)
        assert _versions(world) == {2}
        assert not world.faults

    def test_without_control_the_map_stays(self) -> None:
        """Guards against a switch on the side of a partition without a control majority."""
        world = _group()
        world.want_map(2)
        assert world.run_until(Phase.ARMING) is not None
        world.cuts.update(frozenset((name, CONTROL)) for name in world.names)
        world.run(30)
        assert _versions(world) == {1}
        world.heal()
        world.run(30)
        _assert_continues(world)
