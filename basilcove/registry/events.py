"""Events of the registry."""

from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.registry.messages import Departure, Registration


@dataclass(frozen=True, slots=True)
class UpstreamRegistered(Event):
    """An upstream registered with this control host."""

    registration: Registration


@dataclass(frozen=True, slots=True)
class UpstreamLeft(Event):
    """An upstream told this control host that it ends; ``registration`` marks it as gone."""

    registration: Registration


@dataclass(frozen=True, slots=True)
class ConfirmDeparture(Effect):
    """So many control hosts know of a departure that it outlasts the loss of this one."""

    departure: Departure
