"""Events of the membership of upstreams."""

from dataclasses import dataclass

from basilcove.core.events import Event
from basilcove.core.ids import Incarnation, ModelName, NodeId, ServiceName, UpstreamName, Zone
from basilcove.membership.messages import Load


@dataclass(frozen=True, slots=True)
class UpstreamAnnounced(Event):
    """An upstream announced itself to the agent on its host."""

    name: UpstreamName
    url: str
    credential: str
    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class UpstreamDeparted(Event):
    """An upstream notified the agent on its host that it leaves."""

    announced: UpstreamAnnounced


@dataclass(frozen=True, slots=True)
class AnnouncementAccepted(Event):
    """The agent accepted an upstream's announcement."""

    name: UpstreamName
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class AnnouncementRefused(Event):
    """The agent refused an upstream's announcement."""

    name: UpstreamName
    incarnation: Incarnation
    reason: str


@dataclass(frozen=True, slots=True)
class LocalUpstreamJoined(Event):
    """At an agent: an upstream on its host may get work; emitted again when its content changes."""

    upstream: UpstreamName
    url: str
    incarnation: Incarnation
    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]
    slots: int


@dataclass(frozen=True, slots=True)
class LocalUpstreamLost(Event):
    """At an agent: an upstream timed out or is no longer allowed."""

    upstream: UpstreamName
    reason: str


@dataclass(frozen=True, slots=True)
class UpstreamLeavingRequested(Event):
    """At an agent: an upstream on its host must get no new work."""

    name: UpstreamName


@dataclass(frozen=True, slots=True)
class LoadMeasured(Event):
    """At an agent: the load of an upstream on its host was measured."""

    upstream: UpstreamName
    load: Load


@dataclass(frozen=True, slots=True)
class UpstreamJoined(Event):
    """An upstream may get work; emitted again when its content changes."""

    upstream: UpstreamName
    agent: NodeId
    incarnation: Incarnation
    zone: Zone
    models: tuple[ModelName, ...]
    services: tuple[ServiceName, ...]
    slots: int


@dataclass(frozen=True, slots=True)
class UpstreamLeaving(Event):
    """An upstream gets no new work; its running calls may finish."""

    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class UpstreamLost(Event):
    """An upstream's agent timed out or restarted, or the upstream is no longer allowed."""

    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class LoadReported(Event):
    """Load of an upstream, as its agent announced it."""

    upstream: UpstreamName
    load: Load


@dataclass(frozen=True, slots=True)
class DrainRequested(Event):
    """An operator asked for an upstream to leave."""

    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class DrainConfirmed(Event):
    """The upstream's agent has put the operator's request into effect."""

    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class DrainFailed(Event):
    """The operator's request was not confirmed in time; it may still arrive."""

    upstream: UpstreamName
    reason: str
