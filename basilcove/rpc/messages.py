"""Messages that keep a link alive."""

from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.helpers.codec import message
from basilcove.rpc import rpc_pb2 as pb


@message('rpc.heartbeat', pb.Heartbeat)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Shows that the sender is alive; the first one on a link introduces it."""

    zone: str
