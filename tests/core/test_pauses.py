from basilcove.core.events import Log, Tick
from basilcove.core.pauses import LATE_READS_S, PauseState
from basilcove.core.reducer import Node, reduce

WALL_OFFSET_S = 1000.0


def _tick(state: PauseState, now: float, wall_time: float) -> list[str]:
    effects = reduce(Node(state), Tick(), now, wall_time)
    return [effect.text for effect in effects if isinstance(effect, Log)]


class TestPauseState:
    def test_call_that_is_read_before_the_first_tick_after_a_pause(self) -> None:
        """Guards against the call that waited in a socket of a frozen process."""
        state = PauseState()
        _tick(state, 0, WALL_OFFSET_S)
        assert not state.reads_late(0.1, WALL_OFFSET_S + 0.1)
        assert state.reads_late(5, WALL_OFFSET_S + 5)

    def test_calls_that_are_read_soon_after_a_pause(self) -> None:
        """Guards against a call whose connection waited to be accepted."""
        state = PauseState()
        _tick(state, 0, WALL_OFFSET_S)
        assert _tick(state, 5, WALL_OFFSET_S + 5)
        assert not _tick(state, 5.1, WALL_OFFSET_S + 5.1)
        assert state.reads_late(5.1, WALL_OFFSET_S + 5.1)
        ends_at = 5.1 + LATE_READS_S
        for at in (5.6, ends_at - 0.1):
            _tick(state, at, WALL_OFFSET_S + at)
        assert not state.reads_late(ends_at, WALL_OFFSET_S + ends_at)

    def test_suspension_that_the_monotonic_clock_does_not_count(self) -> None:
        """Guards against a machine that is suspended without its processes noticing it."""
        state = PauseState()
        _tick(state, 0, WALL_OFFSET_S)
        assert state.reads_late(0.1, WALL_OFFSET_S + 5)
        assert _tick(state, 0.1, WALL_OFFSET_S + 5)

    def test_time_of_day_is_set_back(self) -> None:
        """Guards against a host that refuses calls, or overlooks a pause, because of a step of its clock."""
        state = PauseState()
        _tick(state, 0, WALL_OFFSET_S)
        assert not state.reads_late(0.1, 0)
        assert state.reads_late(5, 0)

    def test_process_that_has_just_started(self) -> None:
        assert not PauseState().reads_late(100, WALL_OFFSET_S)
