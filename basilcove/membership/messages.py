"""Messages about upstreams."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import Incarnation, ModelName, ServiceName, UpstreamName
from basilcove.helpers.codec import message
from basilcove.membership import membership_pb2 as pb

NO_INCARNATION = Incarnation(0)


@dataclass(frozen=True, slots=True)
class LevelWork:
    """Work in tokens that waits or runs at one priority level."""

    level: int
    work: float


@dataclass(frozen=True, slots=True)
class Load:
    """Load of an upstream: work in tokens, and the speed of all slots, busy or not, in tokens a second."""

    queued_work: float
    running: int
    tokens_per_s: float
    by_level: tuple[LevelWork, ...] = ()


@message('membership.announce', pb.Announce)
@dataclass(frozen=True, slots=True)
class Announce(Message):
    """An agent's announcement of an upstream; ``number`` increases with each announcement and refresh.

    ``receiver_incarnation`` is the process of the receiver that it is sent to; agents of older builds state
    ``NO_INCARNATION``.
    """

    upstream: UpstreamName
    incarnation: Incarnation
    upstream_incarnation: Incarnation
    number: int
    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]
    slots: int
    leaving: bool
    proof: bytes
    load: Load | None
    receiver_incarnation: Incarnation = NO_INCARNATION


@dataclass(frozen=True, slots=True)
class Refreshed:
    """An upstream, the number ``announced`` of its announcement in effect, and its load if that changed."""

    upstream: UpstreamName
    announced: int
    load: Load | None


@message('membership.refresh', pb.Refresh)
@dataclass(frozen=True, slots=True)
class Refresh(Message):
    """An agent's keepalive for all of its upstreams; an upstream that it does not list is gone."""

    number: int
    upstreams: tuple[Refreshed, ...]


@message('membership.announce_request', pb.AnnounceRequest)
@dataclass(frozen=True, slots=True)
class AnnounceRequest(Message):
    """Asks an agent to announce its upstreams on this link again."""


@message('membership.drain', pb.Drain)
@dataclass(frozen=True, slots=True)
class Drain(Message):
    """An operator's request on its way to the upstream's agent."""

    drain_id: str
    upstream: UpstreamName
    hops: int


@message('membership.drain_done', pb.DrainDone)
@dataclass(frozen=True, slots=True)
class DrainDone(Message):
    """The agent has put the request into effect."""

    drain_id: str
    upstream: UpstreamName
