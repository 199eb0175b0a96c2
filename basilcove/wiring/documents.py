"""Joins the replicated documents to their distribution."""

from dataclasses import dataclass
from typing import Final

from basilcove.catalog.commands import ReadMembers
from basilcove.catalog.control import ControlState
from basilcove.catalog.events import Query, QueryAnswered
from basilcove.catalog.outcomes import MembersRead
from basilcove.core.events import Effect, Emit, Tick
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, handles
from basilcove.distribution import events as distribution
from basilcove.wiring.const import CATCH_UP_TIMEOUT_S

_QUERY_PREFIX: Final = 'catch-up/'


@dataclass
class CatchUp:
    """Whether the replica of this process holds all that was committed when it asked.

    ``target`` is the commit index that a majority confirmed since the start.
    """

    node: NodeId
    target: int | None = None
    asked_at: float = 0
    is_reported: bool = False


@handles(Tick, CatchUp)
def on_tick(state: CatchUp, event: Tick, ctx: Context) -> list[Effect]:
    """Ask for the commit index, and report once the replica has applied that far."""
    if state.is_reported:
        return []
    if state.target is not None:
        state.is_reported = ctx.node.part(ControlState).applied >= state.target
        return [Emit(distribution.ReplicaCaughtUp())] if state.is_reported else []
    if ctx.now - state.asked_at < CATCH_UP_TIMEOUT_S:
        return []
    state.asked_at = ctx.now
    return [Emit(Query(_query_id(state), ReadMembers(), ctx.now + CATCH_UP_TIMEOUT_S))]


@handles(QueryAnswered, CatchUp)
def on_answered(state: CatchUp, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Note the commit index that a majority confirmed."""
    if event.query_id.startswith(_QUERY_PREFIX) and isinstance(event.answer, MembersRead):
        state.target = event.answer.commit
    return []


def _query_id(state: CatchUp) -> str:
    return f'{_QUERY_PREFIX}{state.node}/{state.asked_at}'
