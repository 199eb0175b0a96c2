"""Events of the environment's document."""

from dataclasses import dataclass

from basilcove.core.events import Event
from basilcove.core.ids import Revision
from basilcove.environment.models import Environment


@dataclass(frozen=True, slots=True)
class EnvironmentChanged(Event):
    """A newer document is in effect for the node's own environment and stage."""

    revision: Revision
    environment: Environment
