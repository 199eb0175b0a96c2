"""Handlers that admit the upstreams which agents announce."""

from collections.abc import Iterator

from basilcove.core.events import Count, Effect, Emit, Log, Peer, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import NodeId, Role, UpstreamName, Zone
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.environment.events import EnvironmentChanged
from basilcove.membership.const import AGENT_TIMEOUT_S, MAX_AGENTS_PER_UPSTREAM, SWEEP_INTERVAL_S
from basilcove.membership.events import LoadReported, UpstreamJoined, UpstreamLeaving, UpstreamLost
from basilcove.membership.messages import Announce, AnnounceRequest, Refresh, Refreshed
from basilcove.membership.models import KnownUpstream, MembershipState
from basilcove.membership.proofs import is_proven
from basilcove.membership.rules import Claim, Refused, judge


@handles_message(Announce, MembershipState)
def on_announce(state: MembershipState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Admit, change or refuse an upstream."""
    announce = event.message
    assert isinstance(announce, Announce)
    verdict = _admit(state, event.peer, announce, ctx)
    if verdict is None:
        return
    if isinstance(verdict, Refused):
        yield Count('announcements_refused', (('at', 'entry'),))
        fields = (('upstream', announce.upstream), ('agent', event.peer.node))
        yield Log('warning', f'announcement refused: {verdict.reason}', fields)
        return
    yield from _replace(state, verdict)
    if announce.load is not None:
        yield Emit(LoadReported(announce.upstream, announce.load))


@handles_message(Refresh, MembershipState)
def on_refresh(state: MembershipState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Keep the upstreams whose last announcement is known; ask for announcements that are missing.

    An upstream with a missing announcement is not kept: the announcement may say that it is leaving.
    """
    refresh = event.message
    assert isinstance(refresh, Refresh)
    if state.environment is None or Role.AGENT not in event.peer.roles:
        return
    is_missing = False
    for refreshed in refresh.upstreams:
        known = state.upstreams.get(refreshed.upstream)
        if known is None or not known.is_from(event.peer):
            is_missing = True
            continue
        yield from _renew(known, refresh.number, refreshed, ctx)
        is_missing |= known.heard_number < refresh.number
    if is_missing:
        yield Send(event.peer.node, AnnounceRequest())


@handles(EnvironmentChanged, MembershipState)
def on_environment(state: MembershipState, event: EnvironmentChanged, ctx: Context) -> Iterator[Effect]:
    """Judge the upstreams again by the newer document."""
    yield from _request_first(state)
    state.environment = event.environment
    for gone in state.seen.keys() - event.environment.upstreams.keys():
        del state.seen[gone]
    for name, known in tuple(state.upstreams.items()):
        verdict = judge(event.environment, _claim(known.announce, known.agent, known.zone))
        declared = event.environment.upstreams.get(name)
        is_same_credential = declared is not None and declared.credential_digest == known.credential_digest
        if isinstance(verdict, Refused) or not is_same_credential:
            yield from _lose(state, name)
        elif verdict != known.allowed:
            known.allowed = verdict
            if not known.leaving:
                yield Emit(_joined(known))


@handles(PeerFound, MembershipState)
def on_peer_found(state: MembershipState, event: PeerFound, ctx: Context) -> tuple[Effect, ...]:
    """Keep the linked peers, for requests to drain."""
    state.peers[event.peer.node] = event.peer
    return ()


@handles(PeerLost, MembershipState)
def on_peer_lost(state: MembershipState, event: PeerLost, ctx: Context) -> Iterator[Effect]:
    """Lose the upstreams of an agent whose link is gone."""
    if state.peers.get(event.peer.node) == event.peer:
        del state.peers[event.peer.node]
    for name, known in tuple(state.upstreams.items()):
        if known.is_from(event.peer):
            yield from _lose(state, name)


@handles(Tick, MembershipState)
def on_tick(state: MembershipState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """Lose the upstreams of agents that are silent."""
    if ctx.now < state.next_sweep_at:
        return
    state.next_sweep_at = ctx.now + SWEEP_INTERVAL_S
    for name, known in tuple(state.upstreams.items()):
        # The sweep's own interval counts, so that the loss is noticed within the timeout.
        if ctx.now - known.heard_at > AGENT_TIMEOUT_S - SWEEP_INTERVAL_S:
            yield from _lose(state, name)


def _renew(known: KnownUpstream, number: int, refreshed: Refreshed, ctx: Context) -> Iterator[Effect]:
    # A refresh that is repeated, or older than the announcement, says nothing.
    if number <= known.heard_number or refreshed.announced != known.announce.number:
        return
    known.heard_number = number
    known.heard_at = ctx.now
    if refreshed.load is not None:
        known.load = refreshed.load
        yield Emit(LoadReported(refreshed.upstream, refreshed.load))


def _request_first(state: MembershipState) -> Iterator[Effect]:
    # What was announced before the first document could not be judged.
    if state.environment is not None:
        return
    for peer in state.peers.values():
        if Role.AGENT in peer.roles:
            yield Send(peer.node, AnnounceRequest())


def _admit(
    state: MembershipState, peer: Peer, announce: Announce, ctx: Context
) -> KnownUpstream | Refused | None:
    """Return the upstream as announced, a refusal, or None for a repeated or late message."""
    environment = state.environment
    if environment is None:
        return None
    if Role.AGENT not in peer.roles or announce.incarnation != peer.incarnation:
        return Refused('the sender is not the agent of the announcement')
    verdict = judge(environment, _claim(announce, peer.node, peer.zone))
    if isinstance(verdict, Refused):
        return verdict
    digest = environment.upstreams[announce.upstream].credential_digest
    if not is_proven(announce, peer.node, digest):
        return Refused('the proof does not match the credential in the document')
    if announce.incarnation < state.seen.get(announce.upstream, {}).get(peer.node, (0, 0))[0]:
        return Refused(f'a former process of agent {peer.node} sent the announcement')
    if not _is_newer(state, peer, announce):
        return None
    known = state.upstreams.get(announce.upstream)
    if known is not None and known.agent != peer.node:
        return Refused(f'{announce.upstream} is already announced by agent {known.agent}')
    return KnownUpstream(
        announce, peer.node, peer.zone, digest, verdict, ctx.now, announce.number, announce.load
    )


def _is_newer(state: MembershipState, peer: Peer, announce: Announce) -> bool:
    # Incarnations of two hosts come from two clocks, so they are compared for one agent only.
    agents = state.seen.setdefault(announce.upstream, {})
    stamp = (announce.incarnation, announce.number)
    if peer.node in agents and stamp <= agents[peer.node]:
        return False
    agents[peer.node] = stamp
    if len(agents) > MAX_AGENTS_PER_UPSTREAM:
        del agents[min(agents, key=agents.__getitem__)]
    return True


def _replace(state: MembershipState, new: KnownUpstream) -> Iterator[Effect]:
    name = new.announce.upstream
    old = state.upstreams.get(name)
    if old is not None and old.origin != new.origin:
        yield from _lose(state, name)
        old = None
    state.upstreams[name] = new
    if new.leaving:
        if old is not None and not old.leaving:
            yield Emit(UpstreamLeaving(name))
    elif old is None or old.leaving or old.allowed != new.allowed:
        yield Emit(_joined(new))


def _lose(state: MembershipState, name: UpstreamName) -> Iterator[Effect]:
    del state.upstreams[name]
    yield Emit(UpstreamLost(name))
    yield Count('upstreams_lost')


def _claim(announce: Announce, agent: NodeId, zone: Zone) -> Claim:
    return Claim(announce.upstream, agent, zone, announce.models, announce.services)


def _joined(known: KnownUpstream) -> UpstreamJoined:
    announce, allowed = known.announce, known.allowed
    return UpstreamJoined(
        announce.upstream,
        known.agent,
        announce.incarnation,
        known.zone,
        allowed.models,
        allowed.services,
        min(announce.slots, allowed.slots),
    )
