"""Handles ticks, completed writes, proposals and reads of a control host."""

from basilcove.consensus import handover as _handover  # noqa: F401
from basilcove.consensus import snapshots as _snapshots  # noqa: F401
from basilcove.consensus.const import (
    ELECTION_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    MAX_UNCOMMITTED_ENTRIES,
    MIN_PAUSE_S,
)
from basilcove.consensus.durability import confirm_writes, is_hard_state_durable
from basilcove.consensus.elections import campaign_if_due, count_votes
from basilcove.consensus.events import (
    EntriesCommitted,
    EntryAppended,
    EntryRefused,
    ProposeEntry,
    ReadIndex,
    ReadRefused,
    ReplicaDamaged,
)
from basilcove.consensus.forming import ask_first_members, ask_to_join, form_if_ready
from basilcove.consensus.membership import promote_learner, remove_lost, step_down_if_removed
from basilcove.consensus.models import ConsensusState, MemberState, PendingRead, node_of
from basilcove.consensus.replication import (
    advance_commit,
    append_as_leader,
    build_append_answer,
    confirm_reads,
    resend_overdue,
    send_heartbeats,
)
from basilcove.consensus.terms import become_follower, has_majority
from basilcove.core.events import Count, Effect, Emit, HandlerFailed, Log, Send, Tick
from basilcove.core.reducer import Context, handles
from basilcove.storage.events import Persisted, StorageFailed, StorageRecovered
from basilcove.storage.models import EntryKind


@handles(Tick, ConsensusState)
def _on_tick(state: ConsensusState, event: Tick, ctx: Context) -> list[Effect]:
    paused_s, state.ticked_at = ctx.now - state.ticked_at, ctx.now
    if state.member_state is MemberState.FAILED:
        return []
    if MIN_PAUSE_S < paused_s < ELECTION_TIMEOUT_S:
        _discount_pause(state, paused_s, ctx.now)
    if state.member_state is MemberState.UNFORMED:
        return [*ask_first_members(state, ctx.now), *form_if_ready(state)]
    if state.is_leader:
        return _tick_leader(state, ctx)
    return [*ask_to_join(state, ctx.now), *campaign_if_due(state, ctx)]


def _discount_pause(state: ConsensusState, paused_s: float, now: float) -> None:
    """Don't count the time in which this process was busy: what arrived in it hasn't been read yet.

    A process that was paused for longer than the election timeout finds out whether another one leads.
    """
    for progress in state.leader_state.progress.values():
        progress.contact_at = min(now, progress.contact_at + paused_s)


def _tick_leader(state: ConsensusState, ctx: Context) -> list[Effect]:
    responsive = {state.member}
    for member, progress in state.leader_state.progress.items():
        if ctx.now - progress.contact_at < ELECTION_TIMEOUT_S:
            responsive.add(member)
    if not has_majority(state, responsive):
        log = Log('warning', 'no majority heard, stepping down', (('term', str(state.term)),))
        return [log, *become_follower(state, '', ctx.now)]
    effects = resend_overdue(state, ctx.now)
    if ctx.now - state.leader_state.heartbeat_at >= HEARTBEAT_INTERVAL_S:
        effects.extend(send_heartbeats(state, ctx))
    return [*effects, *(promote_learner(state, ctx) or remove_lost(state, ctx))]


@handles(Persisted, ConsensusState)
def _on_persisted(state: ConsensusState, event: Persisted, ctx: Context) -> list[Effect]:
    if state.member_state is MemberState.FAILED:
        return []
    synced = state.durability.synced_index
    effects = confirm_writes(state, event.ticket)
    if state.member_state is MemberState.UNFORMED:
        return [*effects, *form_if_ready(state)]
    if state.is_leader:
        return [*effects, *advance_commit(state)]
    if state.member_state is MemberState.CANDIDATE and is_hard_state_durable(state):
        state.votes.add(state.member)
        return [*effects, *count_votes(state, ctx)]
    if state.leader and state.durability.synced_index > synced and is_hard_state_durable(state):
        effects.append(Send(node_of(state.leader), build_append_answer(state, accepted=True)))
    return effects


@handles(StorageFailed, ConsensusState)
def _on_storage_failed(state: ConsensusState, event: StorageFailed, ctx: Context) -> list[Effect]:
    effects = _stop_acknowledging(state, event.reason, ctx.now)
    log = Log('error', 'storage failed; this replica acknowledges nothing', (('reason', event.reason),))
    return [*effects, log, Count('storage_failures')]


@handles(HandlerFailed, ConsensusState)
def _on_handler_failed(state: ConsensusState, event: HandlerFailed, ctx: Context) -> list[Effect]:
    """Acknowledge nothing until a restart: what is in memory may differ from what is durable."""
    return [Emit(ReplicaDamaged(event.reason))] if event.state_type is ConsensusState else []


@handles(ReplicaDamaged, ConsensusState)
def _on_replica_damaged(state: ConsensusState, event: ReplicaDamaged, ctx: Context) -> list[Effect]:
    state.is_damaged = True
    effects = _stop_acknowledging(state, event.reason, ctx.now)
    fields = (('reason', event.reason),)
    return [*effects, Log('error', 'a handler failed; this replica acknowledges nothing', fields)]


def _stop_acknowledging(state: ConsensusState, reason: str, now: float) -> list[Effect]:
    effects = become_follower(state, '', now)
    state.member_state = MemberState.FAILED
    state.failure = reason
    state.durability.deferred.clear()
    return effects


@handles(StorageRecovered, ConsensusState)
def _on_storage_recovered(state: ConsensusState, event: StorageRecovered, ctx: Context) -> list[Effect]:
    """Rejoin the group; the storage driver now writes in order what it could not write before."""
    if state.is_damaged:
        return []
    effects = become_follower(state, '', ctx.now)
    if not state.cluster:
        state.member_state = MemberState.UNFORMED
    fields = (('reason', state.failure),)
    state.failure = ''
    return [*effects, Log('info', 'storage takes writes again; this replica takes part', fields)]


@handles(EntriesCommitted, ConsensusState)
def _on_committed(state: ConsensusState, event: EntriesCommitted, ctx: Context) -> list[Effect]:
    return step_down_if_removed(state, ctx.now)


@handles(ProposeEntry, ConsensusState)
def _on_propose(state: ConsensusState, event: ProposeEntry, ctx: Context) -> list[Effect]:
    reason = ''
    if not state.is_leader:
        reason = 'not the leader'
    elif state.is_stopping:
        reason = 'the leader is stopping'
    elif state.log.last_index - state.commit >= MAX_UNCOMMITTED_ENTRIES:
        reason = 'too many uncommitted entries'
    if reason:
        return [Emit(EntryRefused(event.token, reason, state.leader_node))]
    effects = append_as_leader(state, EntryKind.COMMAND, event.body, ctx)
    return [Emit(EntryAppended(event.token, state.log.last_index, state.term)), *effects]


@handles(ReadIndex, ConsensusState)
def _on_read_index(state: ConsensusState, event: ReadIndex, ctx: Context) -> list[Effect]:
    if not state.is_leader:
        return [Emit(ReadRefused(event.token, state.leader_node))]
    leader_state = state.leader_state
    leader_state.round += 1
    # Entries of earlier terms may be committed without this leader knowing it yet.
    index = max(state.commit, leader_state.first_index)
    leader_state.reads.append(PendingRead(event.token, leader_state.round, index))
    return [*send_heartbeats(state, ctx), *confirm_reads(state)]
