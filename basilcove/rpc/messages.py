"""Messages that keep a link alive."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.helpers.codec import message
from basilcove.rpc import rpc_pb2 as pb


@message('rpc.heartbeat', pb.Heartbeat)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Sign of life; the first message on a link introduces the sender."""

    zone: str
