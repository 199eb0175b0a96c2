"""Events and effects that all subsystems share."""

from dataclasses import dataclass

from basilcove.core.ids import Incarnation, NodeId, Role, Zone


class Event:
    """Something that happened; the reducer's input."""

    __slots__ = ()


class Effect:
    """Something to be done by a driver; the reducer's output."""

    __slots__ = ()


class Message:
    """Content of an envelope that one node sends to another."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Peer:
    """Another node in one incarnation, that is, one start of its process."""

    node: NodeId
    roles: tuple[Role, ...]
    incarnation: Incarnation
    zone: Zone


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Periodic event on which subsystems check their deadlines."""


@dataclass(frozen=True, slots=True)
class PeerFound(Event):
    """A link to a peer came up."""

    peer: Peer


@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """The link to a peer broke or was silent beyond the timeout."""

    peer: Peer


@dataclass(frozen=True, slots=True)
class Received(Event):
    """A message arrived from a peer; dispatched on the message's type."""

    peer: Peer
    message: Message


@dataclass(frozen=True, slots=True)
class HandlerFailed(Event):
    """A handler raised an unexpected exception; its state may be changed in part."""

    state_type: type
    reason: str


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The process was asked to stop gracefully."""


@dataclass(frozen=True, slots=True)
class Emit(Effect):
    """Feeds an event to the reducer before the next external event."""

    event: Event


@dataclass(frozen=True, slots=True)
class Send(Effect):
    """Queues a message on the link to a node; dropped without a link.

    A message that ``may_wait`` shares the frame of the next one, or is sent alone after a few milliseconds.
    """

    node: NodeId
    message: Message
    may_wait: bool = False


@dataclass(frozen=True, slots=True)
class Log(Effect):
    """Writes one structured log line."""

    level: str
    text: str
    fields: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Count(Effect):
    """Adds to a counter of the metrics registry."""

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    amount: float = 1.0


@dataclass(frozen=True, slots=True)
class RecordSpan(Effect):
    """Records a finished trace span as a child of a W3C trace context; times in monotonic seconds.

    ``context`` is the context of the span itself; it is set if the span has children.
    """

    name: str
    traceparent: str
    started_at: float
    ended_at: float
    fields: tuple[tuple[str, str], ...] = ()
    context: str = ''
