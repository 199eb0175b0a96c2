"""Handlers of operators' calls that need no majority of the control group: status, upstreams, drain.

Apply, promote and show go through the control group and are answered elsewhere.
"""

from collections.abc import Iterator

from basilcove.cli.messages import (
    DrainReply,
    DrainRequest,
    StatusReply,
    StatusRequest,
    UpstreamRow,
    UpstreamsReply,
    UpstreamsRequest,
)
from basilcove.cli.models import OperatorState
from basilcove.const import VERSION
from basilcove.core.events import Effect, Emit
from basilcove.core.ids import NodeId, Revision, UpstreamName
from basilcove.core.reducer import Context, handles
from basilcove.distribution.models import DistributionState
from basilcove.environment.models import Upstream
from basilcove.membership.events import DrainConfirmed, DrainFailed, DrainRequested
from basilcove.membership.messages import Load
from basilcove.membership.models import AnnouncedUpstream, MembershipState
from basilcove.rpc.events import OperatorCalled, Reply

_NO_LOAD = Load(0, 0, 0)


@handles(OperatorCalled, OperatorState)
def on_called(state: OperatorState, event: OperatorCalled, ctx: Context) -> Iterator[Effect]:
    """Answer calls from the node's own state; other handlers answer all other calls."""
    request = event.message
    if isinstance(request, StatusRequest):
        yield Reply(event.call_id, _status(state, ctx))
    elif isinstance(request, UpstreamsRequest):
        yield Reply(event.call_id, _upstreams(ctx))
    elif isinstance(request, DrainRequest):
        waiting = state.drains.setdefault(request.upstream, [])
        waiting.append(event.call_id)
        if len(waiting) == 1:
            yield Emit(DrainRequested(request.upstream))


@handles(DrainConfirmed, OperatorState)
def on_confirmed(state: OperatorState, event: DrainConfirmed, ctx: Context) -> Iterator[Effect]:
    """Reply to the waiting operators that the agent has confirmed the drain."""
    for call_id in state.drains.pop(event.upstream, ()):
        yield Reply(call_id, DrainReply(accepted=True, revision=_revision(ctx)))


@handles(DrainFailed, OperatorState)
def on_failed(state: OperatorState, event: DrainFailed, ctx: Context) -> Iterator[Effect]:
    """Reply to the waiting operators why the drain isn't confirmed."""
    for call_id in state.drains.pop(event.upstream, ()):
        yield Reply(call_id, DrainReply(accepted=False, revision=_revision(ctx), reasons=(event.reason,)))


def _revision(ctx: Context) -> Revision:
    return ctx.node.part(DistributionState).revision_in_effect


def _status(state: OperatorState, ctx: Context) -> StatusReply:
    distribution = ctx.node.part(DistributionState)
    return StatusReply(
        accepted=True,
        revision=distribution.revision_in_effect,
        node=state.node,
        roles=state.roles,
        zone=state.zone,
        version=VERSION,
        environment=distribution.key[0],
        stage=distribution.key[1],
        ready=distribution.ready,
        leader=state.leader or NodeId(''),
        control_nodes=tuple(sorted(distribution.control_nodes)),
        peers=tuple(sorted(distribution.peers)),
    )


def _upstreams(ctx: Context) -> UpstreamsReply:
    membership = ctx.node.part(MembershipState)
    declared = {} if membership.environment is None else membership.environment.upstreams
    rows = tuple(_row(name, upstream, membership.upstreams.get(name)) for name, upstream in declared.items())
    return UpstreamsReply(accepted=True, revision=_revision(ctx), upstreams=rows)


def _row(name: UpstreamName, declared: Upstream, upstream: AnnouncedUpstream | None) -> UpstreamRow:
    if upstream is None:
        serves = (*declared.models, *declared.services)
        return UpstreamRow(name, 'absent', declared.zone, NodeId(''), serves, declared.slots, 0, 0, 0)
    load = upstream.announce.load or _NO_LOAD
    allowed = upstream.allowed
    return UpstreamRow(
        name,
        'leaving' if upstream.leaving else 'serving',
        upstream.zone,
        upstream.agent,
        (*allowed.models, *allowed.services),
        allowed.slots,
        load.queued_work,
        load.running,
        load.tokens_per_s,
    )
