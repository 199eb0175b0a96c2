"""What ranks are asked and ordered, and their answers."""

import enum
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from basilcove.experts.models import Layer


class OrderResult(enum.Enum):
    """What a rank answered; ``UNKNOWN`` if nothing came and the order may be carried out late."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Copies the experts that a rank will hold under a map; the map stays out of use."""

    version: int
    layers: tuple[Layer, ...]


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Lets a rank change to a prepared map as a step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class DisarmMap:
    """Takes an arming back."""

    version: int


@dataclass(frozen=True, slots=True)
class HoldStep:
    """Keeps the whole group from beginning a step."""

    step: int


@dataclass(frozen=True, slots=True)
class ReleaseStep:
    """Ends the hold of a step."""

    step: int


@dataclass(frozen=True, slots=True)
class ReadReport:
    """Asks for the state of a rank."""


@dataclass(frozen=True, slots=True)
class ReadCounts:
    """Asks how often the requests of a rank chose each expert."""


@dataclass(frozen=True, slots=True)
class ReadLists:
    """Asks for the experts that a rank holds."""


Order: TypeAlias = PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep
Question: TypeAlias = ReadReport | ReadCounts | ReadLists


@dataclass(frozen=True, slots=True)
class RankReport:
    """State of a rank; ``prepared`` is the version whose copy is complete.

    ``armed`` holds a version and its step, ``held`` the step that this rank holds. ``slowness`` is how many
    times as long as usual its work takes.
    """

    epoch: int
    step: int
    version: int
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    slowness: float = 1


@dataclass(frozen=True, slots=True)
class RankCounts:
    """Choices of each expert, layer by layer, since the rank started."""

    epoch: int
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RankLists:
    """Experts of a rank by layer, under a version."""

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


Reply: TypeAlias = RankReport | RankCounts | RankLists | OrderResult


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A call to a rank as an HTTP request."""

    method: bytes
    path: bytes
    body: bytes


class RankDialect(Protocol):
    """How ranks are spoken to."""

    def encode(self, call: Order | Question, epoch: int, token: int) -> HttpCall:
        """Return a call as HTTP; ``token`` is the fencing token."""

    def decode(self, call: Order | Question, status: int, body: bytes) -> Reply:
        """Return what a rank answered; UNKNOWN for what can't be read."""
