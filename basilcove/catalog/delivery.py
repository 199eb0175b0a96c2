"""Delivers messages of the catalog to other nodes or within the process."""

from basilcove.core.events import Effect, Emit, Message, Peer, Received, Send
from basilcove.core.ids import Incarnation, NodeId, Role, Zone

_THIS_PROCESS = Incarnation(0)


def deliver(own: NodeId, node: NodeId, message: Message) -> Effect:
    """Return the effect that delivers a message to another node or to this one."""
    if node != own:
        return Send(node, message)
    return Emit(Received(Peer(own, (Role.CONTROL,), _THIS_PROCESS, Zone('')), message))
