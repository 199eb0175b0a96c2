"""Upstreams that may be chosen, and the links to their agents."""

from basilcove.core.events import Effect, PeerFound, PeerLost
from basilcove.core.ids import Incarnation, NodeId
from basilcove.core.reducer import Context, handles
from basilcove.membership.events import UpstreamJoined, UpstreamLeaving, UpstreamLost
from basilcove.requests.attempts import fail_attempt
from basilcove.requests.events import UpstreamReported
from basilcove.requests.models import KnownUpstream, RequestsState


@handles(UpstreamJoined, RequestsState)
def on_joined(state: RequestsState, event: UpstreamJoined, ctx: Context) -> list[Effect]:
    """Take an upstream into the choice; one of an agent's former incarnation is ignored."""
    known = state.upstreams.get(event.upstream)
    if known is not None and _is_former(event, known.joined):
        return []
    state.upstreams[event.upstream] = KnownUpstream(event)
    state.candidates_changed = True
    return _lose_attempts(state, event.agent, ctx.now, before=event.incarnation)


@handles(UpstreamLeaving, RequestsState)
def on_leaving(state: RequestsState, event: UpstreamLeaving, ctx: Context) -> list[Effect]:
    """Send an upstream no further attempts."""
    known = state.upstreams.get(event.upstream)
    if known is not None:
        known.is_leaving = True
        state.candidates_changed = True
    return []


@handles(UpstreamLost, RequestsState)
def on_lost(state: RequestsState, event: UpstreamLost, ctx: Context) -> list[Effect]:
    """Forget an upstream; its attempts in flight go on while the link to the agent holds."""
    state.upstreams.pop(event.upstream, None)
    state.candidates_changed = True
    return []


@handles(UpstreamReported, RequestsState)
def on_reported(state: RequestsState, event: UpstreamReported, ctx: Context) -> list[Effect]:
    """Pass a load report to the router."""
    if event.upstream in state.upstreams:
        state.router.report(event.upstream, event.load, ctx.now)
    return []


@handles(PeerFound, RequestsState)
def on_peer_found(state: RequestsState, event: PeerFound, ctx: Context) -> list[Effect]:
    """Use a new link; what was in flight on a former one may be lost."""
    peer = event.peer
    state.links[peer.node] = peer
    state.candidates_changed = True
    return _lose_attempts(state, peer.node, ctx.now, before=Incarnation(peer.incarnation + 1))


@handles(PeerLost, RequestsState)
def on_peer_lost(state: RequestsState, event: PeerLost, ctx: Context) -> list[Effect]:
    """Give up the attempts on a link that broke or fell silent."""
    peer = event.peer
    link = state.links.get(peer.node)
    if link is not None and link.incarnation == peer.incarnation:
        state.links.pop(peer.node)
        state.candidates_changed = True
    return _lose_attempts(state, peer.node, ctx.now, before=Incarnation(peer.incarnation + 1))


def _lose_attempts(state: RequestsState, agent: NodeId, now: float, before: Incarnation) -> list[Effect]:
    effects: list[Effect] = []
    for record in tuple(state.attempts.values()):
        attempt = record.attempt
        if attempt is None or attempt.agent != agent or attempt.incarnation >= before:
            continue
        effects.extend(fail_attempt(state, record, now, 'the link to the agent was lost'))
    return effects


def _is_former(event: UpstreamJoined, known: UpstreamJoined) -> bool:
    return event.agent == known.agent and event.incarnation < known.incarnation
