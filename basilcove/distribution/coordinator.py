"""Handlers that keep track of peers and offer documents to them."""

import dataclasses
import json
from collections.abc import Iterator

from basilcove.catalog.events import DocumentAccepted
from basilcove.core.events import Count, Effect, Log, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import NodeId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.distribution.const import (
    EAGER_OFFER_INTERVAL_S,
    IDLE_OFFER_INTERVAL_S,
    MAX_KEYS_PER_PEER,
    OFFER_JITTER,
)
from basilcove.distribution.events import (
    ControlMembersChanged,
    ReplicaCaughtUp,
    ReplicaCutOff,
    RevisionConfirmed,
)
from basilcove.distribution.messages import Offer
from basilcove.distribution.models import DistributionState, Held, Key, PeerView
from basilcove.distribution.pulling import pull_if_due
from basilcove.distribution.taking import breach, fingerprint, settle, take
from basilcove.environment.canonical import canonical_json
from basilcove.helpers.hashing import stable_fraction


@handles(Tick, DistributionState)
def on_tick(state: DistributionState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """Send the offers that are due and renew an unanswered request."""
    if state.started_at is None:
        state.started_at = ctx.now
    for view in state.peers.values():
        if ctx.now >= view.next_offer_at:
            yield from _offer(state, view, ctx)
    yield from pull_if_due(state, ctx)
    yield from settle(state, ctx)


@handles(PeerFound, DistributionState)
def on_peer_found(state: DistributionState, event: PeerFound, ctx: Context) -> Iterator[Effect]:
    """Forget what an earlier process of the peer held, and ask for its offer."""
    view = PeerView(event.peer, ctx.now)
    state.peers[event.peer.node] = view
    yield from _offer(state, view, ctx)


@handles(PeerLost, DistributionState)
def on_peer_lost(state: DistributionState, event: PeerLost, ctx: Context) -> Iterator[Effect]:
    """Forget the peer, and turn to another one for a pending request."""
    if _view(state, event.peer) is None:
        return
    del state.peers[event.peer.node]
    if state.pull.node == event.peer.node:
        state.pull.deadline = ctx.now
        yield from pull_if_due(state, ctx)


@handles_message(Offer, DistributionState)
def on_offer(state: DistributionState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Note what a peer holds; ask for it if it is newer, answer if asked."""
    offer = event.message
    assert isinstance(offer, Offer)
    key = (offer.environment, offer.stage)
    view = _view(state, event.peer)
    if view is not None:
        view.voters_index = max(view.voters_index, offer.voters_index)
    if view is not None and Role.CONTROL in event.peer.roles:
        _note_voters(state, offer.voters_index, offer.voters)
    if view is None or not (key == state.key or state.is_control):
        return
    _note(view, key, offer)
    held = state.documents.get(key)
    if held is not None and offer.revision == held.revision and offer.digest != held.digest:
        yield from breach(state, event.peer.node, key, offer.revision, offer.digest)
    if offer.ask:
        yield Send(event.peer.node, _offer_of(state, view, key, held or Held(), ask=False))
    elif held is not None and offer.revision < held.revision:
        view.next_offer_at = min(view.next_offer_at, ctx.now + EAGER_OFFER_INTERVAL_S)
    yield from pull_if_due(state, ctx)
    yield from settle(state, ctx)


@handles(DocumentAccepted, DistributionState)
def on_accepted(state: DistributionState, event: DocumentAccepted, ctx: Context) -> Iterator[Effect]:
    """Take what this node's control replica applied; no other role may introduce a revision."""
    key = (event.environment, event.stage)
    fields = (('environment', event.environment), ('revision', str(event.revision)))
    if not state.is_control:
        yield Count('document_breaches')
        yield Log('error', 'a node without the control role may not introduce a document', fields)
        return
    try:
        text = canonical_json(json.loads(event.document))
    except ValueError as exc:
        yield Log('error', f'the accepted document is not JSON: {exc}', fields)
        return
    held = state.documents.setdefault(key, Held())
    digest = fingerprint(text)
    if event.revision == held.revision and digest != held.digest:
        yield from breach(state, state.node, key, event.revision, digest)
    if event.revision > held.revision:
        yield from take(state, key, event.revision, text, state.step_to(held, event.revision, digest, text))
        yield from _offer_due(state, ctx)
    yield from settle(state, ctx)


@handles(ReplicaCaughtUp, DistributionState)
def on_caught_up(state: DistributionState, event: ReplicaCaughtUp, ctx: Context) -> Iterator[Effect]:
    """Let this node's offers count towards a control majority."""
    state.caught_up = True
    yield from _offer_all(state, ctx)
    yield from settle(state, ctx)


@handles(ReplicaCutOff, DistributionState)
def on_cut_off(state: DistributionState, event: ReplicaCutOff, ctx: Context) -> Iterator[Effect]:
    """Let this node's offers no longer count: it may have been removed without hearing of it."""
    state.caught_up = False
    yield from _offer_all(state, ctx)


@handles(RevisionConfirmed, DistributionState)
def on_confirmed(state: DistributionState, event: RevisionConfirmed, ctx: Context) -> Iterator[Effect]:
    """Note the revision below which the node may not become ready."""
    state.confirmed = max(state.confirmed or event.revision, event.revision)
    yield from settle(state, ctx)


@handles(ControlMembersChanged, DistributionState)
def on_members(state: DistributionState, event: ControlMembersChanged, ctx: Context) -> Iterator[Effect]:
    """Count the majority over the new voters, and tell them to the peers."""
    if _note_voters(state, event.index, event.voters):
        yield from _offer_all(state, ctx)
    yield from settle(state, ctx)


def _view(state: DistributionState, peer: object) -> PeerView | None:
    # A message or loss that belongs to an earlier process of the peer says nothing of the present one.
    node = getattr(peer, 'node', None)
    view = state.peers.get(node) if node is not None else None
    return view if view is not None and view.peer == peer else None


def _note_voters(state: DistributionState, index: int, voters: tuple[NodeId, ...]) -> bool:
    if index <= state.voters_index or not voters:
        return False
    state.voters_index = index
    state.control_nodes = frozenset(voters)
    return True


def _note(view: PeerView, key: Key, offer: Offer) -> None:
    # A process never goes back, so a lower offer is only a late one. Whether it has caught up may
    # change both ways; a late word of it is corrected by the next offer.
    known = view.offers.get(key)
    if known is None:
        if len(view.offers) < MAX_KEYS_PER_PEER:
            view.offers[key] = offer
        return
    newer = offer if offer.revision >= known.revision else known
    view.offers[key] = dataclasses.replace(newer, caught_up=offer.caught_up)


def _offer_all(state: DistributionState, ctx: Context) -> Iterator[Effect]:
    for view in state.peers.values():
        yield from _offer(state, view, ctx)


def _offer_due(state: DistributionState, ctx: Context) -> Iterator[Effect]:
    for view in state.peers.values():
        if ctx.now >= view.next_offer_at:
            yield from _offer(state, view, ctx)


def _offer(state: DistributionState, view: PeerView, ctx: Context) -> Iterator[Effect]:
    settled = True
    for key, held in state.documents.items():
        if key != state.key and key not in view.offers:
            continue
        is_settled = view.holds(key, held) and (state.ready or not _is_awaited(state, view))
        settled = settled and is_settled
        yield Send(view.peer.node, _offer_of(state, view, key, held, ask=not is_settled))
    interval = IDLE_OFFER_INTERVAL_S if settled else EAGER_OFFER_INTERVAL_S
    jitter = 1 + OFFER_JITTER * stable_fraction(state.node, view.peer.node)
    view.next_offer_at = ctx.now + interval * jitter


def _is_awaited(state: DistributionState, view: PeerView) -> bool:
    # Until it is ready, a node keeps asking the control group whether it has caught up.
    offer = view.offers.get(state.key)
    return view.peer.node in state.control_nodes and (offer is None or not offer.caught_up)


def _offer_of(state: DistributionState, view: PeerView, key: Key, held: Held, *, ask: bool) -> Offer:
    is_vouched = state.caught_up and state.is_control
    # Other nodes can't tell whether the list that they learned is still the newest; they state its index
    # only, so that control hosts need not send it again.
    is_needed = is_vouched and view.voters_index < state.voters_index
    voters = tuple(sorted(state.control_nodes)) if is_needed else ()
    return Offer(*key, held.revision, held.digest, ask, is_vouched, state.voters_index, voters)
