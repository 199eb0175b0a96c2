"""Messages by which gateways learn how many attempts the others have open."""

from dataclasses import dataclass

from basilcove.core.events import Message
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
