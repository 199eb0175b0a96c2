"""Messages that inform gateways of the open attempts of other gateways and of slow upstreams."""

from dataclasses import dataclass, field

from basilcove.core.events import Message
from basilcove.core.ids import InstanceId
from basilcove.gateway import gateway_pb2 as pb
from basilcove.helpers.codec import message


@message('gateway.open_attempts', pb.OpenAttempts)
@dataclass(frozen=True, slots=True)
class OpenAttempts(Message):
    """Number of open attempts of the sender by instance; instances without any are omitted.

    A gateway sets ``wants_totals`` for only one control host, which sends it the counts of the others.
    ``tokens`` has the tokens of these attempts by instance, only for services that state a memory.
    """

    counts: dict[str, int]
    wants_totals: bool = False
    tokens: dict[str, int] = field(default_factory=dict)


@message('gateway.other_attempts', pb.OtherAttempts)
@dataclass(frozen=True, slots=True)
class OtherAttempts(Message):
    """Number of open attempts and their tokens by instance, summed over all gateways except the receiver."""

    counts: dict[str, int]
    tokens: dict[str, int] = field(default_factory=dict)


@message('gateway.long_request', pb.LongRequest)
@dataclass(frozen=True, slots=True)
class LongRequest(Message):
    """A long request was sent to an upstream; the next counts of its sender contain it.

    Control hosts pass it on, so that other gateways learn of it before the next totals.
    """

    instance: InstanceId
    tokens: int


@message('gateway.slow_instances', pb.SlowInstances)
@dataclass(frozen=True, slots=True)
class SlowInstances(Message):
    """Upstreams for which all others of their group wait; the list expires after ``SLOW_LIFETIME_S``."""

    instances: tuple[InstanceId, ...]
