"""Handlers that track peers and offer documents to them."""

import dataclasses
from collections.abc import Iterator

from basilcove.catalog.events import DocumentAccepted, EvacuationsCommitted
from basilcove.core.events import Count, Effect, Log, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import NodeId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.distribution.const import (
    EAGER_OFFER_INTERVAL_S,
    IDLE_OFFER_INTERVAL_S,
    MAX_KEYS_PER_PEER,
    MAX_OFFER_JITTER,
    NO_REVISION,
)
from basilcove.distribution.events import (
    ControlMembersChanged,
    ReplicaCaughtUp,
    ReplicaCutOff,
    RevisionConfirmed,
)
from basilcove.distribution.messages import Offer
from basilcove.distribution.models import DistributionState, Key, LocalDocument, PeerView
from basilcove.distribution.pulling import pull_if_due
from basilcove.distribution.taking import (
    activate_if_ready,
    apply_evacuations,
    compute_digest,
    mark_unreadable,
    report_breach,
    store_document,
)
from basilcove.environment.exceptions import DocumentError
from basilcove.environment.storing import normalise_stored
from basilcove.helpers.hashing import stable_fraction
from basilcove.zones.models import Evacuations


@handles(Tick, DistributionState)
def on_tick(state: DistributionState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """Send the offers that are due, and retry an unanswered request."""
    if state.started_at is None:
        state.started_at = ctx.now
    for view in state.peers.values():
        if ctx.now >= view.next_offer_at:
            yield from _send_offers(state, view, ctx)
    yield from pull_if_due(state, ctx)
    yield from activate_if_ready(state, ctx)


@handles(PeerFound, DistributionState)
def on_peer_found(state: DistributionState, event: PeerFound, ctx: Context) -> Iterator[Effect]:
    """Replace the state of the peer's former process, and exchange offers with the new one."""
    view = PeerView(event.peer, ctx.now)
    state.peers[event.peer.node] = view
    yield from _send_offers(state, view, ctx)


@handles(PeerLost, DistributionState)
def on_peer_lost(state: DistributionState, event: PeerLost, ctx: Context) -> Iterator[Effect]:
    """Remove the peer, and send a request that it did not answer to another peer."""
    if _find_view(state, event.peer) is None:
        return
    del state.peers[event.peer.node]
    if state.pull.node == event.peer.node:
        state.pull.deadline = ctx.now
        yield from pull_if_due(state, ctx)


@handles_message(Offer, DistributionState)
def on_offer(state: DistributionState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Record which document a peer has; request it if it is newer, and reply if the peer asks."""
    offer = event.message
    assert isinstance(offer, Offer)
    key = (offer.environment, offer.stage)
    view = _find_view(state, event.peer)
    if view is not None:
        view.voters_index = max(view.voters_index, offer.voters_index)
        view.evacuations_version = max(view.evacuations_version, offer.evacuations_version)
        yield from _adopt_evacuations(state, offer.evacuations)
    if view is not None and Role.CONTROL in event.peer.roles:
        _update_voters(state, offer.voters_index, offer.voters)
    if view is None or not (key == state.key or state.is_control):
        yield from apply_evacuations(state)
        return
    _record_offer(view, key, offer)
    local = state.documents.get(key)
    if local is not None and offer.revision == local.revision and offer.digest != local.digest:
        yield from report_breach(state, event.peer.node, key, offer.revision, offer.digest)
    if offer.ask:
        yield Send(event.peer.node, _make_offer(state, view, key, local or LocalDocument(), ask=False))
    elif local is not None and offer.revision < local.revision:
        view.next_offer_at = min(view.next_offer_at, ctx.now + EAGER_OFFER_INTERVAL_S)
    yield from pull_if_due(state, ctx)
    yield from activate_if_ready(state, ctx)


@handles(DocumentAccepted, DistributionState)
def on_accepted(state: DistributionState, event: DocumentAccepted, ctx: Context) -> Iterator[Effect]:
    """Store a document that this node's control replica applied; no other role may introduce a revision."""
    key = (event.environment, event.stage)
    fields = (('environment', event.environment), ('revision', str(event.revision)))
    if not state.is_control:
        yield Count('document_breaches')
        yield Log('error', 'a node without the control role may not introduce a document', fields)
        return
    try:
        text = normalise_stored(event.document)
    except DocumentError as exc:
        if key == state.key:
            yield from mark_unreadable(state, event.revision, event.document, exc)
        else:
            yield Log('error', str(exc), fields)
        return
    local = state.documents.setdefault(key, LocalDocument())
    digest = compute_digest(text)
    if event.revision == local.revision and digest != local.digest:
        yield from report_breach(state, state.node, key, event.revision, digest)
    if event.revision > local.revision:
        yield from store_document(
            state, key, event.revision, text, state.make_step(local, event.revision, digest, text)
        )
        yield from _offer_if_due(state, ctx)
    yield from activate_if_ready(state, ctx)


@handles(EvacuationsCommitted, DistributionState)
def on_evacuations(state: DistributionState, event: EvacuationsCommitted, ctx: Context) -> Iterator[Effect]:
    """Take the evacuated zones that this node's control replica applied, and offer a change to all peers."""
    if not state.is_control or event.evacuations.version <= state.evacuations.version:
        return
    yield from _adopt_evacuations(state, event.evacuations)
    yield from _offer_to_all(state, ctx)
    yield from activate_if_ready(state, ctx)


@handles(ReplicaCaughtUp, DistributionState)
def on_caught_up(state: DistributionState, event: ReplicaCaughtUp, ctx: Context) -> Iterator[Effect]:
    """Let the peers count this node's offers towards a control majority."""
    state.caught_up = True
    yield from _offer_to_all(state, ctx)
    yield from activate_if_ready(state, ctx)


@handles(ReplicaCutOff, DistributionState)
def on_cut_off(state: DistributionState, event: ReplicaCutOff, ctx: Context) -> Iterator[Effect]:
    """Notify the peers not to count this node's offers: it may have been removed without being notified."""
    state.caught_up = False
    yield from _offer_to_all(state, ctx)


@handles(RevisionConfirmed, DistributionState)
def on_confirmed(state: DistributionState, event: RevisionConfirmed, ctx: Context) -> Iterator[Effect]:
    """Record the revision and the version of zones below which the node must not become ready."""
    state.confirmed_evacuations = max(state.confirmed_evacuations, event.evacuations_version)
    state.confirmed_revision = max(state.confirmed_revision or event.revision, event.revision)
    yield from activate_if_ready(state, ctx)


@handles(ControlMembersChanged, DistributionState)
def on_members(state: DistributionState, event: ControlMembersChanged, ctx: Context) -> Iterator[Effect]:
    """Count the majority over the new voters, and send their list to the peers."""
    if _update_voters(state, event.index, event.voters):
        yield from _offer_to_all(state, ctx)
    yield from activate_if_ready(state, ctx)


def _find_view(state: DistributionState, peer: object) -> PeerView | None:
    # A message or a lost link of a former process of the peer doesn't apply to the current one.
    node = getattr(peer, 'node', None)
    view = state.peers.get(node) if node is not None else None
    return view if view is not None and view.peer == peer else None


def _update_voters(state: DistributionState, index: int, voters: tuple[NodeId, ...]) -> bool:
    if index <= state.voters_index or not voters:
        return False
    state.voters_index = index
    state.control_nodes = frozenset(voters)
    return True


def _adopt_evacuations(state: DistributionState, evacuations: Evacuations | None) -> Iterator[Effect]:
    """Take a newer set of evacuated zones, and make the offers to peers that lack it due."""
    if evacuations is None or evacuations.version <= state.evacuations.version:
        return
    state.evacuations = evacuations
    for view in state.peers.values():
        if view.evacuations_version < evacuations.version:
            view.next_offer_at = 0
    fields = (('version', str(evacuations.version)), ('zones', ' '.join(sorted(evacuations.zones))))
    yield Log('info', 'evacuated zones learned', fields)


def _record_offer(view: PeerView, key: Key, offer: Offer) -> None:
    # The revision of a process never decreases, so a lower offer is a late one. `caught_up` may change in
    # both directions; if a late offer sets it wrongly, the next offer corrects it. What the peer can't read
    # only grows.
    previous = view.offers.get(key)
    if previous is None:
        if len(view.offers) < MAX_KEYS_PER_PEER:
            view.offers[key] = offer
        return
    newer = offer if offer.revision >= previous.revision else previous
    view.offers[key] = dataclasses.replace(
        newer,
        caught_up=offer.caught_up,
        unreadable_revision=max(offer.unreadable_revision, previous.unreadable_revision),
    )


def _offer_to_all(state: DistributionState, ctx: Context) -> Iterator[Effect]:
    for view in state.peers.values():
        yield from _send_offers(state, view, ctx)


def _offer_if_due(state: DistributionState, ctx: Context) -> Iterator[Effect]:
    for view in state.peers.values():
        if ctx.now >= view.next_offer_at:
            yield from _send_offers(state, view, ctx)


def _send_offers(state: DistributionState, view: PeerView, ctx: Context) -> Iterator[Effect]:
    has_evacuations = view.evacuations_version >= state.evacuations.version
    is_in_sync = True
    for key, local in state.documents.items():
        if key != state.key and key not in view.offers:
            continue
        is_key_in_sync = (
            has_evacuations
            and view.has_document(key, local)
            and (state.ready or not _is_catch_up_pending(state, view))
        )
        is_in_sync = is_in_sync and is_key_in_sync
        yield Send(view.peer.node, _make_offer(state, view, key, local, ask=not is_key_in_sync))
    interval = IDLE_OFFER_INTERVAL_S if is_in_sync else EAGER_OFFER_INTERVAL_S
    jitter = 1 + MAX_OFFER_JITTER * stable_fraction(state.node, view.peer.node)
    view.next_offer_at = ctx.now + interval * jitter


def _is_catch_up_pending(state: DistributionState, view: PeerView) -> bool:
    # Until a node is ready, it keeps asking each replica of the control group whether it has caught up.
    offer = view.offers.get(state.key)
    return view.peer.node in state.control_nodes and (offer is None or not offer.caught_up)


def _make_offer(
    state: DistributionState, view: PeerView, key: Key, local: LocalDocument, *, ask: bool
) -> Offer:
    is_caught_up = state.caught_up and state.is_control
    # Other nodes can't tell whether their list of voters is still the newest; they send only its index, so
    # that control hosts don't send the list again.
    is_voter_list_needed = is_caught_up and view.voters_index < state.voters_index
    voters = tuple(sorted(state.control_nodes)) if is_voter_list_needed else ()
    is_lacking_evacuations = view.evacuations_version < state.evacuations.version
    return Offer(
        *key,
        local.revision,
        local.digest,
        ask,
        is_caught_up,
        state.voters_index,
        voters,
        state.evacuations.version,
        state.evacuations if is_lacking_evacuations else None,
        state.unreadable_revision if state.is_control and key == state.key else NO_REVISION,
    )
