"""State of the popularity reports of an engine and of the plans of a group."""

from array import array
from dataclasses import dataclass, field

from basilcove.core.ids import FencingNumber, GroupName, Incarnation, NodeId, Rank, UpstreamName
from basilcove.experts.messages import PopularityReport
from basilcove.experts.planning.const import COUNTS_INTERVAL_S
from basilcove.experts.planning.events import GroupShape, RankCounts
from basilcove.experts.popularity import CountReporter, PopularityMerger

_NO_UPSTREAM = UpstreamName('')
_NO_FENCE = FencingNumber(0)
_NO_SHAPE = GroupShape(GroupName(''), 0, 0, ())


@dataclass
class ReportingState:
    """The counts of the engine on this host and the report under way; times in monotonic seconds.

    ``coordinator`` is the agent whose orders carry the newest fencing token, ``fence``.
    """

    node: NodeId
    incarnation: Incarnation
    interval_s: float = COUNTS_INTERVAL_S
    upstream: UpstreamName = _NO_UPSTREAM
    url: str = ''
    shape: GroupShape = _NO_SHAPE
    coordinator: NodeId | None = None
    fence: FencingNumber = _NO_FENCE
    read_at: float = 0
    is_reading: bool = False
    # The last reading, by which the next one's growth is told, and its time.
    readings: dict[Rank, RankCounts] = field(default_factory=dict)
    readings_at: float = 0
    # Growth within the last interval, summed over the ranks; None before the second reading.
    counts: 'array[int] | None' = None
    reporter: CountReporter | None = None
    sequence: int = 0
    needs_full: bool = True
    unanswered: PopularityReport | None = None
    resend_at: float = 0
    resends_left: int = 0

    def assign(self, shape: GroupShape, upstream: UpstreamName, url: str) -> None:
        """Report for this engine; for another one or another shape everything starts over."""
        self.url = url
        if (self.shape, self.upstream) == (shape, upstream):
            return
        self.shape, self.upstream = shape, upstream
        self.coordinator, self.fence = None, _NO_FENCE
        self.readings, self.counts = {}, None
        self.reporter = CountReporter(shape.layers, shape.experts)
        self.unanswered = None
        self.needs_full = True


@dataclass(frozen=True, slots=True)
class PlanBasis:
    """The lease and the version of the map that a plan under way was begun from.

    It is kept until the result comes, also beyond the lease, since the thread is busy until then.
    """

    plan_id: str
    fence: FencingNumber
    version: int


@dataclass(frozen=True, slots=True)
class Heard:
    """The newest report of an engine: its agent's process start, its number and when it came."""

    incarnation: Incarnation
    sequence: int
    at: float


@dataclass
class PlanningState:
    """Popularity and plans of a group, at the holder of its lease; times in monotonic seconds.

    ``fence`` is the token of the lease under which the reports were collected.
    """

    node: NodeId
    incarnation: Incarnation
    interval_s: float = COUNTS_INTERVAL_S
    shape: GroupShape = _NO_SHAPE
    fence: FencingNumber = _NO_FENCE
    merger: PopularityMerger | None = None
    heard: dict[UpstreamName, Heard] = field(default_factory=dict)
    advanced_at: float = 0
    due_at: float = 0
    # A plan is due at this time whatever the skew is.
    plan_at: float = 0
    basis: PlanBasis | None = None
    numbers: int = 0
    # Expected mean skew of the current map, and the one that the last plan found no moves against.
    skew: float = 1
    skew_left: float = 1
    took_s: float = 0

    def begin(self, fence: FencingNumber, now: float) -> None:
        """Collect reports under a lease that was just granted."""
        self.fence = fence
        self.merger = PopularityMerger(self.shape.layers, self.shape.experts)
        self.advanced_at = now
        self.due_at = now + self.interval_s
        self.plan_at = now
        self.skew_left = 1

    def end(self) -> None:
        """Keep nothing that was collected under a lease that has ended."""
        self.fence = _NO_FENCE
        self.merger = None
        self.heard.clear()
        self.skew = 1

    def next_name(self) -> str:
        """Return a new id of a plan of this process start."""
        self.numbers += 1
        return f'plan/{self.node}/{self.incarnation}/{self.numbers}'
