"""Requests newer documents from peers, and stores those that arrive."""

import zlib
from collections.abc import Iterator

from basilcove.core.events import Count, Effect, Log, Received, Send
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, handles_message
from basilcove.distribution.const import CHUNK_BYTES, MAX_CHUNKS, WANT_TIMEOUT_S
from basilcove.distribution.exceptions import CopyError
from basilcove.distribution.messages import Chunk, Delta, Want
from basilcove.distribution.models import DistributionState, PeerView, Pull
from basilcove.distribution.taking import activate_if_ready, compute_digest, store_document
from basilcove.environment.canonical import apply_deltas
from basilcove.environment.const import DIGEST_PREFIX, MAX_DOCUMENT_BYTES
from basilcove.environment.exceptions import DeltaError
from basilcove.helpers.hashing import stable_hash


def pull_if_due(state: DistributionState, ctx: Context) -> Iterator[Effect]:
    """Request a newer document from a peer, unless a request is still pending."""
    pull = state.pull
    if pull.node is not None and ctx.now < pull.deadline:
        return
    if pull.node is not None and not pull.has_progressed:
        _record_failure(state, pull.node)
    pull.node = None
    if ctx.now - state.last_pull_at < state.min_interval_s:
        # The next tick tries again; all revisions offered until then are requested together.
        return
    view = _choose_source(state)
    if view is None:
        return
    offer = view.offers[state.key]
    is_resumed = pull.source == view.peer.node and pull.digest == offer.digest
    pull.node = view.peer.node
    pull.deadline = ctx.now + WANT_TIMEOUT_S
    pull.has_progressed = False
    missing = pull.missing() if is_resumed else ()
    local = state.own
    yield Send(
        view.peer.node,
        Want(*state.key, local.revision, local.digest, pull.whole, offer.digest, missing),
    )


@handles_message(Want, DistributionState)
def on_want(state: DistributionState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Send the changes since the peer's base, or a whole copy."""
    want = event.message
    assert isinstance(want, Want)
    key = (want.environment, want.stage)
    local = state.documents.get(key)
    if local is None or local.revision <= want.base_revision:
        return
    steps = () if want.whole else local.steps_since(want.base_digest)
    if steps:
        delta = Delta(*key, want.base_revision, want.base_digest, steps)
        yield Count('documents_sent', (('form', 'delta'),))
        yield Send(event.peer.node, delta)
        return
    yield Count('documents_sent', (('form', 'whole'),))
    for chunk in local.chunks(key, want):
        yield Send(event.peer.node, chunk)


@handles_message(Delta, DistributionState)
def on_delta(state: DistributionState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Apply changes to the local document; request a whole copy if they don't fit."""
    delta = event.message
    assert isinstance(delta, Delta)
    local = state.own
    key = (delta.environment, delta.stage)
    if key != state.key or delta.base_digest != local.digest or not delta.steps:
        return
    last = delta.steps[-1]
    if last.revision <= local.revision or last.digest in state.unreadable_digests:
        return
    try:
        text = apply_deltas(
            local.text, [step.patch for step in delta.steps], DIGEST_PREFIX + last.digest.hex()
        )
    except DeltaError as exc:
        state.pull = Pull(whole=True)
        yield Count('deltas_refused')
        yield Log('warning', str(exc), (('source', event.peer.node),))
    else:
        bases = (local.digest, *(step.digest for step in delta.steps))
        _finish_pull(state, event, ctx)
        yield from store_document(state, key, last.revision, text, zip(bases, delta.steps, strict=False))
    yield from pull_if_due(state, ctx)
    yield from activate_if_ready(state, ctx)


@handles_message(Chunk, DistributionState)
def on_chunk(state: DistributionState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Collect the chunks of a whole copy, and store it once it is complete."""
    chunk = event.message
    assert isinstance(chunk, Chunk)
    if not _is_acceptable(state, chunk):
        return
    pull = state.pull
    if (pull.source, pull.digest) != (event.peer.node, chunk.digest):
        if chunk.revision < pull.revision:
            return
        pull.restart(event.peer.node, chunk)
    pull.chunks[chunk.index] = chunk.body
    pull.has_progressed = True
    if len(pull.chunks) < pull.total:
        return
    try:
        text = _unpack(pull)
    except CopyError as exc:
        state.pull = Pull(whole=True)
        yield Log('warning', str(exc), (('source', event.peer.node),))
        _record_failure(state, event.peer.node)
    else:
        steps = state.make_step(state.own, chunk.revision, chunk.digest, text)
        _finish_pull(state, event, ctx)
        yield from store_document(state, state.key, chunk.revision, text, steps)
    yield from pull_if_due(state, ctx)
    yield from activate_if_ready(state, ctx)


def _choose_source(state: DistributionState) -> PeerView | None:
    chosen = None
    chosen_rank: tuple[int, ...] = ()
    for view in state.peers.values():
        offer = view.offers.get(state.key)
        if offer is None or offer.revision <= state.own.revision or offer.digest in state.unreadable_digests:
            continue
        is_other_zone = int(view.peer.zone != state.zone)
        tie_breaker = stable_hash(state.node, view.peer.node, offer.revision)
        rank = (view.failures, -offer.revision, is_other_zone, tie_breaker)
        if chosen is None or rank < chosen_rank:
            chosen, chosen_rank = view, rank
    return chosen


def _is_acceptable(state: DistributionState, chunk: Chunk) -> bool:
    if (chunk.environment, chunk.stage) != state.key or chunk.digest in state.unreadable_digests:
        return False
    if chunk.total > MAX_CHUNKS or len(chunk.body) > CHUNK_BYTES or not 0 <= chunk.index < chunk.total:
        return False
    return chunk.revision > state.own.revision


def _unpack(pull: Pull) -> str:
    packed = b''.join(pull.chunks[index] for index in range(pull.total))
    try:
        # The limit prevents a small copy from using up the memory when it is decompressed.
        unpacked = zlib.decompressobj().decompress(packed, MAX_DOCUMENT_BYTES + 1)
        text = unpacked.decode()
    except (zlib.error, UnicodeDecodeError) as exc:
        raise CopyError(f'a whole copy is damaged: {exc}') from exc
    if len(unpacked) > MAX_DOCUMENT_BYTES or compute_digest(text) != pull.digest:
        raise CopyError('a whole copy is not the stated document')
    return text


def _record_failure(state: DistributionState, node: NodeId) -> None:
    view = state.peers.get(node)
    if view is not None:
        view.failures += 1


def _finish_pull(state: DistributionState, event: Received, ctx: Context) -> None:
    state.pull = Pull()
    state.last_pull_at = ctx.now
    view = state.peers.get(event.peer.node)
    if view is not None:
        view.failures = 0
