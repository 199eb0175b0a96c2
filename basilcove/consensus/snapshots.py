"""Taking, sending and installing snapshots."""

from basilcove.consensus.durability import persist_snapshot, send_when_durable
from basilcove.consensus.events import SnapshotInstalled, SnapshotTaken
from basilcove.consensus.messages import SnapshotAnswer, SnapshotChunk
from basilcove.consensus.models import ConsensusState, IncomingSnapshot
from basilcove.consensus.replication import observe_leader, replicate
from basilcove.consensus.terms import is_from_cluster, observe_term
from basilcove.consensus.transfer import send_chunk
from basilcove.core.events import Effect, Emit, Log, Received
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.storage.models import LogEntry, Snapshot


@handles(SnapshotTaken, ConsensusState)
def _on_snapshot_taken(state: ConsensusState, event: SnapshotTaken, ctx: Context) -> list[Effect]:
    state.is_snapshot_pending = False
    term = state.log.term_at(event.index)
    if term is None or (state.snapshot is not None and event.index <= state.snapshot.index):
        return []
    snapshot = Snapshot(event.index, term, state.members_at(event.index).encode(), event.body)
    state.snapshot = snapshot
    effect = persist_snapshot(state, snapshot)
    state.log_bytes = sum(
        len(entry.body) for entry in state.log.between(event.index + 1, state.log.last_index)
    )
    state.log.compact(event.index - state.kept_entries)
    while len(state.history) > 1 and state.history[1][0] <= state.log.base_index:
        state.history.pop(0)
    return [effect]


@handles_message(SnapshotChunk, ConsensusState)
def _on_chunk(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, SnapshotChunk) or not is_from_cluster(state, event, msg.target):
        return []
    if msg.term < state.term:
        return send_when_durable(state, event.peer.node, _build_answer(state, msg, 0))
    effects = observe_leader(state, msg, ctx.now)
    received = msg.total
    if msg.index > state.commit:
        received = _add_chunk(state, msg)
        if received == msg.total:
            effects.extend(_install(state, msg))
    return [*effects, *send_when_durable(state, event.peer.node, _build_answer(state, msg, received))]


def _build_answer(state: ConsensusState, msg: SnapshotChunk, received: int) -> SnapshotAnswer:
    return SnapshotAnswer(state.cluster, state.member, state.term, msg.index, received)


def _add_chunk(state: ConsensusState, msg: SnapshotChunk) -> int:
    """Append a chunk if it is the next one; return the number of bytes received so far."""
    incoming = state.incoming_snapshot
    if incoming is None or (incoming.index, incoming.index_term) != (msg.index, msg.index_term):
        incoming = IncomingSnapshot(msg.index, msg.index_term)
        state.incoming_snapshot = incoming
    if msg.offset == len(incoming.body):
        incoming.body.extend(msg.body)
    return len(incoming.body)


def _install(state: ConsensusState, msg: SnapshotChunk) -> list[Effect]:
    incoming = state.incoming_snapshot
    if incoming is None:
        return []
    snapshot = Snapshot(msg.index, msg.index_term, msg.members, bytes(incoming.body))
    state.incoming_snapshot = None
    tail: tuple[LogEntry, ...] = ()
    if state.log.term_at(snapshot.index) == snapshot.term:
        tail = state.log.between(snapshot.index + 1, state.log.last_index)
    state.restore(snapshot)
    state.log.extend(tail)
    for entry in tail:
        state.track_entry(entry)
    state.verified_index = max(state.verified_index, snapshot.index)
    # No entry of the new log counts as synced until the snapshot is; earlier writes no longer count.
    state.durability.synced_index = 0
    for write in state.durability.pending:
        write.last_index = 0
    log = Log('info', 'snapshot installed', (('index', str(snapshot.index)),))
    return [log, persist_snapshot(state, snapshot), Emit(SnapshotInstalled(snapshot.index, snapshot.body))]


@handles_message(SnapshotAnswer, ConsensusState)
def _on_chunk_answer(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, SnapshotAnswer) or not is_from_cluster(state, event):
        return []
    if msg.term > state.term:
        return observe_term(state, msg.term, ctx.now)
    progress = state.leader_state.progress.get(msg.sender)
    if progress is None or msg.term != state.term:
        return []
    progress.contact_at = ctx.now
    snapshot = progress.snapshot
    if snapshot is None or msg.index != snapshot.index:
        return []
    if msg.received < len(snapshot.body):
        if msg.received == progress.snapshot_offset:
            return []
        progress.snapshot_offset = msg.received
        return [send_chunk(state, msg.sender, ctx.now)]
    progress.snapshot = None
    progress.next_index = max(progress.match, snapshot.index) + 1
    progress.is_probing = True
    return replicate(state, msg.sender, ctx.now)
