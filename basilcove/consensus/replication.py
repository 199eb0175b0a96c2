"""Log replication: appending entries at the leader and its followers."""

from basilcove.consensus.const import MAX_INFLIGHT_APPENDS, RESEND_INTERVAL_S
from basilcove.consensus.durability import persist, send_when_durable
from basilcove.consensus.events import EntriesCommitted, ReadReady, SnapshotNeeded
from basilcove.consensus.messages import Append, AppendAnswer, SnapshotChunk
from basilcove.consensus.models import ConsensusState, MemberState, Progress
from basilcove.consensus.terms import (
    become_follower,
    has_majority,
    is_from_cluster,
    observe_term,
    postpone_campaign,
)
from basilcove.consensus.transfer import send_chunk
from basilcove.core.events import Effect, Emit, Received, Send
from basilcove.core.reducer import Context, handles_message
from basilcove.storage.models import EntryKind, LogEntry


def update_progress(state: ConsensusState, first_index: int, now: float) -> None:
    """Track one ``Progress`` for each other member that has joined; new ones begin at ``first_index``.

    That entry must be sent next: its refusal reports where a member's log ends.
    """
    joined = {member.member: member.node for member in state.members.members if member.member}
    joined.pop(state.member, None)
    progress = state.leader_state.progress
    for removed in progress.keys() - joined.keys():
        progress.pop(removed)
    for member, node in joined.items():
        if member not in progress:
            progress[member] = Progress(node, first_index, contact_at=now)


def append_as_leader(state: ConsensusState, kind: EntryKind, body: bytes, ctx: Context) -> list[Effect]:
    """Append an entry as the leader and send it to the others."""
    entry = LogEntry(state.log.last_index + 1, state.term, ctx.wall_time, kind, body)
    state.log.extend((entry,))
    state.track_entry(entry)
    effects = [persist(state, (entry,))]
    if kind is EntryKind.MEMBERS:
        update_progress(state, entry.index, ctx.now)
    for member in state.leader_state.progress:
        effects.extend(replicate(state, member, ctx.now))
    return effects


def replicate(state: ConsensusState, member: str, now: float) -> list[Effect]:
    """Send a member as many entries as the in-flight limit allows."""
    progress = state.leader_state.progress[member]
    effects: list[Effect] = []
    if progress.snapshot is not None:
        return effects
    limit = 1 if progress.is_probing else MAX_INFLIGHT_APPENDS
    while progress.next_index <= state.log.last_index and len(progress.inflight) < limit:
        if state.log.term_at(progress.next_index - 1) is None:
            return [*effects, *_start_transfer(state, member, now)]
        entries = state.log.next_batch(progress.next_index)
        effects.append(_build_append(state, member, progress.next_index - 1, entries))
        if not progress.inflight:
            progress.progressed_at = now
        progress.next_index += len(entries)
        progress.inflight.append(progress.next_index - 1)
    return effects


def send_heartbeats(state: ConsensusState, ctx: Context) -> list[Effect]:
    """Send a heartbeat to all; its consistency check uses the last entry that a member acknowledged."""
    state.leader_state.heartbeat_at = ctx.now
    effects: list[Effect] = []
    for member, progress in state.leader_state.progress.items():
        previous = progress.match if state.log.term_at(progress.match) is not None else 0
        effects.append(_build_append(state, member, previous, ()))
    return effects


def resend_overdue(state: ConsensusState, now: float) -> list[Effect]:
    """Resend entries and snapshot chunks that a member has not acknowledged in time."""
    effects: list[Effect] = []
    for member, progress in state.leader_state.progress.items():
        if now - progress.progressed_at < RESEND_INTERVAL_S:
            continue
        if progress.snapshot is not None:
            effects.append(send_chunk(state, member, now))
        elif progress.inflight:
            progress.inflight.clear()
            progress.next_index = progress.match + 1
            progress.is_probing = True
            effects.extend(replicate(state, member, now))
    return effects


def _build_append(state: ConsensusState, member: str, previous: int, entries: tuple[LogEntry, ...]) -> Effect:
    msg = Append(
        state.cluster,
        state.member,
        member,
        state.term,
        previous,
        state.log.term_at(previous) or 0,
        state.commit,
        state.leader_state.round,
        entries,
    )
    return Send(state.leader_state.progress[member].node, msg)


def _start_transfer(state: ConsensusState, member: str, now: float) -> list[Effect]:
    progress = state.leader_state.progress[member]
    progress.snapshot = state.snapshot
    progress.snapshot_offset = 0
    progress.inflight.clear()
    return [send_chunk(state, member, now)]


def observe_leader(state: ConsensusState, msg: Append | SnapshotChunk, now: float) -> list[Effect]:
    """Process contact from the leader of the message's term: follow it and postpone the next campaign."""
    effects = observe_term(state, msg.term, now)
    if state.member_state is not MemberState.FOLLOWER or state.leader != msg.sender:
        effects.extend(become_follower(state, msg.sender, now))
    state.leader_contact_at = now
    postpone_campaign(state, now)
    return effects


@handles_message(Append, ConsensusState)
def _on_append(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, Append) or not is_from_cluster(state, event, msg.target):
        return []
    if msg.term < state.term:
        return send_when_durable(state, event.peer.node, build_append_answer(state, accepted=False))
    effects = observe_leader(state, msg, ctx.now)
    conflict = _find_conflict(state, msg)
    if conflict is not None:
        answer = build_append_answer(state, accepted=False, round_number=msg.round, last_index=conflict)
        return [*effects, *send_when_durable(state, event.peer.node, answer)]
    effects.extend(_append_missing(state, msg.entries))
    last_verified = msg.previous_index + len(msg.entries)
    state.verified_index = max(state.verified_index, last_verified)
    effects.extend(commit_to(state, min(msg.commit, last_verified)))
    answer = build_append_answer(state, accepted=True, round_number=msg.round)
    return [*effects, *send_when_durable(state, event.peer.node, answer)]


def build_append_answer(
    state: ConsensusState, accepted: bool, round_number: int = 0, last_index: int | None = None
) -> AppendAnswer:
    """Return an acknowledgement; it covers only synced entries."""
    if last_index is None:
        last_index = state.log.last_index
    match = min(state.verified_index, state.durability.synced_index)
    return AppendAnswer(state.cluster, state.member, state.term, accepted, match, last_index, round_number)


def _find_conflict(state: ConsensusState, msg: Append) -> int | None:
    """Return the last index at which the logs may agree; None if they agree before the entries."""
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


def _append_missing(state: ConsensusState, entries: tuple[LogEntry, ...]) -> list[Effect]:
    """Append the entries that the log lacks; they replace conflicting ones."""
    for position, entry in enumerate(entries):
        if entry.index <= state.commit or state.log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= state.log.last_index:
            state.truncate(entry.index)
        missing = entries[position:]
        state.log.extend(missing)
        for added in missing:
            state.track_entry(added)
        return [persist(state, missing)]
    return []


@handles_message(AppendAnswer, ConsensusState)
def _on_append_answer(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, AppendAnswer) or not is_from_cluster(state, event):
        return []
    if msg.term > state.term:
        return observe_term(state, msg.term, ctx.now)
    progress = state.leader_state.progress.get(msg.sender)
    if progress is None or msg.term != state.term:
        return []
    progress.contact_at = ctx.now
    progress.round = max(progress.round, msg.round)
    if msg.accepted:
        _record_match(progress, msg.match, ctx.now)
    elif progress.snapshot is None:
        progress.next_index = max(progress.match + 1, min(progress.next_index, msg.last_index + 1))
        progress.inflight.clear()
        progress.is_probing = True
    effects = [*advance_commit(state), *confirm_reads(state)]
    if msg.sender in state.leader_state.progress:
        effects.extend(replicate(state, msg.sender, ctx.now))
    return effects


def _record_match(progress: Progress, match: int, now: float) -> None:
    if match > progress.match:
        progress.match = match
        progress.progressed_at = now
    if match + 1 >= progress.next_index:
        progress.is_probing = False
    progress.next_index = max(progress.next_index, progress.match + 1)
    while progress.inflight and progress.inflight[0] <= progress.match:
        progress.inflight.popleft()


def advance_commit(state: ConsensusState) -> list[Effect]:
    """Commit the entries that a majority of the voters has synced, if the last one is of this term."""
    if not state.is_leader:
        return []
    matches: list[int] = []
    for voter in state.members.voters():
        progress = state.leader_state.progress.get(voter)
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
    """Emit the entries up to an index that is known to be committed."""
    if index <= state.commit:
        return []
    entries = state.log.between(state.commit + 1, index)
    state.commit = index
    effects: list[Effect] = [Emit(EntriesCommitted(entries))]
    if not state.is_snapshot_pending and _is_snapshot_due(state):
        state.is_snapshot_pending = True
        effects.append(Emit(SnapshotNeeded(index)))
    return effects


def _is_snapshot_due(state: ConsensusState) -> bool:
    last, size = (state.snapshot.index, len(state.snapshot.body)) if state.snapshot else (0, 0)
    return state.commit - last >= state.snapshot_after and state.log_bytes >= size


def confirm_reads(state: ConsensusState) -> list[Effect]:
    """Release the reads for which a majority has confirmed the leader since they arrived."""
    leader_state = state.leader_state
    effects: list[Effect] = []
    for read in tuple(leader_state.reads):
        supporters = {state.member}
        supporters.update(
            member for member, progress in leader_state.progress.items() if progress.round >= read.round
        )
        if has_majority(state, supporters) and state.commit >= read.index:
            leader_state.reads.remove(read)
            effects.append(Emit(ReadReady(read.token)))
    return effects
