from dataclasses import dataclass, field

from basilcove.core.events import Count, Effect, Emit, Event
from basilcove.core.reducer import Context, Node, handles, reduce


@dataclass(frozen=True)
class _Started(Event):
    number: int


@dataclass(frozen=True)
class _Noted(Event):
    number: int


@dataclass
class _Notes:
    seen: list[int] = field(default_factory=list)


@handles(_Started, _Notes)
def _on_started(state: _Notes, event: _Started, ctx: Context) -> list[Effect]:
    return [Emit(_Noted(event.number)), Count('started')]


@handles(_Noted, _Notes)
def _on_noted(state: _Notes, event: _Noted, ctx: Context) -> list[Effect]:
    state.seen.append(event.number)
    return [Count('noted')]


class TestReduce:
    def test_emitted_events_are_applied_in_the_same_call(self) -> None:
        """Guards against a decision that is left half made between two external events."""
        notes = _Notes()
        effects = reduce(Node(notes), _Started(3), 0, 0)
        assert notes.seen == [3]
        assert effects == [Count('started'), Count('noted')]

    def test_events_without_state_are_ignored(self) -> None:
        """Guards against an exception on nodes that don't run the role."""
        assert reduce(Node(), _Started(3), 0, 0) == []
