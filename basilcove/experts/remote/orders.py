"""Orders and queries to ranks, and their answers."""

import enum
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from basilcove.experts.models import Layer


class OrderResult(enum.Enum):
    """Result of an order; ``UNKNOWN`` without an answer, so that the order may take effect late."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Makes a rank copy its experts of a map, which does not take effect yet."""

    version: int
    layers: tuple[Layer, ...]


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Makes a rank switch to a prepared map when a step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class DisarmMap:
    """Revokes the order to arm a map."""

    version: int


@dataclass(frozen=True, slots=True)
class HoldStep:
    """Prevents the whole group from beginning a step."""

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
    """Asks how often the requests at a rank selected each expert."""


@dataclass(frozen=True, slots=True)
class ReadLists:
    """Asks for the experts that a rank holds."""


Order: TypeAlias = PrepareMap | ArmMap | DisarmMap | HoldStep | ReleaseStep
RankQuery: TypeAlias = ReadReport | ReadCounts | ReadLists


@dataclass(frozen=True, slots=True)
class RankReport:
    """State of a rank; ``prepared`` is the version whose copy is complete.

    ``armed`` is a version and the step of its switch, ``held`` the step that this rank holds. ``slowness`` is
    the time that its work takes over the usual time.
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
    """Selections of each expert, layer by layer, since the rank started."""

    epoch: int
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RankLists:
    """Experts of a rank by layer, under a version of the map."""

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
    """Encoding of calls to ranks and of their answers."""

    def encode(self, call: Order | RankQuery, epoch: int, token: int) -> HttpCall:
        """Return a call as HTTP; ``token`` is the fencing token."""

    def decode(self, call: Order | RankQuery, status: int, body: bytes) -> Reply:
        """Return the answer of a rank; UNKNOWN for one that is malformed."""
