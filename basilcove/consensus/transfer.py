"""Sending a snapshot in chunks, one in flight at a time."""

from basilcove.consensus.const import SNAPSHOT_CHUNK_BYTES
from basilcove.consensus.exceptions import ConsensusError
from basilcove.consensus.messages import SnapshotChunk
from basilcove.consensus.models import ConsensusState
from basilcove.core.events import Effect, Send


def send_chunk(state: ConsensusState, member: str, now: float) -> Effect:
    """Return the next chunk of the snapshot that a member needs."""
    progress = state.leader_state.progress[member]
    snapshot = progress.snapshot
    if snapshot is None:
        raise ConsensusError(
            f'no snapshot to send to {member}, whose log ends before the first entry in memory'
        )
    progress.progressed_at = now
    start = progress.snapshot_offset
    msg = SnapshotChunk(
        state.cluster,
        state.member,
        member,
        state.term,
        snapshot.index,
        snapshot.term,
        snapshot.members,
        start,
        len(snapshot.body),
        snapshot.body[start : start + SNAPSHOT_CHUNK_BYTES],
    )
    return Send(progress.node, msg)
