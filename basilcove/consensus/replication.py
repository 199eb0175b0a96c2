"""Appending entries at the leader and its followers."""

from basilcove.consensus.const import MAX_INFLIGHT_APPENDS, RESEND_INTERVAL_S
from basilcove.consensus.durability import persist, send_when_durable
from basilcove.consensus.events import EntriesCommitted, ReadReady, SnapshotNeeded
from basilcove.consensus.messages import Append, AppendAnswer, SnapshotChunk
from basilcove.consensus.models import ConsensusState, Progress, Standing
from basilcove.consensus.terms import follow, has_majority, is_from_cluster, observe_term, postpone_campaign
from basilcove.consensus.transfer import send_chunk
from basilcove.core.events import Effect, Emit, Received, Send
from basilcove.core.reducer import Context, handles_message
from basilcove.storage.models import EntryKind, LogEntry


def sync_progress(state: ConsensusState, first_index: int, now: float) -> None:
    """Keep one progress for each other member that has joined; new ones begin at an entry.

    That entry must be about to be sent: its refusal tells where a member's log ends.
    """
    wanted = {member.member: member.node for member in state.members.members if member.member}
    wanted.pop(state.member, None)
    progress = state.leading.progress
    for gone in progress.keys() - wanted.keys():
        progress.pop(gone)
    for member, node in wanted.items():
        if member not in progress:
            progress[member] = Progress(node, first_index, heard_at=now)


def append_own(state: ConsensusState, kind: EntryKind, body: bytes, ctx: Context) -> list[Effect]:
    """Append an entry as the leader and send it to the others."""
    entry = LogEntry(state.log.last_index + 1, state.term, ctx.wall_time, kind, body)
    state.log.extend((entry,))
    state.note_entry(entry)
    effects = [persist(state, (entry,))]
    if kind is EntryKind.MEMBERS:
        sync_progress(state, entry.index, ctx.now)
    for member in state.leading.progress:
        effects.extend(replicate(state, member, ctx.now))
    return effects


def replicate(state: ConsensusState, member: str, now: float) -> list[Effect]:
    """Send a member what the flow limits allow."""
    progress = state.leading.progress[member]
    effects: list[Effect] = []
    if progress.snapshot is not None:
        return effects
    limit = 1 if progress.probing else MAX_INFLIGHT_APPENDS
    while progress.next_index <= state.log.last_index and len(progress.inflight) < limit:
        if state.log.term_at(progress.next_index - 1) is None:
            return [*effects, *_start_transfer(state, member, now)]
        entries = state.log.next_group(progress.next_index)
        effects.append(_append_message(state, member, progress.next_index - 1, entries))
        if not progress.inflight:
            progress.progressed_at = now
        progress.next_index += len(entries)
        progress.inflight.append(progress.next_index - 1)
    return effects


def heartbeat(state: ConsensusState, ctx: Context) -> list[Effect]:
    """Send a sign of life to all; its consistency check is at what a member acknowledged."""
    state.leading.heartbeat_at = ctx.now
    effects: list[Effect] = []
    for member, progress in state.leading.progress.items():
        previous = progress.match if state.log.term_at(progress.match) is not None else 0
        effects.append(_append_message(state, member, previous, ()))
    return effects


def resend_overdue(state: ConsensusState, now: float) -> list[Effect]:
    """Send again what a member has not acknowledged in time."""
    effects: list[Effect] = []
    for member, progress in state.leading.progress.items():
        if now - progress.progressed_at < RESEND_INTERVAL_S:
            continue
        if progress.snapshot is not None:
            effects.append(send_chunk(state, member, now))
        elif progress.inflight:
            progress.inflight.clear()
            progress.next_index = progress.match + 1
            progress.probing = True
            effects.extend(replicate(state, member, now))
    return effects


def _append_message(
    state: ConsensusState, member: str, previous: int, entries: tuple[LogEntry, ...]
) -> Effect:
    msg = Append(
        state.cluster,
        state.member,
        member,
        state.term,
        previous,
        state.log.term_at(previous) or 0,
        state.commit,
        state.leading.round,
        entries,
    )
    return Send(state.leading.progress[member].node, msg)


def _start_transfer(state: ConsensusState, member: str, now: float) -> list[Effect]:
    progress = state.leading.progress[member]
    progress.snapshot = state.snapshot
    progress.snapshot_offset = 0
    progress.inflight.clear()
    return [send_chunk(state, member, now)]


def hear_leader(state: ConsensusState, msg: Append | SnapshotChunk, now: float) -> list[Effect]:
    """Take account of a sign of life from the leader of the message's term."""
    effects = observe_term(state, msg.term, now)
    if state.standing is not Standing.FOLLOWER or state.leader != msg.sender:
        effects.extend(follow(state, msg.sender, now))
    state.heard_leader_at = now
    postpone_campaign(state, now)
    return effects


@handles_message(Append, ConsensusState)
def _on_append(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, Append) or not is_from_cluster(state, event, msg.target):
        return []
    if msg.term < state.term:
        return send_when_durable(state, event.peer.node, append_answer(state, accepted=False))
    effects = hear_leader(state, msg, ctx.now)
    conflict = _conflict(state, msg)
    if conflict is not None:
        answer = append_answer(state, accepted=False, round_number=msg.round, last_index=conflict)
        return [*effects, *send_when_durable(state, event.peer.node, answer)]
    effects.extend(_take_entries(state, msg.entries))
    verified = msg.previous_index + len(msg.entries)
    state.matched = max(state.matched, verified)
    effects.extend(commit_to(state, min(msg.commit, verified)))
    answer = append_answer(state, accepted=True, round_number=msg.round)
    return [*effects, *send_when_durable(state, event.peer.node, answer)]


def append_answer(
    state: ConsensusState, accepted: bool, round_number: int = 0, last_index: int | None = None
) -> AppendAnswer:
    """Return an acknowledgement; it covers only what is synced."""
    if last_index is None:
        last_index = state.log.last_index
    match = min(state.matched, state.durability.synced_index)
    return AppendAnswer(state.cluster, state.member, state.term, accepted, match, last_index, round_number)


def _conflict(state: ConsensusState, msg: Append) -> int | None:
    """Return the last index at which the logs may agree if they don't before the entries."""
    index = msg.previous_index
    if index < state.log.base_index:
        return None
    term = state.log.term_at(index)
    if term == msg.previous_term:
        return None
    if term is None:
        return state.log.last_index
    while index > state.commit and state.log.term_at(index) == term:
        index -= 1
    return index


def _take_entries(state: ConsensusState, entries: tuple[LogEntry, ...]) -> list[Effect]:
    """Append the entries that the log lacks, in place of those that conflict."""
    for position, entry in enumerate(entries):
        if entry.index <= state.commit or state.log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= state.log.last_index:
            state.truncate(entry.index)
        missing = entries[position:]
        state.log.extend(missing)
        for added in missing:
            state.note_entry(added)
        return [persist(state, missing)]
    return []


@handles_message(AppendAnswer, ConsensusState)
def _on_append_answer(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, AppendAnswer) or not is_from_cluster(state, event):
        return []
    if msg.term > state.term:
        return observe_term(state, msg.term, ctx.now)
    progress = state.leading.progress.get(msg.sender)
    if progress is None or msg.term != state.term:
        return []
    progress.heard_at = ctx.now
    progress.round = max(progress.round, msg.round)
    if msg.accepted:
        _note_match(progress, msg.match, ctx.now)
    elif progress.snapshot is None:
        progress.next_index = max(progress.match + 1, min(progress.next_index, msg.last_index + 1))
        progress.inflight.clear()
        progress.probing = True
    effects = [*advance_commit(state), *confirm_reads(state)]
    if msg.sender in state.leading.progress:
        effects.extend(replicate(state, msg.sender, ctx.now))
    return effects


def _note_match(progress: Progress, match: int, now: float) -> None:
    if match > progress.match:
        progress.match = match
        progress.progressed_at = now
    if match + 1 >= progress.next_index:
        progress.probing = False
    progress.next_index = max(progress.next_index, progress.match + 1)
    while progress.inflight and progress.inflight[0] <= progress.match:
        progress.inflight.popleft()


def advance_commit(state: ConsensusState) -> list[Effect]:
    """Commit what a majority of the voters has synced, if it is of this term."""
    if not state.is_leader:
        return []
    matches: list[int] = []
    for voter in state.members.voters():
        progress = state.leading.progress.get(voter)
        if voter == state.member:
            matches.append(state.durability.synced_index)
        else:
            matches.append(progress.match if progress is not None else 0)
    matches.sort()
    index = matches[(len(matches) - 1) // 2]
    if index <= state.commit or state.log.term_at(index) != state.term:
        return []
    return [*commit_to(state, index), *confirm_reads(state)]


def commit_to(state: ConsensusState, index: int) -> list[Effect]:
    """Hand out the entries up to an index that is known to be committed."""
    if index <= state.commit:
        return []
    entries = state.log.between(state.commit + 1, index)
    state.commit = index
    effects: list[Effect] = [Emit(EntriesCommitted(entries))]
    if not state.snapshot_wanted and _is_snapshot_due(state):
        state.snapshot_wanted = True
        effects.append(Emit(SnapshotNeeded(index)))
    return effects


def _is_snapshot_due(state: ConsensusState) -> bool:
    last, size = (state.snapshot.index, len(state.snapshot.body)) if state.snapshot else (0, 0)
    return state.commit - last >= state.snapshot_after and state.log_bytes >= size


def confirm_reads(state: ConsensusState) -> list[Effect]:
    """Answer the reads for which a majority has confirmed the leader since."""
    leading = state.leading
    effects: list[Effect] = []
    for read in tuple(leading.reads):
        supporters = {state.member}
        supporters.update(name for name, seen in leading.progress.items() if seen.round >= read.round)
        if has_majority(state, supporters) and state.commit >= read.index:
            leading.reads.remove(read)
            effects.append(Emit(ReadReady(read.token)))
    return effects
