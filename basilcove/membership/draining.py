"""Handlers that forward an operator's request to drain to the upstream's agent."""

from collections.abc import Iterator

from basilcove.core.events import Effect, Emit, Received, Send, Tick
from basilcove.core.ids import NodeId, Role, UpstreamName
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.membership.const import DRAIN_DEADLINE_S, DRAIN_HOPS, DRAIN_RESEND_S, MAX_DRAIN_ROUTES
from basilcove.membership.events import DrainConfirmed, DrainFailed, DrainRequested
from basilcove.membership.messages import Drain, DrainDone
from basilcove.membership.models import AnnouncerState, MembershipState, PendingDrain


@handles(DrainRequested, MembershipState)
def on_drain_requested(state: MembershipState, event: DrainRequested, ctx: Context) -> Iterator[Effect]:
    """Send the request, and resend it until the agent confirms it or the deadline passes."""
    if ctx.node.has(AnnouncerState) and event.upstream in ctx.node.part(AnnouncerState).local:
        return
    if state.environment is not None and event.upstream not in state.environment.upstreams:
        yield Emit(DrainFailed(event.upstream, f'the document has no upstream {event.upstream}'))
        return
    drain_id = f'{state.node}:{ctx.wall_time:.6f}:{event.upstream}'
    state.drains[event.upstream] = PendingDrain(drain_id, ctx.now + DRAIN_DEADLINE_S, ctx.now)
    yield from _send_due(state, ctx)


@handles(Tick, MembershipState)
def on_tick(state: MembershipState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """Resend the requests that are not yet confirmed."""
    yield from _send_due(state, ctx)


@handles_message(Drain, MembershipState)
def on_drain(state: MembershipState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Forward another node's request, and record the route for its confirmation."""
    drain = event.message
    assert isinstance(drain, Drain)
    if drain.hops < 1 or drain.drain_id.startswith(f'{state.node}:'):
        return
    state.routes.setdefault(drain.drain_id, event.peer.node)
    if len(state.routes) > MAX_DRAIN_ROUTES:
        del state.routes[next(iter(state.routes))]
    forwarded = Drain(drain.drain_id, drain.upstream, drain.hops - 1)
    for target in _find_targets(state, drain.upstream):
        if target != event.peer.node:
            yield Send(target, forwarded)


@handles_message(DrainDone, MembershipState)
def on_drain_done(state: MembershipState, event: Received, ctx: Context) -> Iterator[Effect]:
    """Complete this node's request, or forward the confirmation to the node that sent the request."""
    done = event.message
    assert isinstance(done, DrainDone)
    pending = state.drains.get(done.upstream)
    if pending is not None and pending.drain_id == done.drain_id:
        del state.drains[done.upstream]
        yield Emit(DrainConfirmed(done.upstream))
        return
    sender = state.routes.get(done.drain_id)
    if sender is not None:
        yield Send(sender, done)


def _send_due(state: MembershipState, ctx: Context) -> Iterator[Effect]:
    for upstream, pending in tuple(state.drains.items()):
        if ctx.now >= pending.deadline:
            del state.drains[upstream]
            reason = f'no agent confirmed the drain of {upstream} within {DRAIN_DEADLINE_S:g} s'
            yield Emit(DrainFailed(upstream, reason))
        elif ctx.now >= pending.next_send_at:
            pending.next_send_at = ctx.now + DRAIN_RESEND_S
            for target in _find_targets(state, upstream):
                yield Send(target, Drain(pending.drain_id, upstream, DRAIN_HOPS))


def _find_targets(state: MembershipState, upstream: UpstreamName) -> Iterator[NodeId]:
    """Yield the upstream's agent if it is linked, otherwise all linked entries and control hosts."""
    announced = state.upstreams.get(upstream)
    if announced is not None and announced.agent in state.peers:
        yield announced.agent
        return
    for peer in state.peers.values():
        if Role.CONTROL in peer.roles or Role.ENTRY in peer.roles:
            yield peer.node
