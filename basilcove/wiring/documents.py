"""Connects the replicated documents to their distribution."""

from dataclasses import dataclass
from typing import Final

from basilcove.catalog.commands import ReadMembers
from basilcove.catalog.control import ControlState
from basilcove.catalog.events import Query, QueryAnswered
from basilcove.catalog.outcomes import MembersRead
from basilcove.consensus.models import ConsensusState
from basilcove.core.events import Effect, Emit, Tick
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, handles
from basilcove.distribution import events as distribution
from basilcove.wiring.const import CATCH_UP_TIMEOUT_S

_QUERY_PREFIX: Final = 'catch-up/'


@dataclass
class CatchUp:
    """Whether the replica of this process has applied all entries that were committed when it asked.

    ``target`` is the commit index that a majority confirmed since the start or
    since the replica last followed no leader. ``voters_index`` is the index of
    the last reported voters.
    """

    node: NodeId
    target: int | None = None
    asked_at: float = 0
    is_reported: bool = False
    voters_index: int = 0


@handles(Tick, CatchUp)
def on_tick(state: CatchUp, event: Tick, ctx: Context) -> list[Effect]:
    """Report that the replica has caught up, and that it was cut off once it follows no leader.

    A removed host may never be notified of its removal, but it stops hearing a leader.
    """
    consensus = ctx.node.part(ConsensusState)
    if not consensus.has_leader_contact(ctx.now):
        was_reported, state.is_reported, state.target = state.is_reported, False, None
        return [Emit(distribution.ReplicaCutOff())] if was_reported else []
    if state.is_reported:
        return _report_voters(state, consensus)
    if state.target is not None:
        state.is_reported = ctx.node.part(ControlState).applied >= state.target
        if not state.is_reported:
            return []
        return [*_report_voters(state, consensus), Emit(distribution.ReplicaCaughtUp())]
    if ctx.now - state.asked_at < CATCH_UP_TIMEOUT_S:
        return []
    state.asked_at = ctx.now
    return [Emit(Query(_query_id(state), ReadMembers(), ctx.now + CATCH_UP_TIMEOUT_S))]


@handles(QueryAnswered, CatchUp)
def on_answered(state: CatchUp, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Store the commit index that a majority confirmed."""
    if event.query_id.startswith(_QUERY_PREFIX) and isinstance(event.answer, MembersRead):
        state.target = event.answer.commit
    return []


def _report_voters(state: CatchUp, consensus: ConsensusState) -> list[Effect]:
    index, members = consensus.committed_members()
    if index <= state.voters_index:
        return []
    state.voters_index = index
    voters = tuple(member.node for member in members.members if member.voter)
    return [Emit(distribution.ControlMembersChanged(index, voters))]


def _query_id(state: CatchUp) -> str:
    return f'{_QUERY_PREFIX}{state.node}/{state.asked_at}'
