"""Handlers by which an agent tracks the upstreams on its host and announces them."""

import dataclasses
from collections.abc import Collection, Iterable, Iterator

from basilcove.core.events import (
    Count,
    Effect,
    Emit,
    Log,
    Peer,
    PeerFound,
    PeerLost,
    Received,
    Send,
    StopRequested,
    Tick,
)
from basilcove.core.ids import Role, UpstreamName
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.keys import digest_of_secret, matches_digest
from basilcove.membership.const import REFRESH_INTERVAL_S, UPSTREAM_TIMEOUT_S
from basilcove.membership.events import (
    AnnouncementAccepted,
    AnnouncementRefused,
    DrainConfirmed,
    DrainRequested,
    LoadMeasured,
    LocalUpstreamJoined,
    LocalUpstreamLost,
    UpstreamAnnounced,
    UpstreamDeparted,
    UpstreamLeavingRequested,
)
from basilcove.membership.messages import Announce, AnnounceRequest, Drain, DrainDone, Refresh, Refreshed
from basilcove.membership.models import AnnouncerState, LocalUpstream
from basilcove.membership.proofs import make_proof
from basilcove.membership.rules import Allowed, Announcement, Refused, authorize


@handles(UpstreamAnnounced, AnnouncerState)
def on_announced(state: AnnouncerState, event: UpstreamAnnounced, ctx: Context) -> Iterator[Effect]:
    """Accept or refuse an upstream on this host."""
    yield from _expire(state, ctx)
    result = _authorize(state, event)
    if isinstance(result, Refused):
        yield from _refuse(event, result)
        return
    yield Emit(AnnouncementAccepted(event.name, event.incarnation))
    upstream = state.local.get(event.name)
    if upstream is not None and (upstream.announced, upstream.allowed) == (event, result):
        upstream.last_seen_at = ctx.now
        return
    leaving = state.drained_incarnations.get(event.name) == event.incarnation
    state.local[event.name] = LocalUpstream(event, result, ctx.now, leaving)
    state.newest_incarnations[event.name] = event.incarnation
    yield Emit(_to_joined(state.local[event.name]))
    yield from _announce(state, event.name)


@handles(UpstreamDeparted, AnnouncerState)
def on_departed(state: AnnouncerState, event: UpstreamDeparted, ctx: Context) -> Iterator[Effect]:
    """Let an upstream leave if the process that announced it requests that with its credential."""
    yield from _expire(state, ctx)
    refusal = _authenticate(state, event.announced)
    if refusal is not None:
        yield from _refuse(event.announced, refusal)
        return
    yield Emit(UpstreamLeavingRequested(event.announced.name))


@handles(UpstreamLeavingRequested, AnnouncerState)
def on_leaving(state: AnnouncerState, event: UpstreamLeavingRequested, ctx: Context) -> Iterator[Effect]:
    """Announce immediately that the upstream leaves; only its next process can join again."""
    upstream = state.local.get(event.name)
    if upstream is None or upstream.leaving:
        return
    upstream.leaving = True
    state.drained_incarnations[event.name] = upstream.announced.incarnation
    yield from _announce(state, event.name)


@handles(StopRequested, AnnouncerState)
def on_stop(state: AnnouncerState, event: StopRequested, ctx: Context) -> Iterator[Effect]:
    """Let all upstreams on this host leave, and accept no others."""
    state.is_stopping = True
    for name in state.local:
        yield Emit(UpstreamLeavingRequested(name))


@handles(DrainRequested, AnnouncerState)
def on_drain_requested(state: AnnouncerState, event: DrainRequested, ctx: Context) -> Iterator[Effect]:
    """Carry out an operator's request that reached the agent itself."""
    if event.upstream in state.local:
        yield Emit(UpstreamLeavingRequested(event.upstream))
        yield Emit(DrainConfirmed(event.upstream))


@handles_message(Drain, AnnouncerState)
def on_drain(state: AnnouncerState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Carry out an operator's request that a linked node forwarded."""
    drain = event.message
    assert isinstance(drain, Drain)
    if drain.upstream in state.local:
        yield Emit(UpstreamLeavingRequested(drain.upstream))
        yield Send(event.peer.node, DrainDone(drain.drain_id, drain.upstream))


@handles(LoadMeasured, AnnouncerState)
def on_load(state: AnnouncerState, event: LoadMeasured, ctx: Context) -> Iterator[Effect]:
    """Report a load with an immediate refresh, which restarts the refresh interval."""
    if event.upstream in state.local:
        state.loads[event.upstream] = event.load
        yield from _refresh(state, ctx, {event.upstream})


@handles(EnvironmentChanged, AnnouncerState)
def on_environment(state: AnnouncerState, event: EnvironmentChanged, ctx: Context) -> Iterator[Effect]:
    """Check the upstreams again, now against the newer document."""
    state.environment = event.environment
    for name, upstream in tuple(state.local.items()):
        result = _authorize(state, upstream.announced)
        if isinstance(result, Refused):
            yield from _drop(state, name, result.reason)
        elif result != upstream.allowed:
            upstream.allowed = result
            yield Emit(_to_joined(upstream))
            yield from _announce(state, name)


@handles(PeerFound, AnnouncerState)
def on_peer_found(state: AnnouncerState, event: PeerFound, ctx: Context) -> Iterator[Effect]:
    """Announce all upstreams on a new link immediately."""
    state.peers[event.peer.node] = event.peer
    state.announced_numbers.pop(event.peer.node, None)
    for name in state.local:
        yield from _announce_to(state, name, (event.peer,))


@handles_message(AnnounceRequest, AnnouncerState)
def on_request(state: AnnouncerState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Announce all upstreams again on a link whose peer lacks an announcement."""
    if state.peers.get(event.peer.node) == event.peer:
        for name in state.local:
            yield from _announce_to(state, name, (event.peer,))


@handles(PeerLost, AnnouncerState)
def on_peer_lost(state: AnnouncerState, event: PeerLost, ctx: Context) -> tuple[Effect, ...]:
    """Stop announcing on the link."""
    if state.peers.get(event.peer.node) == event.peer:
        del state.peers[event.peer.node]
        state.announced_numbers.pop(event.peer.node, None)
    return ()


@handles(Tick, AnnouncerState)
def on_tick(state: AnnouncerState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """Drop silent upstreams and refresh the announcements of the others."""
    yield from _expire(state, ctx)
    if ctx.now >= state.next_refresh_at:
        yield from _refresh(state, ctx)


def _refuse(event: UpstreamAnnounced, refusal: Refused) -> Iterator[Effect]:
    yield Count('announcements_refused', (('at', 'agent'),))
    yield Log('warning', f'announcement refused: {refusal.reason}', (('upstream', event.name),))
    yield Emit(AnnouncementRefused(event.name, event.incarnation, refusal.reason))


def _authorize(state: AnnouncerState, event: UpstreamAnnounced) -> Allowed | Refused:
    environment = state.environment
    if environment is None or state.is_stopping:
        return Refused('the agent stops' if state.is_stopping else 'no document is in effect yet')
    announcement = Announcement(event.name, state.node, state.zone, event.models, event.services)
    result = authorize(environment, announcement)
    return result if isinstance(result, Refused) else _authenticate(state, event) or result


def _authenticate(state: AnnouncerState, event: UpstreamAnnounced) -> Refused | None:
    declared = state.environment.upstreams.get(event.name) if state.environment else None
    if declared is None:
        return Refused(f'the document has no upstream {event.name}')
    if not matches_digest(event.credential, declared.credential_digest):
        return Refused(_describe_wrong_credential(state, event))
    upstream = state.local.get(event.name)
    if upstream is not None and _process_identity(upstream.announced) != _process_identity(event):
        return Refused(f'{event.name} is announced by another process that is still alive')
    if event.incarnation < state.newest_incarnations.get(event.name, event.incarnation):
        return Refused(f'{event.name} is announced by a former process')
    return None


def _process_identity(event: UpstreamAnnounced) -> tuple[int, str]:
    return event.incarnation, event.url


def _describe_wrong_credential(state: AnnouncerState, event: UpstreamAnnounced) -> str:
    digest = digest_of_secret(event.credential)
    assert state.environment is not None
    for name, upstream in state.environment.upstreams.items():
        if upstream.credential_digest == digest:
            return f'{event.name} is announced with the credential of {name}'
    return f'{event.name} is announced with a wrong credential'


def _expire(state: AnnouncerState, ctx: Context) -> Iterator[Effect]:
    for name, upstream in tuple(state.local.items()):
        if ctx.now - upstream.last_seen_at >= UPSTREAM_TIMEOUT_S:
            yield from _drop(state, name, f'silent for {UPSTREAM_TIMEOUT_S:g} s')


def _drop(state: AnnouncerState, name: UpstreamName, reason: str) -> Iterator[Effect]:
    # The last announcement notifies the entries; if it is lost, they time the upstream out, because later
    # refreshes don't list it.
    state.local[name].leaving = True
    yield from _announce(state, name)
    del state.local[name]
    state.loads.pop(name, None)
    yield Emit(LocalUpstreamLost(name, reason))
    yield Log('warning', f'upstream dropped: {reason}', (('upstream', name),))


def _to_joined(upstream: LocalUpstream) -> LocalUpstreamJoined:
    event, allowed = upstream.announced, upstream.allowed
    return LocalUpstreamJoined(
        event.name, event.url, event.incarnation, allowed.models, allowed.services, allowed.slots
    )


def _announce(state: AnnouncerState, name: UpstreamName) -> Iterator[Effect]:
    yield from _announce_to(state, name, state.peers.values())


def _announce_to(state: AnnouncerState, name: UpstreamName, peers: Iterable[Peer]) -> Iterator[Effect]:
    upstream = state.local[name]
    if state.environment is None or name not in state.environment.upstreams:
        return
    state.last_number += 1
    unsigned = Announce(
        name,
        state.incarnation,
        upstream.announced.incarnation,
        state.last_number,
        upstream.allowed.models,
        upstream.allowed.services,
        upstream.allowed.slots,
        upstream.leaving,
        b'',
        state.loads.get(name),
    )
    digest = state.environment.upstreams[name].credential_digest
    for peer in _receivers(peers):
        addressed = dataclasses.replace(unsigned, receiver_incarnation=peer.incarnation)
        state.announced_numbers.setdefault(peer.node, {})[name] = state.last_number
        proof = make_proof(addressed, state.node, digest)
        yield Send(peer.node, dataclasses.replace(addressed, proof=proof))


def _refresh(state: AnnouncerState, ctx: Context, changed: Collection[UpstreamName] = ()) -> Iterator[Effect]:
    """Send the numbers of the announcements in effect on all links, with the loads that changed."""
    state.next_refresh_at = ctx.now + REFRESH_INTERVAL_S
    if not state.local:
        return
    state.last_number += 1
    for peer in _receivers(state.peers.values()):
        # A peer without an announcement gets the number 0, and requests the announcement.
        numbers = state.announced_numbers.get(peer.node, {})
        refreshed = tuple(
            Refreshed(name, numbers.get(name, 0), state.loads.get(name) if name in changed else None)
            for name in state.local
        )
        yield Send(peer.node, Refresh(state.last_number, refreshed))


def _receivers(peers: Iterable[Peer]) -> Iterator[Peer]:
    for peer in peers:
        if Role.ENTRY in peer.roles or Role.CONTROL in peer.roles:
            yield peer
