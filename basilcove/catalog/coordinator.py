"""Applies the replicated log to the replicated state, and answers proposals and reads."""

import dataclasses

from basilcove.catalog import evidence
from basilcove.catalog import stopping as _stopping  # noqa: F401
from basilcove.catalog.apply import apply_logged, apply_members, compute_digest, find_first_answer
from basilcove.catalog.commands import AdmitHost, RefuseHostChange, RemoveHost
from basilcove.catalog.const import ATTEMPT_RETENTION_S, COMMAND_LIFETIME_S
from basilcove.catalog.control import ControlState, PendingAnswer
from basilcove.catalog.delivery import deliver
from basilcove.catalog.events import DocumentAccepted, EvacuationsCommitted
from basilcove.catalog.messages import Answer, Ask, LoggedCommand
from basilcove.catalog.models import DocumentKey, DocumentRow
from basilcove.catalog.outcomes import CommandRefused, DocumentRefused, MembersChanged
from basilcove.catalog.reads import answer_read
from basilcove.catalog.snapshot import decode_state, encode_state
from basilcove.consensus.events import (
    ChangeMembers,
    EntriesCommitted,
    EntryAppended,
    EntryRefused,
    LeadershipLost,
    ProposeEntry,
    ReadIndex,
    ReadReady,
    ReadRefused,
    ReplicaDamaged,
    SnapshotInstalled,
    SnapshotNeeded,
    SnapshotTaken,
)
from basilcove.consensus.models import ConsensusState, Members
from basilcove.core.events import Effect, Emit, HandlerFailed, Message, Received, Tick
from basilcove.core.ids import NodeId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.helpers.codec import CodecError, decode, encode
from basilcove.storage.models import EntryKind, LogEntry


@handles_message(Ask, ControlState)
def _on_ask(state: ControlState, event: Received, ctx: Context) -> list[Effect]:
    ask = event.message
    if not isinstance(ask, Ask) or not _record_attempt(state, ask, ctx.now):
        return []
    if ask.origin != event.peer.node and Role.CONTROL not in event.peer.roles:
        return []
    pending = PendingAnswer(ask, event.peer.node)
    consensus = ctx.node.part(ConsensusState)
    if state.is_stopping:
        return _refuse(state, pending, 'the host is stopping', consensus.leader_node)
    if consensus.is_leader:
        return _accept_ask(state, pending, ctx)
    leader = consensus.leader_node
    # An ask is forwarded at most once, so that hosts with an outdated leader can't forward it in circles.
    if leader is None or ask.origin != event.peer.node:
        return _refuse(state, pending, 'no leader is known', leader)
    return [deliver(state.node, leader, ask)]


def _record_attempt(state: ControlState, ask: Ask, now: float) -> bool:
    """Record an attempt and tell whether it is new; a duplicate must not be carried out after its refusal."""
    while state.seen_attempts:
        oldest = next(iter(state.seen_attempts))
        if now - state.seen_attempts[oldest] < ATTEMPT_RETENTION_S:
            break
        state.seen_attempts.pop(oldest)
    key = (ask.origin, ask.proposal_id, ask.attempt)
    if key in state.seen_attempts:
        return False
    state.seen_attempts[key] = now
    return True


def _accept_ask(state: ControlState, pending: PendingAnswer, ctx: Context) -> list[Effect]:
    ask = pending.ask
    if ask.read:
        token = f'{ask.origin}/{ask.proposal_id}/{ask.attempt}'
        state.pending_reads[token] = pending
        return [Emit(ReadIndex(token))]
    earlier = state.pending_proposals.get(ask.proposal_id)
    if earlier is not None:
        state.pending_proposals[ask.proposal_id] = dataclasses.replace(earlier, ask=ask, peer=pending.peer)
        return []
    if ask.expires > ctx.wall_time + 2 * COMMAND_LIFETIME_S:
        return _refuse(state, pending, 'the clocks differ by more than the lifetime of a command', None)
    try:
        command = decode(ask.kind, ask.body)
    except CodecError as exc:
        return [_answer(state, pending, CommandRefused(str(exc)))]
    if isinstance(command, AdmitHost | RemoveHost):
        return _change_members(state, pending, command)
    prepared = evidence.prepare_command(state, command)
    if isinstance(prepared, DocumentRefused):
        return [_answer(state, pending, prepared)]
    state.pending_proposals[ask.proposal_id] = pending
    return [_log_command(ask, prepared)]


def _log_command(ask: Ask, command: Message) -> Effect:
    logged = LoggedCommand(ask.proposal_id, ask.expires, *encode(command))
    return Emit(ProposeEntry(ask.proposal_id, encode(logged)[1]))


def _change_members(
    state: ControlState, pending: PendingAnswer, command: AdmitHost | RemoveHost
) -> list[Effect]:
    """Change the group, or return the first answer to the request.

    A leader changes the group only once it has applied all earlier changes, so
    a request that is not in the applied state then has not been carried out.
    """
    digest = compute_digest(command)
    first_answer = find_first_answer(state.catalog, command.request_id, digest)
    if not command.request_id:
        first_answer = CommandRefused('the request has no id')
    if first_answer is not None:
        return [_answer(state, pending, first_answer)]
    token = pending.ask.proposal_id
    state.pending_proposals[token] = pending
    admit = isinstance(command, AdmitHost)
    return [Emit(ChangeMembers(token, command.node, admit, command.request_id, digest))]


def _answer(state: ControlState, pending: PendingAnswer, result: Message) -> Effect:
    ask = pending.ask
    kind, body = encode(result)
    answer = Answer(ask.proposal_id, ask.origin, ask.attempt, kind, body, '', NodeId(''))
    return deliver(state.node, pending.peer, answer)


def _refuse(state: ControlState, pending: PendingAnswer, reason: str, leader: NodeId | None) -> list[Effect]:
    ask = pending.ask
    answer = Answer(ask.proposal_id, ask.origin, ask.attempt, '', b'', reason, leader or NodeId(''))
    return [deliver(state.node, pending.peer, answer)]


@handles_message(Answer, ControlState)
def _on_answer(state: ControlState, event: Received, ctx: Context) -> list[Effect]:
    """Forward the leader's answer to the node whose ask was forwarded."""
    answer = event.message
    if not isinstance(answer, Answer) or answer.origin == state.node:
        return []
    return [deliver(state.node, answer.origin, answer)]


@handles(EntryAppended, ControlState)
def _on_appended(state: ControlState, event: EntryAppended, ctx: Context) -> list[Effect]:
    pending = state.pending_proposals[event.token]
    state.pending_proposals[event.token] = dataclasses.replace(pending, index=event.index, term=event.term)
    state.proposals_by_index[event.index] = event.token
    return []


@handles(EntryRefused, ControlState)
def _on_refused(state: ControlState, event: EntryRefused, ctx: Context) -> list[Effect]:
    pending = state.pending_proposals.get(event.token)
    if pending is None:
        return []
    if event.is_final:
        command = decode(pending.ask.kind, pending.ask.body)
        if isinstance(command, AdmitHost | RemoveHost):
            refusal = RefuseHostChange(command.request_id, compute_digest(command), event.reason)
            return [_log_command(pending.ask, refusal)]
    state.pending_proposals.pop(event.token)
    return _refuse(state, pending, event.reason, event.leader)


@handles(LeadershipLost, ControlState)
def _on_leadership_lost(state: ControlState, event: LeadershipLost, ctx: Context) -> list[Effect]:
    state.pending_proposals.clear()
    state.proposals_by_index.clear()
    return []


@handles(EntriesCommitted, ControlState)
def _on_committed(state: ControlState, event: EntriesCommitted, ctx: Context) -> list[Effect]:
    """Apply entries; after a restart they may hold many revisions, of which only the last is announced."""
    before = dict(state.catalog.documents)
    former_version = state.catalog.evacuations.version
    answers: list[Effect] = []
    for entry in event.entries:
        answers.extend(_apply_entry(state, entry))
        state.applied = entry.index
    effects = _announce_changes(state, before)
    if state.catalog.evacuations.version != former_version:
        effects.append(_announce_evacuations(state))
    return [*effects, *answers]


def _apply_entry(state: ControlState, entry: LogEntry) -> list[Effect]:
    pending = state.pending_proposals.pop(state.proposals_by_index.pop(entry.index, ''), None)
    result: Message = MembersChanged()
    if entry.kind is EntryKind.MEMBERS:
        apply_members(state.catalog, Members.decode(entry.body), entry.time)
    if entry.kind is EntryKind.COMMAND:
        result = apply_logged(state.catalog, _decode_logged(entry.body), entry.time)
    if pending is None or pending.term != entry.term:
        return []
    return [_answer(state, pending, result)]


def _decode_logged(body: bytes) -> LoggedCommand:
    logged = decode('catalog.logged_command', body)
    if not isinstance(logged, LoggedCommand):
        raise TypeError(f'{type(logged).__name__} in the log')
    return logged


def _announce_changes(state: ControlState, before: dict[DocumentKey, DocumentRow]) -> list[Effect]:
    return [_announce(row) for key, row in state.catalog.documents.items() if before.get(key) is not row]


def _announce(row: DocumentRow) -> Effect:
    return Emit(DocumentAccepted(row.environment, row.stage, row.revision, row.text))


def _announce_evacuations(state: ControlState) -> Effect:
    return Emit(EvacuationsCommitted(state.catalog.evacuations))


def _announce_all(state: ControlState) -> list[Effect]:
    effects = [_announce(row) for row in state.catalog.documents.values()]
    if state.catalog.evacuations.version:
        effects.append(_announce_evacuations(state))
    return effects


@handles(SnapshotNeeded, ControlState)
def _on_snapshot_needed(state: ControlState, event: SnapshotNeeded, ctx: Context) -> list[Effect]:
    return [Emit(SnapshotTaken(state.applied, encode_state(state.catalog)))]


@handles(SnapshotInstalled, ControlState)
def _on_snapshot_installed(state: ControlState, event: SnapshotInstalled, ctx: Context) -> list[Effect]:
    state.catalog = decode_state(event.body)
    state.applied = event.index
    return _announce_all(state)


@handles(Tick, ControlState)
def _on_tick(state: ControlState, event: Tick, ctx: Context) -> list[Effect]:
    if state.has_announced_documents:
        return []
    # The content of the snapshot with which the process started has not been announced yet.
    state.has_announced_documents = True
    return _announce_all(state)


@handles(HandlerFailed, ControlState)
def _on_handler_failed(state: ControlState, event: HandlerFailed, ctx: Context) -> list[Effect]:
    return [Emit(ReplicaDamaged(event.reason))] if event.state_type is ControlState else []


@handles(ReadReady, ControlState)
def _on_read_ready(state: ControlState, event: ReadReady, ctx: Context) -> list[Effect]:
    pending = state.pending_reads.pop(event.token, None)
    if pending is None:
        return []
    try:
        read = decode(pending.ask.kind, pending.ask.body)
    except CodecError as exc:
        return [_answer(state, pending, CommandRefused(str(exc)))]
    return [_answer(state, pending, answer_read(state, ctx.node.part(ConsensusState), read))]


@handles(ReadRefused, ControlState)
def _on_read_refused(state: ControlState, event: ReadRefused, ctx: Context) -> list[Effect]:
    pending = state.pending_reads.pop(event.token, None)
    return [] if pending is None else _refuse(state, pending, 'not the leader', event.leader)
