"""Messages between gateways and control hosts about the limits of upstreams."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import InstanceId
from basilcove.helpers.codec import message
from basilcove.throttling import throttling_pb2 as pb


@message('throttling.stated_limit', pb.StatedLimit)
@dataclass(frozen=True, slots=True)
class StatedLimit(Message):
    """Limit in requests a second that one start of an upstream stated in an answer; 0 if it states none."""

    instance: InstanceId
    born_ms: int
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class LimitShare:
    """How many requests a second the receiver may send to one start of an upstream with a limit.

    The receiver leaves the upstream to others if ``requests_per_s`` is 0. There is no limit any more if
    ``limit_per_s`` is 0.
    """

    instance: InstanceId
    born_ms: int
    limit_per_s: float
    requests_per_s: float


@message('throttling.limit_shares', pb.LimitShares)
@dataclass(frozen=True, slots=True)
class LimitShares(Message):
    """Shares of a gateway that have changed; sent by each control host.

    With ``asked_at``, that of the request that they answer, they are leases of ``LEASE_S`` from then on, for
    cold upstreams; shares of other hosts add to them. Otherwise the lowest share of all hosts applies.
    """

    entries: tuple[LimitShare, ...]
    asked_at: float = 0


@dataclass(frozen=True, slots=True)
class TimedLimit:
    """Limit in requests a second that one start of an upstream has for ``left_s`` seconds more."""

    instance: InstanceId
    born_ms: int
    limit_per_s: float
    left_s: float


@message('throttling.share_request', pb.ShareRequest)
@dataclass(frozen=True, slots=True)
class ShareRequest(Message):
    """Asks a control host for leases of shares of all timed limits; ``limits`` are those not sent before.

    ``asked_at`` is in monotonic seconds of the sender.
    """

    asked_at: float
    limits: tuple[TimedLimit, ...] = ()
