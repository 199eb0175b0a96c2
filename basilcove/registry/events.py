"""Events of the registry."""

from dataclasses import dataclass

from basilcove.core.events import Event
from basilcove.registry.messages import Registration


@dataclass(frozen=True, slots=True)
class UpstreamRegistered(Event):
    """An upstream registered with this control host."""

    registration: Registration
