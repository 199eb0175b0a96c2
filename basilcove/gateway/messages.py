"""Messages by which gateways learn of the others' open attempts and of slow upstreams."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import InstanceId
from basilcove.gateway import gateway_pb2 as pb
from basilcove.helpers.codec import message


@message('gateway.open_attempts', pb.OpenAttempts)
@dataclass(frozen=True, slots=True)
class OpenAttempts(Message):
    """Open attempts of the sender by instance, where there are any.

    A gateway ``wants_totals`` from one control host only.
    """

    counts: dict[str, int]
    wants_totals: bool = False


@message('gateway.other_attempts', pb.OtherAttempts)
@dataclass(frozen=True, slots=True)
class OtherAttempts(Message):
    """Open attempts by instance of all gateways but the receiver."""

    counts: dict[str, int]


@message('gateway.slow_instances', pb.SlowInstances)
@dataclass(frozen=True, slots=True)
class SlowInstances(Message):
    """Upstreams for which all others of their group wait; it counts for some seconds."""

    instances: tuple[InstanceId, ...]
