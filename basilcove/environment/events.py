"""Events of the environment's document."""

from dataclasses import dataclass

from basilcove.core.events import Event
from basilcove.core.ids import Revision
from basilcove.environment.models import Environment


@dataclass(frozen=True, slots=True)
class EnvironmentChanged(Event):
    """A newer document is in effect on this node."""

    revision: Revision
    environment: Environment
