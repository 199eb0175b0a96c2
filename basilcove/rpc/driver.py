"""Executes the effects that send messages over links and answer operator calls."""

from basilcove.core.events import Send
from basilcove.core.runtime import carries_out
from basilcove.rpc.events import Reply
from basilcove.rpc.links import LinkTable
from basilcove.rpc.server import OperatorServicer


@carries_out(Send, LinkTable)
def send(table: LinkTable, effect: Send) -> None:
    """Queue a message on a link."""
    table.send(effect.node, effect.message, may_wait=effect.may_wait)


@carries_out(Reply, OperatorServicer)
def reply(operators: OperatorServicer, effect: Reply) -> None:
    """Answer an operator's call."""
    operators.reply(effect.call_id, effect.message)
