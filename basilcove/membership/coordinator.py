"""Handlers that admit the upstreams which agents announce."""

from collections.abc import Iterator

from basilcove.core.events import Count, Effect, Emit, Log, Peer, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import NodeId, Role, UpstreamName, Zone
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.environment.events import EnvironmentChanged
from basilcove.membership.const import AGENT_TIMEOUT_S, MAX_AGENTS_PER_UPSTREAM, SWEEP_INTERVAL_S
from basilcove.membership.events import LoadReported, UpstreamJoined, UpstreamLeaving, UpstreamLost
from basilcove.membership.messages import (
    NO_INCARNATION,
    Announce,
    AnnounceRequest,
    Refresh,
    Refreshed,
)
from basilcove.membership.models import AnnouncedUpstream, MembershipState
from basilcove.membership.proofs import has_valid_proof
from basilcove.membership.rules import Announcement, Refused, authorize


@handles_message(Announce, MembershipState)
def on_announce(state: MembershipState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Admit, update or refuse an upstream."""
    announce = event.message
    assert isinstance(announce, Announce)
    result = _admit(state, event.peer, announce, ctx)
    if result is None:
        return
    if isinstance(result, Refused):
        yield Count('announcements_refused', (('at', 'entry'),))
        fields = (('upstream', announce.upstream), ('agent', event.peer.node))
        yield Log('warning', f'announcement refused: {result.reason}', fields)
        return
    yield from _replace(state, result)
    if announce.load is not None:
        yield Emit(LoadReported(announce.upstream, announce.load))


@handles_message(Refresh, MembershipState)
def on_refresh(state: MembershipState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Renew the upstreams whose last announcement has arrived; request the announcements that are missing.

    While its last announcement is missing, an upstream is not renewed: it may have announced that it leaves.
    """
    refresh = event.message
    assert isinstance(refresh, Refresh)
    if state.environment is None or Role.AGENT not in event.peer.roles:
        return
    is_missing = False
    for refreshed in refresh.upstreams:
        upstream = state.upstreams.get(refreshed.upstream)
        if upstream is None or not upstream.is_from(event.peer):
            is_missing = True
            continue
        yield from _renew(upstream, refresh.number, refreshed, ctx)
        is_missing |= upstream.last_number < refresh.number
    if is_missing:
        yield Send(event.peer.node, AnnounceRequest())


@handles(EnvironmentChanged, MembershipState)
def on_environment(state: MembershipState, event: EnvironmentChanged, ctx: Context) -> Iterator[Effect]:
    """Check the upstreams again, now against the newer document."""
    yield from _request_initial_announcements(state)
    state.environment = event.environment
    for removed in state.latest_numbers.keys() - event.environment.upstreams.keys():
        del state.latest_numbers[removed]
    for name, upstream in tuple(state.upstreams.items()):
        result = authorize(
            event.environment, _to_announcement(upstream.announce, upstream.agent, upstream.zone)
        )
        declared = event.environment.upstreams.get(name)
        is_same_credential = declared is not None and declared.credential_digest == upstream.credential_digest
        if isinstance(result, Refused) or not is_same_credential:
            yield from _remove(state, name)
        elif result != upstream.allowed:
            upstream.allowed = result
            if not upstream.leaving:
                yield Emit(_to_joined(upstream))


@handles(PeerFound, MembershipState)
def on_peer_found(state: MembershipState, event: PeerFound, ctx: Context) -> tuple[Effect, ...]:
    """Record a linked peer, to which requests to drain can be sent."""
    state.peers[event.peer.node] = event.peer
    return ()


@handles(PeerLost, MembershipState)
def on_peer_lost(state: MembershipState, event: PeerLost, ctx: Context) -> Iterator[Effect]:
    """Remove the upstreams of an agent whose link is lost."""
    if state.peers.get(event.peer.node) == event.peer:
        del state.peers[event.peer.node]
    for name, upstream in tuple(state.upstreams.items()):
        if upstream.is_from(event.peer):
            yield from _remove(state, name)


@handles(Tick, MembershipState)
def on_tick(state: MembershipState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """Remove the upstreams of agents that have timed out."""
    if ctx.now < state.next_sweep_at:
        return
    state.next_sweep_at = ctx.now + SWEEP_INTERVAL_S
    for name, upstream in tuple(state.upstreams.items()):
        # The sweep interval is subtracted, so that the loss is noticed within the timeout.
        if ctx.now - upstream.last_seen_at > AGENT_TIMEOUT_S - SWEEP_INTERVAL_S:
            yield from _remove(state, name)


def _renew(upstream: AnnouncedUpstream, number: int, refreshed: Refreshed, ctx: Context) -> Iterator[Effect]:
    # A refresh that is duplicated, or older than the announcement, has no effect.
    if number <= upstream.last_number or refreshed.announced != upstream.announce.number:
        return
    upstream.last_number = number
    upstream.last_seen_at = ctx.now
    if refreshed.load is not None:
        upstream.load = refreshed.load
        yield Emit(LoadReported(refreshed.upstream, refreshed.load))


def _request_initial_announcements(state: MembershipState) -> Iterator[Effect]:
    # Announcements that arrived before the first document could not be checked against it.
    if state.environment is not None:
        return
    for peer in state.peers.values():
        if Role.AGENT in peer.roles:
            yield Send(peer.node, AnnounceRequest())


def _admit(
    state: MembershipState, peer: Peer, announce: Announce, ctx: Context
) -> AnnouncedUpstream | Refused | None:
    """Return the upstream as announced, a refusal, or None for a duplicate or late message.

    Without a document, no message is admitted, and the result is None.
    """
    environment = state.environment
    if environment is None:
        return None
    misdirected = _check_parties(state, peer, announce)
    if misdirected is not None:
        return misdirected
    result = authorize(environment, _to_announcement(announce, peer.node, peer.zone))
    if isinstance(result, Refused):
        return result
    digest = environment.upstreams[announce.upstream].credential_digest
    if not has_valid_proof(announce, peer.node, digest):
        return Refused('the proof does not match the credential in the document')
    if announce.incarnation < state.latest_numbers.get(announce.upstream, {}).get(peer.node, (0, 0))[0]:
        return Refused(f'a former process of agent {peer.node} sent the announcement')
    if not _record_if_newer(state, peer, announce):
        return None
    upstream = state.upstreams.get(announce.upstream)
    if upstream is not None and upstream.agent != peer.node:
        return Refused(f'{announce.upstream} is already announced by agent {upstream.agent}')
    return AnnouncedUpstream(
        announce, peer.node, peer.zone, digest, result, ctx.now, announce.number, announce.load
    )


def _check_parties(state: MembershipState, peer: Peer, announce: Announce) -> Refused | None:
    """Return a refusal if the sender or the receiver is not the process of the announcement."""
    if Role.AGENT not in peer.roles or announce.incarnation != peer.incarnation:
        return Refused('the sender is not the agent of the announcement')
    if announce.receiver_incarnation not in {NO_INCARNATION, state.incarnation}:
        # This process doesn't know which announcements of the agent came after it.
        return Refused('the announcement was sent to a former process of this node')
    return None


def _record_if_newer(state: MembershipState, peer: Peer, announce: Announce) -> bool:
    # Incarnations of different hosts come from different clocks, so only those of one agent are compared.
    latest_by_agent = state.latest_numbers.setdefault(announce.upstream, {})
    numbers = (announce.incarnation, announce.number)
    if peer.node in latest_by_agent and numbers <= latest_by_agent[peer.node]:
        return False
    latest_by_agent[peer.node] = numbers
    if len(latest_by_agent) > MAX_AGENTS_PER_UPSTREAM:
        del latest_by_agent[min(latest_by_agent, key=latest_by_agent.__getitem__)]
    return True


def _replace(state: MembershipState, new: AnnouncedUpstream) -> Iterator[Effect]:
    name = new.announce.upstream
    old = state.upstreams.get(name)
    if old is not None and old.origin != new.origin:
        yield from _remove(state, name)
        old = None
    state.upstreams[name] = new
    if new.leaving:
        if old is not None and not old.leaving:
            yield Emit(UpstreamLeaving(name))
    elif old is None or old.leaving or old.allowed != new.allowed:
        yield Emit(_to_joined(new))


def _remove(state: MembershipState, name: UpstreamName) -> Iterator[Effect]:
    del state.upstreams[name]
    yield Emit(UpstreamLost(name))
    yield Count('upstreams_lost')


def _to_announcement(announce: Announce, agent: NodeId, zone: Zone) -> Announcement:
    return Announcement(announce.upstream, agent, zone, announce.models, announce.services)


def _to_joined(upstream: AnnouncedUpstream) -> UpstreamJoined:
    announce, allowed = upstream.announce, upstream.allowed
    return UpstreamJoined(
        announce.upstream,
        upstream.agent,
        announce.incarnation,
        upstream.zone,
        allowed.models,
        allowed.services,
        min(announce.slots, allowed.slots),
    )
