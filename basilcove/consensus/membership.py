"""Changes of the control group, one member at a time."""

import dataclasses

from basilcove.consensus.const import MAX_MEMBERS, SILENT_AFTER_S
from basilcove.consensus.events import ChangeMembers, EntryAppended, EntryRefused
from basilcove.consensus.models import ConsensusState, Member, Members
from basilcove.consensus.removal import find_removable, max_voters, silent_s
from basilcove.consensus.replication import append_as_leader
from basilcove.consensus.terms import become_follower
from basilcove.core.events import Effect, Emit, Log
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, handles
from basilcove.storage.models import EntryKind

_MIN_VOTERS = 2


def may_change(state: ConsensusState) -> bool:
    """Tell whether this leader may change the group now.

    It must have committed an entry of its own term and the previous change;
    otherwise two groups without a common majority could exist.
    """
    if not state.is_leader or state.commit < state.leader_state.first_index:
        return False
    return not state.history or state.history[-1][0] <= state.commit


def admit_identity(state: ConsensusState, node: NodeId, member: str, ctx: Context) -> list[Effect]:
    """Make a host that joins with an empty disk a learner; it replaces the host's former identity."""
    existing = state.members.find(node)
    if not may_change(state) or node == state.node:
        return []
    if existing is None and (not state.admits_unknown or len(state.members.members) >= MAX_MEMBERS):
        return []
    if existing is not None and _identity_number(member) <= _identity_number(existing.member):
        return []
    log = Log('warning', 'control host joins under a new identity', (('member', member),))
    return [
        log,
        *_append_members(state, state.members.replace_member(node, Member(node, member, voter=False)), ctx),
    ]


def promote_learner(state: ConsensusState, ctx: Context) -> list[Effect]:
    """Make a learner a voter once it has synced all committed entries."""
    if not may_change(state) or len(state.members.voters()) >= max_voters(state):
        return []
    for member in state.members.members:
        progress = state.leader_state.progress.get(member.member)
        if member.voter or progress is None or progress.match < state.commit:
            continue
        if silent_s(state, member, ctx.now) > SILENT_AFTER_S:
            continue
        log = Log('info', 'learner becomes a voter', (('member', member.member),))
        voter = Member(member.node, member.member, voter=True)
        return [log, *_append_members(state, state.members.replace_member(member.node, voter), ctx)]
    return []


def remove_lost(state: ConsensusState, ctx: Context) -> list[Effect]:
    """Remove a member that has sent nothing for some time, if the group bears as many losses without it.

    Only in a group that admits every host: there a replaced host would remain a member for ever, and a host
    that was only cut off joins again.
    """
    if not state.admits_unknown or not may_change(state):
        return []
    lost = find_removable(state, ctx.now)
    if lost is None:
        return []
    text = 'lost voter is removed' if lost.voter else 'lost learner is removed'
    silence = f'{silent_s(state, lost, ctx.now):.1f}'
    voters = str(len(state.members.voters()))
    log = Log('warning', text, (('member', lost.member), ('silent_s', silence), ('voters', voters)))
    return [log, *_append_members(state, state.members.replace_member(lost.node, None), ctx)]


def step_down_if_removed(state: ConsensusState, now: float) -> list[Effect]:
    """Step down once a group without this member is committed."""
    if not state.is_leader or state.history[-1][0] > state.commit:
        return []
    return [] if state.member in state.members.voters() else become_follower(state, '', now)


@handles(ChangeMembers, ConsensusState)
def _on_change(state: ConsensusState, event: ChangeMembers, ctx: Context) -> list[Effect]:
    reason = _temporary_refusal(state)
    if reason:
        return [Emit(EntryRefused(event.token, reason, state.leader_node))]
    reason = _final_refusal(state, event)
    if reason:
        return [Emit(EntryRefused(event.token, reason, state.leader_node, is_final=True))]
    member = Member(event.node, '', voter=False) if event.admit else None
    members = state.members.replace_member(event.node, member)
    members = dataclasses.replace(members, request_id=event.request_id, request_digest=event.request_digest)
    effects = _append_members(state, members, ctx)
    return [Emit(EntryAppended(event.token, state.log.last_index, state.term)), *effects]


def _temporary_refusal(state: ConsensusState) -> str:
    if not state.is_leader:
        return 'not the leader'
    if state.is_stopping:
        return 'the leader is stopping'
    if not may_change(state):
        return 'another change of members is under way'
    return ''


def _final_refusal(state: ConsensusState, event: ChangeMembers) -> str:
    existing = state.members.find(event.node)
    if event.admit:
        return _refusal_to_admit(state, existing)
    if existing is None:
        return 'the host is not a member'
    if existing.voter and len(state.members.voters()) <= _MIN_VOTERS:
        return 'too few voters would remain'
    return ''


def _refusal_to_admit(state: ConsensusState, existing: Member | None) -> str:
    if existing is not None:
        return 'the host is a member already'
    return 'too many members' if len(state.members.members) >= MAX_MEMBERS else ''


def _append_members(state: ConsensusState, members: Members, ctx: Context) -> list[Effect]:
    return append_as_leader(state, EntryKind.MEMBERS, members.encode(), ctx)


def _identity_number(member: str) -> int:
    return int(member.rpartition(':')[2] or -1)
