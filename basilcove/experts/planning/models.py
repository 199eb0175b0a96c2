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
    """The counts of the engine on this host and its pending report; times in monotonic seconds.

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
    next_read_at: float = 0
    is_reading: bool = False
    # The last reading, from which the growth of the next one is computed, and its time.
    readings: dict[Rank, RankCounts] = field(default_factory=dict)
    readings_at: float = 0
    # Growth in the last interval, summed over the ranks; None before the second reading.
    counts: 'array[int] | None' = None
    reporter: CountReporter | None = None
    sequence: int = 0
    needs_full: bool = True
    pending_report: PopularityReport | None = None
    resend_at: float = 0
    resends_left: int = 0

    def assign(self, shape: GroupShape, upstream: UpstreamName, url: str) -> None:
        """Report for this engine; start over if the engine or its group's shape has changed."""
        self.url = url
        if (self.shape, self.upstream) == (shape, upstream):
            return
        self.shape, self.upstream = shape, upstream
        self.coordinator, self.fence = None, _NO_FENCE
        self.readings, self.counts = {}, None
        self.reporter = CountReporter(shape.layers, shape.experts)
        self.pending_report = None
        self.needs_full = True


@dataclass(frozen=True, slots=True)
class PlanBasis:
    """The lease and the map version from which a plan in progress was started.

    It is kept until the result arrives, even beyond the lease, since the thread is busy until then.
    """

    plan_id: str
    fence: FencingNumber
    version: int


@dataclass(frozen=True, slots=True)
class LastReport:
    """The last report of an engine: process start of its agent, sequence number and time of arrival."""

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
    last_reports: dict[UpstreamName, LastReport] = field(default_factory=dict)
    advanced_at: float = 0
    interval_ends_at: float = 0
    # A plan is due at this time whatever the skew.
    next_plan_at: float = 0
    # Basis of the plan in progress.
    basis: PlanBasis | None = None
    last_number: int = 0
    # Expected mean skew of the current map, and the skew that the last plan found no moves to lower.
    skew: float = 1
    residual_skew: float = 1
    # Time that the last plan took on its thread.
    took_s: float = 0

    def start(self, fence: FencingNumber, now: float) -> None:
        """Start to collect reports under a new lease."""
        self.fence = fence
        self.merger = PopularityMerger(self.shape.layers, self.shape.experts)
        self.advanced_at = now
        self.interval_ends_at = now + self.interval_s
        self.next_plan_at = now
        self.residual_skew = 1

    def reset(self) -> None:
        """Drop everything that was collected under a former lease."""
        self.fence = _NO_FENCE
        self.merger = None
        self.last_reports.clear()
        self.skew = 1

    def next_id(self) -> str:
        """Return a new id of a plan of this process start."""
        self.last_number += 1
        return f'plan/{self.node}/{self.incarnation}/{self.last_number}'
