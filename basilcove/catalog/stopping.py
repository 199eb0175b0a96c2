"""Planned stop of a control replica.

The replica refuses new proposals and reads, answers the pending ones, and hands
leadership over to another voter before the process ends, so that no proposal
waits for an election timeout.
"""

from basilcove.catalog.client import ClientState
from basilcove.catalog.control import ControlState
from basilcove.consensus.events import HandOverRequested
from basilcove.consensus.models import ConsensusState
from basilcove.core.events import Effect, Emit, StopRequested, Tick
from basilcove.core.ids import Role
from basilcove.core.reducer import Context, handles
from basilcove.requests.events import StopCompleted


@handles(StopRequested, ControlState)
def _on_stop(state: ControlState, event: StopRequested, ctx: Context) -> list[Effect]:
    state.is_stopping = True
    return _continue_stop(state, ctx)


@handles(Tick, ControlState)
def _on_tick(state: ControlState, event: Tick, ctx: Context) -> list[Effect]:
    return _continue_stop(state, ctx)


def _continue_stop(state: ControlState, ctx: Context) -> list[Effect]:
    if not state.is_stopping or state.is_stopped:
        return []
    if state.pending_proposals or state.pending_reads:
        return []
    if ctx.node.part(ConsensusState).is_leader:
        return [Emit(HandOverRequested())]
    if _has_pending_proposals(ctx):
        return []
    state.is_stopped = True
    return [StopCompleted(Role.CONTROL)]


def _has_pending_proposals(ctx: Context) -> bool:
    if not ctx.node.has(ClientState):
        return False
    return any(not pending.is_read for pending in ctx.node.part(ClientState).pending.values())
