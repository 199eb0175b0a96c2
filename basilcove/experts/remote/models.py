"""State of remote groups on the control leader."""

import enum
from dataclasses import dataclass, field

from basilcove.core.ids import GroupName, InstanceId, Rank, ServiceName
from basilcove.experts.models import Layer
from basilcove.experts.remote.const import MAX_SLOW_SHARE, RELIEF_SPEED, TOKENS_PER_TERM
from basilcove.experts.remote.orders import Order, RankLists, RankQuery, RankReport
from basilcove.experts.remote.planning import Draft


class Phase(enum.Enum):
    """Phase of the change of a group's map."""

    # Orders of former leaders are fenced off at the ranks.
    FENCING = 'fencing'
    # The state that former leaders left at the ranks is read.
    LEARNING = 'learning'
    LISTING = 'listing'
    IDLE = 'idle'
    # A map is planned, over several ticks for a large group.
    PLANNING = 'planning'
    # Counts have been read; the ranks' speeds are read before a map is planned.
    SURVEYING = 'surveying'
    SURVEYED = 'surveyed'
    PREPARING = 'preparing'
    COPYING = 'copying'
    HOLDING = 'holding'
    ARMING = 'arming'
    DISARMING = 'disarming'
    RELEASING = 'releasing'
    # The hold is released, but an older order may still set it again until the step begins.
    WATCHING = 'watching'


@dataclass(frozen=True, slots=True)
class ExpertLayout:
    """Sizes of a group's map; ``max_new`` experts of a layer may be new to a rank under the next map.

    ``copy_s`` is the time in which a rank copies one expert; 0 if it isn't known.
    """

    layers: int
    experts: int
    slots: int
    max_new: int
    copy_s: float = 0


@dataclass(frozen=True, slots=True)
class RankAddress:
    """Instance and address of a rank."""

    instance: InstanceId
    address: str


@dataclass(frozen=True, slots=True)
class GroupIdentity:
    """Identity of a group; a new epoch is a new group, which begins with the first map."""

    name: GroupName
    service: ServiceName
    epoch: int


@dataclass(frozen=True, slots=True)
class RemoteGroup:
    """A group whose ranks are all known; ``is_heard`` if none of them is silent."""

    identity: GroupIdentity
    ranks: dict[Rank, RankAddress]
    layout: ExpertLayout
    is_heard: bool = True


@dataclass(slots=True)
class PendingCall:
    """A call that has no answer yet; it was sent under the numbers from ``first_number`` to ``number``.

    ``began_at`` is when it was first sent. With ``is_report_due`` a report is asked for next, in place of
    sending the call once more.
    """

    first_number: int
    number: int
    sent_at: float
    began_at: float
    is_report_due: bool = False


@dataclass(slots=True)
class GroupChange:
    """The map of one epoch of a group, and the change of it that is in progress.

    The ranks switch to ``target`` at ``step``, which ``holder`` holds. ``since`` is when the phase began, or
    when the idle phase last asked for reports.
    Before ``late_arms_until`` an arming order that was sent may still take effect. ``calls`` are the calls of
    the phase by rank, ``completed`` the ranks that answered theirs without a refusal, and ``refused_at`` the
    times of the first refusals.
    """

    identity: GroupIdentity
    token: int
    ranks: dict[Rank, RankAddress]
    layout: ExpertLayout
    is_heard: bool = True
    phase: Phase = Phase.FENCING
    since: float = 0
    # When the last rank confirmed that it refuses the orders of former leaders.
    fenced_at: float | None = None
    current: tuple[Layer, ...] = ()
    version: int = 0
    target: tuple[Layer, ...] = ()
    draft: Draft | None = None
    target_version: int = 0
    step: int = 0
    holder: Rank = Rank(0)  # noqa: RUF009 - a NewType of int, so immutable
    calls: dict[Rank, Order | RankQuery] = field(default_factory=dict)
    pending_calls: dict[Rank, PendingCall] = field(default_factory=dict)
    completed: set[Rank] = field(default_factory=set)
    refused_at: dict[Rank, float] = field(default_factory=dict)
    reports: dict[Rank, RankReport] = field(default_factory=dict)
    reported_at: dict[Rank, float] = field(default_factory=dict)
    lists: dict[Rank, RankLists] = field(default_factory=dict)
    late_arms_until: float = 0
    watched_until: float = 0
    last_call_number: int = 0
    called_at: float = 0
    # When all ranks should have copied the experts of the target; the start of the change if it isn't known.
    copied_at: float = 0
    counts_read_at: float = 0
    backoff_until: float = 0
    counts: dict[Rank, tuple[int, ...]] = field(default_factory=dict)
    popularity: list[float] = field(default_factory=list)
    # Steps per second, from two reports.
    pace: float = 0
    changes: int = 0
    # A rank refused a call, since it knows the token of a newer leader.
    is_fenced: bool = False
    # An order of the present change had to be sent again.
    has_lost_order: bool = False
    # How often the step of the present change had begun before its hold arrived.
    late_holds: int = 0

    def speeds(self) -> tuple[float, ...]:
        """Return the speed of each rank by its last report; 1 is the usual speed."""
        reports = [self.reports.get(rank) for rank in sorted(self.ranks)]
        return tuple(1 / max(1, report.slowness) if report is not None else 1 for report in reports)

    def slow_instances(self) -> tuple[InstanceId, ...]:
        """Return the instances of slow ranks, for which the whole group waits; none if there are many."""
        pairs = zip(sorted(self.ranks), self.speeds(), strict=True)
        slow = tuple(self.ranks[rank].instance for rank, speed in pairs if speed < RELIEF_SPEED)
        return slow if len(slow) <= MAX_SLOW_SHARE * len(self.ranks) else ()


@dataclass(slots=True)
class RemoteGroups:
    """Groups whose maps this host manages while it leads, and their layouts by service."""

    layouts: dict[ServiceName, ExpertLayout] = field(default_factory=dict)
    changes: dict[GroupName, GroupChange] = field(default_factory=dict)
    term: int = 0
    # How often a group was taken over in this term.
    takeovers: int = 0
    # Slow ranks of each group in the last notification of the gateways.
    notified_slow: dict[GroupName, tuple[InstanceId, ...]] = field(default_factory=dict)
    # The term in which a rank refused an order because of a newer leader's fencing token.
    fenced_term: int = 0

    def take_over(self, group: RemoteGroup) -> None:
        """Manage the map of a group, with a fencing token that is newer than all earlier ones of any leader.

        So orders that were sent for a former change of the same leader are refused as well. A leader that has
        no token left in its term manages no further group.
        """
        if self.takeovers + 1 >= TOKENS_PER_TERM:
            return
        self.takeovers += 1
        token = self.term * TOKENS_PER_TERM + self.takeovers
        self.changes[group.identity.name] = GroupChange(group.identity, token, group.ranks, group.layout)

    def reset(self) -> None:
        """Drop all changes, which another leader takes over."""
        self.changes.clear()
        self.notified_slow.clear()
