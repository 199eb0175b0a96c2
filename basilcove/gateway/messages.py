"""Messages that inform gateways of the open attempts of other gateways and of slow upstreams."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import InstanceId
from basilcove.gateway import gateway_pb2 as pb
from basilcove.helpers.codec import message


@message('gateway.open_attempts', pb.OpenAttempts)
@dataclass(frozen=True, slots=True)
class OpenAttempts(Message):
    """Number of open attempts of the sender by instance; instances without any are omitted.

    A gateway sets ``wants_totals`` for only one control host, which sends it the counts of the others.
    """

    counts: dict[str, int]
    wants_totals: bool = False


@message('gateway.other_attempts', pb.OtherAttempts)
@dataclass(frozen=True, slots=True)
class OtherAttempts(Message):
    """Number of open attempts by instance, summed over all gateways except the receiver."""

    counts: dict[str, int]


@message('gateway.slow_instances', pb.SlowInstances)
@dataclass(frozen=True, slots=True)
class SlowInstances(Message):
    """Upstreams for which all others of their group wait; the list expires after ``SLOW_LIFETIME_S``."""

    instances: tuple[InstanceId, ...]
