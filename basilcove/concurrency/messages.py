"""Messages between gateways and control hosts about pauses in streams and the limits on groups."""

from dataclasses import dataclass

from basilcove.concurrency import concurrency_pb2 as pb
from basilcove.core.events import Message
from basilcove.core.ids import GroupName
from basilcove.helpers.codec import message


@dataclass(frozen=True, slots=True)
class GroupPauses:
    """Pauses between events of streams from one group since the last report.

    ``counts`` is a histogram of the pauses by the buckets of ``concurrency.pauses``. ``target_s`` is the
    tightest target of the routes of these streams in seconds, and ``streams`` how many of them had their
    first pause.
    """

    group: GroupName
    counts: dict[int, int]
    target_s: float
    streams: int


@message('concurrency.pause_report', pb.PauseReport)
@dataclass(frozen=True, slots=True)
class PauseReport(Message):
    """Pauses that a gateway has seen; groups without any are omitted."""

    groups: tuple[GroupPauses, ...]


@dataclass(frozen=True, slots=True)
class GroupLimit:
    """Most requests in flight of a group from all gateways together; may be fractional."""

    group: GroupName
    limit: float


@message('concurrency.limits', pb.ConcurrencyLimits)
@dataclass(frozen=True, slots=True)
class ConcurrencyLimits(Message):
    """All limits that are in force; groups that aren't listed have none."""

    limits: tuple[GroupLimit, ...]
