"""Planned stop of a member: it hands leadership over to another voter."""

from basilcove.consensus.elections import take_over
from basilcove.consensus.events import HandOverRequested
from basilcove.consensus.messages import HandOver
from basilcove.consensus.models import ConsensusState, MemberState
from basilcove.consensus.terms import is_from_cluster
from basilcove.core.events import Effect, Received, Send, StopRequested
from basilcove.core.reducer import Context, handles, handles_message


@handles(StopRequested, ConsensusState)
def _on_stop(state: ConsensusState, event: StopRequested, ctx: Context) -> list[Effect]:
    state.is_stopping = True
    return []


@handles(HandOverRequested, ConsensusState)
def _on_requested(state: ConsensusState, event: HandOverRequested, ctx: Context) -> list[Effect]:
    """Ask the voter with the most recent message among those whose log is complete to take over."""
    if not state.is_leader or state.commit < state.log.last_index:
        return []
    voters = state.members.voters()
    candidates = [
        (progress.contact_at, member)
        for member, progress in state.leader_state.progress.items()
        if member in voters and progress.match == state.log.last_index
    ]
    if not candidates:
        return []
    _, target = max(candidates)
    msg = HandOver(state.cluster, state.member, target, state.term)
    return [Send(state.leader_state.progress[target].node, msg)]


@handles_message(HandOver, ConsensusState)
def _on_hand_over(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, HandOver) or not is_from_cluster(state, event, msg.target):
        return []
    if msg.term != state.term or state.leader != msg.sender or state.member_state is not MemberState.FOLLOWER:
        return []
    if state.is_stopping or state.member not in state.members.voters():
        return []
    return take_over(state, ctx)
