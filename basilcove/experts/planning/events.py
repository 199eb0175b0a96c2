"""Events and effects of popularity reports and planning."""

from dataclasses import dataclass

from basilcove.core.events import Effect, Event
from basilcove.core.ids import GroupName, Rank, UpstreamName
from basilcove.experts.models import Cost, ExpertMap, Plan, Popularity


@dataclass(frozen=True, slots=True)
class GroupShape:
    """The size of a group's expert map and its engines."""

    group: GroupName
    layers: int
    experts: int
    upstreams: tuple[UpstreamName, ...]


@dataclass(frozen=True, slots=True)
class PlanningAssigned(Event):
    """The engine on this host belongs to this group and is called at this URL."""

    upstream: UpstreamName
    url: str
    shape: GroupShape


@dataclass(frozen=True, slots=True)
class RankCounts:
    """Selections of each expert at a rank since its start, layer by layer.

    ``started`` differs between two starts of the rank.
    """

    rank: Rank
    started: int
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CountsRead(Event):
    """The engine returned the counts of its ranks."""

    url: str
    ranks: tuple[RankCounts, ...]


@dataclass(frozen=True, slots=True)
class CountsFailed(Event):
    """The engine did not return the counts of its ranks, or they were malformed."""

    url: str
    reason: str


@dataclass(frozen=True, slots=True)
class PlanComputed(Event):
    """A plan is ready; it took ``took_s`` on its thread."""

    plan_id: str
    plan: Plan
    took_s: float


@dataclass(frozen=True, slots=True)
class PlanFailed(Event):
    """A plan could not be computed."""

    plan_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReadCounts(Effect):
    """Reads the counts of the ranks from the engine at this URL; one event follows."""

    url: str


@dataclass(frozen=True, slots=True)
class ComputePlan(Effect):
    """Computes a plan on a thread, since it may take 2 s; one event follows."""

    plan_id: str
    popularity: Popularity
    current_map: ExpertMap
    cost: Cost
