"""The reducer: all decisions of a node, as a function of events."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from basilcove.core.events import Effect, Emit, Event, Message, Received

StateT = TypeVar('StateT')
EventT = TypeVar('EventT')
Handler = Callable[[StateT, EventT, 'Context'], Iterable[Effect]]

_EVENT_HANDLERS: dict[type, list[tuple[type, Handler[Any, Any]]]] = defaultdict(list)


class Node:
    """All states of one node, by type."""

    def __init__(self, *states: object) -> None:
        """Store each state under its type."""
        self._states: dict[type, object] = {type(state): state for state in states}

    def part(self, kind: type[StateT]) -> StateT:
        """Return the state of this type; KeyError if the node has none."""
        return self._states[kind]  # type: ignore[return-value]

    def has(self, kind: type) -> bool:
        """Tell whether the node has a state of this type."""
        return kind in self._states

    def add(self, state: object) -> None:
        """Add a state, replacing one of the same type."""
        self._states[type(state)] = state


@dataclass(frozen=True, slots=True)
class Context:
    """Clocks and node that a handler may read besides its own state."""

    now: float
    wall_time: float
    node: Node = field(default_factory=Node)


def handles(
    event_type: type[EventT],
    state_type: type[StateT],
) -> Callable[[Handler[StateT, EventT]], Handler[StateT, EventT]]:
    """Register a handler for one type of event, or for the receipt of one type of message.

    A handler of a message gets the whole ``Received`` event. Handlers of one
    type run in the order of registration.
    """

    def register(handler: Handler[StateT, EventT]) -> Handler[StateT, EventT]:
        _EVENT_HANDLERS[event_type].append((state_type, handler))
        return handler

    return register


def handles_message(
    message_type: type[Message],
    state_type: type[StateT],
) -> Callable[[Handler[StateT, Received]], Handler[StateT, Received]]:
    """Register a handler for the receipt of one type of message."""

    def register(handler: Handler[StateT, Received]) -> Handler[StateT, Received]:
        _EVENT_HANDLERS[message_type].append((state_type, handler))
        return handler

    return register


ErrorHandler = Callable[[type, Event, Exception], Iterable[Effect]]


def reduce(
    node: Node, event: Event, now: float, wall_time: float, on_error: ErrorHandler | None = None
) -> list[Effect]:
    """Apply an event and all events that it emits; return the other effects in order.

    Times are in seconds: ``now`` on the monotonic clock, ``wall_time`` since the epoch. If a handler fails,
    ``on_error`` gets the type of its state, the event and the exception, and returns the effects that follow
    those which the handler has already yielded; without ``on_error`` the exception is raised.
    """
    ctx = Context(now, wall_time, node)
    effects: list[Effect] = []
    pending: deque[Event] = deque((event,))
    while pending:
        for effect in _apply(node, pending.popleft(), ctx, on_error):
            if isinstance(effect, Emit):
                pending.append(effect.event)
                continue
            effects.append(effect)
    return effects


def _apply(node: Node, event: Event, ctx: Context, on_error: ErrorHandler | None) -> Iterable[Effect]:
    key = type(event.message) if isinstance(event, Received) else type(event)
    for state_type, handler in _EVENT_HANDLERS.get(key, ()):
        if not node.has(state_type):
            continue
        try:
            yield from handler(node.part(state_type), event, ctx)
        except Exception as exc:
            if on_error is None:
                raise
            yield from on_error(state_type, event, exc)
