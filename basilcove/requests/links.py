"""Tracks the upstreams and the links to their agents."""

from basilcove.core.events import Effect, PeerFound, PeerLost
from basilcove.core.ids import Incarnation, NodeId
from basilcove.core.reducer import Context, handles
from basilcove.membership.events import UpstreamJoined, UpstreamLeaving, UpstreamLost
from basilcove.requests.attempts import fail_attempt
from basilcove.requests.events import UpstreamReported
from basilcove.requests.models import RequestsState, UpstreamStatus


@handles(UpstreamJoined, RequestsState)
def on_joined(state: RequestsState, event: UpstreamJoined, ctx: Context) -> list[Effect]:
    """Add an upstream, or replace its status; ignore one that a former process of its agent announced."""
    status = state.upstreams.get(event.upstream)
    if status is not None and _is_from_former_process(event, status.joined):
        return []
    state.upstreams[event.upstream] = UpstreamStatus(event)
    state.is_router_stale = True
    return _fail_attempts(state, event.agent, ctx.now, before=event.incarnation)


@handles(UpstreamLeaving, RequestsState)
def on_leaving(state: RequestsState, event: UpstreamLeaving, ctx: Context) -> list[Effect]:
    """Send no further attempts to an upstream."""
    status = state.upstreams.get(event.upstream)
    if status is not None:
        status.is_leaving = True
        state.is_router_stale = True
    return []


@handles(UpstreamLost, RequestsState)
def on_lost(state: RequestsState, event: UpstreamLost, ctx: Context) -> list[Effect]:
    """Remove an upstream; its attempts in flight continue while the link to the agent is up."""
    state.upstreams.pop(event.upstream, None)
    state.is_router_stale = True
    return []


@handles(UpstreamReported, RequestsState)
def on_reported(state: RequestsState, event: UpstreamReported, ctx: Context) -> list[Effect]:
    """Pass a load report to the router."""
    if event.upstream in state.upstreams:
        state.router.apply_report(event.upstream, event.load, ctx.now)
    return []


@handles(PeerFound, RequestsState)
def on_peer_found(state: RequestsState, event: PeerFound, ctx: Context) -> list[Effect]:
    """Use a new link; fail the attempts in flight on a former one, because its messages may be lost."""
    peer = event.peer
    state.links[peer.node] = peer
    state.is_router_stale = True
    return _fail_attempts(state, peer.node, ctx.now, before=Incarnation(peer.incarnation + 1))


@handles(PeerLost, RequestsState)
def on_peer_lost(state: RequestsState, event: PeerLost, ctx: Context) -> list[Effect]:
    """Fail the attempts on a link that broke or timed out."""
    peer = event.peer
    link = state.links.get(peer.node)
    if link is not None and link.incarnation == peer.incarnation:
        state.links.pop(peer.node)
        state.is_router_stale = True
    return _fail_attempts(state, peer.node, ctx.now, before=Incarnation(peer.incarnation + 1))


def _fail_attempts(state: RequestsState, agent: NodeId, now: float, before: Incarnation) -> list[Effect]:
    effects: list[Effect] = []
    for record in tuple(state.attempts.values()):
        attempt = record.attempt
        if attempt is None or attempt.agent != agent or attempt.incarnation >= before:
            continue
        effects.extend(fail_attempt(state, record, now, 'the link to the agent was lost'))
    return effects


def _is_from_former_process(event: UpstreamJoined, current: UpstreamJoined) -> bool:
    return event.agent == current.agent and event.incarnation < current.incarnation
