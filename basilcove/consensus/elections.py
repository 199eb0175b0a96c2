"""Trial votes, elections and the start of a leader's term."""

from basilcove.consensus.const import ELECTION_TIMEOUT_S
from basilcove.consensus.durability import persist, send_when_durable
from basilcove.consensus.messages import VoteAnswer, VoteRequest
from basilcove.consensus.models import ConsensusState, LeaderState, MemberState
from basilcove.consensus.replication import append_as_leader, update_progress
from basilcove.consensus.terms import (
    become_follower,
    has_majority,
    is_from_cluster,
    observe_term,
    postpone_campaign,
)
from basilcove.core.events import Effect, Log, Received
from basilcove.core.reducer import Context, handles_message
from basilcove.storage.models import EntryKind


def campaign_if_due(state: ConsensusState, ctx: Context) -> list[Effect]:
    """Begin a trial vote if the election timeout has passed without a message from a leader."""
    if state.campaign_at is None:
        postpone_campaign(state, ctx.now)
    if state.is_stopping or state.member not in state.members.voters():
        return []
    if ctx.now < (state.campaign_at or 0):
        return []
    state.campaigns += 1
    effects = become_follower(state, '', ctx.now)
    state.member_state = MemberState.TRIAL_CANDIDATE
    state.votes = {state.member}
    return [*effects, *_request_votes(state, trial=True), *count_votes(state, ctx)]


def count_votes(state: ConsensusState, ctx: Context) -> list[Effect]:
    """Proceed to the election, or become the leader, once a majority has granted its vote."""
    if not has_majority(state, state.votes):
        return []
    if state.member_state is MemberState.TRIAL_CANDIDATE:
        return _campaign(state, ctx)
    if state.member_state is MemberState.CANDIDATE:
        return _become_leader(state, ctx)
    return []


def take_over(state: ConsensusState, ctx: Context) -> list[Effect]:
    """Begin an election that the leader asked for; no trial vote is needed."""
    log = Log('info', 'taking over from the leader', (('term', str(state.term)),))
    return [log, *become_follower(state, '', ctx.now), *_campaign(state, ctx, handover=True)]


def _campaign(state: ConsensusState, ctx: Context, handover: bool = False) -> list[Effect]:
    state.member_state = MemberState.CANDIDATE
    state.term += 1
    state.vote = state.member
    # This member's own vote counts once it is synced; see the handler of ``Persisted``.
    state.votes.clear()
    postpone_campaign(state, ctx.now)
    return [persist(state, (), with_hard_state=True), *_request_votes(state, trial=False, handover=handover)]


def _request_votes(state: ConsensusState, trial: bool, handover: bool = False) -> list[Effect]:
    term = state.term + 1 if trial else state.term
    last = (state.log.last_index, state.log.last_term)
    request = VoteRequest(state.cluster, state.member, term, *last, trial, handover)
    effects: list[Effect] = []
    for member in state.members.members:
        if member.voter and member.member != state.member:
            effects.extend(send_when_durable(state, member.node, request))
    return effects


def _asked_term(state: ConsensusState, trial: bool) -> int:
    return state.term + 1 if trial else state.term


def _become_leader(state: ConsensusState, ctx: Context) -> list[Effect]:
    state.member_state = MemberState.LEADER
    state.leader = state.member
    state.leader_state = LeaderState(elected_at=ctx.now, first_index=state.log.last_index + 1)
    update_progress(state, state.leader_state.first_index, ctx.now)
    log = Log('info', 'elected leader', (('term', str(state.term)),))
    return [log, *append_as_leader(state, EntryKind.EMPTY, b'', ctx)]


@handles_message(VoteRequest, ConsensusState)
def _on_vote_request(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, VoteRequest) or not is_from_cluster(state, event):
        return []
    if not msg.handover and _has_leader(state, ctx.now) and msg.term > state.term:
        # A member that gets no messages from the leader must not depose it while others do get them.
        return []
    effects: list[Effect] = []
    if msg.trial:
        granted = msg.term > state.term and _is_log_current(state, msg)
    else:
        effects.extend(observe_term(state, msg.term, ctx.now))
        granted = _may_vote(state, msg)
        if granted and not state.vote:
            state.vote = msg.sender
            postpone_campaign(state, ctx.now)
            effects.append(persist(state, (), with_hard_state=True))
    answer = VoteAnswer(state.cluster, state.member, state.term, msg.term, msg.trial, granted)
    return [*effects, *send_when_durable(state, event.peer.node, answer)]


def _has_leader(state: ConsensusState, now: float) -> bool:
    return state.is_leader or now - state.leader_contact_at < ELECTION_TIMEOUT_S


def _may_vote(state: ConsensusState, msg: VoteRequest) -> bool:
    if msg.term != state.term or state.vote not in {'', msg.sender}:
        return False
    return _is_log_current(state, msg)


def _is_log_current(state: ConsensusState, msg: VoteRequest) -> bool:
    return (msg.last_term, msg.last_index) >= (state.log.last_term, state.log.last_index)


@handles_message(VoteAnswer, ConsensusState)
def _on_vote_answer(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, VoteAnswer) or not is_from_cluster(state, event):
        return []
    if msg.term > state.term:
        return observe_term(state, msg.term, ctx.now)
    if not msg.granted or msg.trial != (state.member_state is MemberState.TRIAL_CANDIDATE):
        return []
    if msg.asked_term != _asked_term(state, msg.trial):
        return []
    state.votes.add(msg.sender)
    return count_votes(state, ctx)
