"""Answers the operators' tool, from the replicated state or from the state of this node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from basilcove.catalog import commands, outcomes
from basilcove.catalog.client import ClientState
from basilcove.catalog.events import ProposalFailed, Propose, Proposed, Query, QueryAnswered, QueryFailed
from basilcove.cli.messages import (
    ApplyReply,
    ApplyRequest,
    DrainReply,
    DrainRequest,
    HostReply,
    HostRequest,
    PromoteReply,
    PromoteRequest,
    Reply,
    ShowReply,
    ShowRequest,
    StatusReply,
    StatusRequest,
    UpstreamRow,
    UpstreamsReply,
    UpstreamsRequest,
    ZoneReply,
)
from basilcove.consensus.models import ConsensusState, Member
from basilcove.const import VERSION
from basilcove.core.events import Effect, Emit, Message
from basilcove.core.ids import EnvironmentName, NodeId, Revision, Stage, UpstreamName
from basilcove.core.pauses import PauseState
from basilcove.core.reducer import Context, handles
from basilcove.distribution.models import DistributionState
from basilcove.environment.models import Environment
from basilcove.membership import events as membership
from basilcove.membership.models import MembershipState
from basilcove.rpc import events as rpc
from basilcove.rpc.envelopes import Identity
from basilcove.wiring.const import OPERATOR_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """A change of a zone that waits for the version of the zones; ``deadline`` is monotonic."""

    command: commands.EvacuateZone | commands.RestoreZone
    deadline: float


@dataclass
class OperatorsState:
    """Calls of operators that wait for an answer, by proposal, query or upstream."""

    identity: Identity
    environment: EnvironmentName
    stage: Stage
    waiting: dict[str, list[tuple[rpc.CallId, type[Reply]]]] = field(default_factory=dict)
    zone_changes: dict[str, ZoneChange] = field(default_factory=dict)

    def wait(self, name: str, call_id: rpc.CallId, reply: type[Reply]) -> None:
        """Answer this call when the named proposal, query or drain ends."""
        self.waiting.setdefault(name, []).append((call_id, reply))

    def answer(self, name: str, build: Callable[[type[Reply]], Reply]) -> list[Effect]:
        """Answer all calls that wait for the named proposal, query or drain."""
        calls = self.waiting.pop(name, [])
        return [rpc.Reply(call_id, build(reply)) for call_id, reply in calls]


CallHandler = Callable[[OperatorsState, rpc.CallId, Any, Context], list[Effect]]

_CALL_HANDLERS: dict[type, CallHandler] = {}
# Replies of the calls that change something and state no revision, so that a late one may revert a newer one.
_CHANGE_REPLIES: dict[type, type[Reply]] = {}


def handles_call(
    request: type[Message], *, change_reply: type[Reply] | None = None
) -> Callable[[CallHandler], CallHandler]:
    """Register the function that answers a type of call, or starts what the call waits for.

    A call with ``change_reply`` is refused with it where it may have waited through a pause of this process.
    """

    def register(handler: CallHandler) -> CallHandler:
        _CALL_HANDLERS[request] = handler
        if change_reply is not None:
            _CHANGE_REPLIES[request] = change_reply
        return handler

    return register


@handles(rpc.OperatorCalled, OperatorsState)
def on_call(state: OperatorsState, event: rpc.OperatorCalled, ctx: Context) -> list[Effect]:
    """Answer a call, or start the proposal, query or drain that it waits for."""
    handler = _CALL_HANDLERS.get(type(event.message))
    if handler is None:
        return [rpc.Reply(event.call_id, ApplyReply(accepted=False, reasons=('not an operator call',)))]
    change_reply = _CHANGE_REPLIES.get(type(event.message))
    if change_reply is not None and ctx.node.part(PauseState).reads_late(ctx.now, ctx.wall_time):
        reasons = ('the call may be late (not run)',)
        return [rpc.Reply(event.call_id, _unavailable(change_reply, reasons))]
    return handler(state, event.call_id, event.message, ctx)


@handles_call(ApplyRequest)
def _apply(state: OperatorsState, call_id: rpc.CallId, req: ApplyRequest, ctx: Context) -> list[Effect]:
    command = commands.ApplyDocument(
        req.environment,
        req.stage,
        req.expected_revision,
        req.document,
        req.request_id,
    )
    return propose(state, call_id, ApplyReply, req.request_id, command, ctx)


@handles_call(PromoteRequest)
def _promote(state: OperatorsState, call_id: rpc.CallId, req: PromoteRequest, ctx: Context) -> list[Effect]:
    command = commands.PromoteDocument(req.environment, req.expected_revision, req.request_id)
    return propose(state, call_id, PromoteReply, req.request_id, command, ctx)


@handles_call(HostRequest, change_reply=HostReply)
def _change_group(state: OperatorsState, call_id: rpc.CallId, req: HostRequest, ctx: Context) -> list[Effect]:
    change = commands.AdmitHost if req.admit else commands.RemoveHost
    return propose(state, call_id, HostReply, req.request_id, change(req.node, req.request_id), ctx)


def propose(
    state: OperatorsState,
    call_id: rpc.CallId,
    reply: type[Reply],
    request_id: str,
    command: Message,
    ctx: Context,
) -> list[Effect]:
    """Propose a command, and answer the call with its outcome."""
    # The call's own id keeps a retry with other content from being answered like the first call;
    # the replicated state deduplicates on the request id inside the command.
    name = f'operator/{request_id}/{call_id}'
    state.wait(name, call_id, reply)
    return [Emit(Propose(name, command, ctx.now + OPERATOR_TIMEOUT_S))]


@handles(Proposed, OperatorsState)
def on_proposed(state: OperatorsState, event: Proposed, ctx: Context) -> list[Effect]:
    """Answer a change that was decided."""
    result = event.result
    if isinstance(result, outcomes.ZoneChanged):
        changed = ZoneReply(accepted=True, version=result.version)
        return state.answer(event.proposal_id, lambda _: changed)
    if isinstance(result, outcomes.ZoneConflict):
        conflict = ('the zones have changed meanwhile (not run)',)
        return state.answer(event.proposal_id, lambda reply: _unavailable(reply, conflict))
    accepted, revision, reasons = _describe(result)
    return state.answer(
        event.proposal_id,
        lambda reply: reply(accepted=accepted, revision=revision, reasons=reasons),
    )


def _describe(result: Message) -> tuple[bool, Revision, tuple[str, ...]]:
    if isinstance(result, outcomes.DocumentApplied):
        return True, result.revision, ()
    if isinstance(result, outcomes.MembersChanged):
        return True, Revision(0), ()
    if isinstance(result, outcomes.RevisionConflict):
        return False, result.current, (f'the current revision is {result.current}',)
    if isinstance(result, outcomes.PromotionRefused):
        return False, Revision(0), result.missing
    if isinstance(result, outcomes.DocumentRefused):
        return False, Revision(0), result.faults
    reason = result.reason if isinstance(result, outcomes.CommandRefused) else type(result).__name__
    return False, Revision(0), (reason,)


@handles(ProposalFailed, OperatorsState)
def on_proposal_failed(state: OperatorsState, event: ProposalFailed, ctx: Context) -> list[Effect]:
    """Report that a change was not made, or that its outcome is unknown."""
    outcome = 'outcome unknown, ask again with the same request id' if event.sent else 'not run'
    reasons = (f'{event.reason} ({outcome})',)
    return state.answer(event.proposal_id, lambda reply: _unavailable(reply, reasons))


def _unavailable(reply: type[Reply], reasons: tuple[str, ...]) -> Reply:
    return reply(accepted=False, reasons=reasons, unavailable=True)


@handles_call(ShowRequest)
def _show(state: OperatorsState, call_id: rpc.CallId, req: ShowRequest, ctx: Context) -> list[Effect]:
    name = f'show/{call_id}'
    state.wait(name, call_id, ShowReply)
    read = commands.ReadDocument(req.environment, req.stage)
    return [Emit(Query(name, read, ctx.now + OPERATOR_TIMEOUT_S))]


@handles(QueryAnswered, OperatorsState)
def on_query_answered(state: OperatorsState, event: QueryAnswered, ctx: Context) -> list[Effect]:
    """Answer a read of a document."""
    answer = event.answer
    if not isinstance(answer, outcomes.DocumentRead):
        return []
    if answer.revision == 0:
        reasons = ('there is no such document',)
        return state.answer(event.query_id, lambda reply: reply(accepted=False, reasons=reasons))
    shown = ShowReply(accepted=True, revision=answer.revision, document=answer.document)
    return state.answer(event.query_id, lambda _: shown)


@handles(QueryFailed, OperatorsState)
def on_query_failed(state: OperatorsState, event: QueryFailed, ctx: Context) -> list[Effect]:
    """Report that a read failed."""
    state.zone_changes.pop(event.query_id, None)
    return state.answer(event.query_id, lambda reply: _unavailable(reply, (event.reason,)))


@handles_call(StatusRequest)
def _status(state: OperatorsState, call_id: rpc.CallId, req: StatusRequest, ctx: Context) -> list[Effect]:
    documents = ctx.node.part(DistributionState)
    leader = ctx.node.part(ClientState).leader
    members: tuple[Member, ...] = ()
    failures: tuple[str, ...] = ()
    if ctx.node.has(ConsensusState):
        consensus = ctx.node.part(ConsensusState)
        leader = consensus.leader_node or leader
        members = consensus.members.members
        if consensus.failure:
            failures = (f'storage failed: {consensus.failure}',)
    unreadable = (
        (f'the document of revision {documents.unreadable_revision} can not be read',)
        if documents.has_unreadable
        else ()
    )
    reply = StatusReply(
        accepted=True,
        reasons=(*failures, *unreadable),
        revision=documents.own.revision,
        node=state.identity.node,
        roles=state.identity.roles,
        zone=state.identity.zone,
        version=VERSION,
        environment=state.environment,
        stage=state.stage,
        ready=documents.ready and not failures,
        leader=leader or NodeId(''),
        control_nodes=tuple(sorted(documents.control_nodes)),
        peers=tuple(sorted(documents.peers)),
        voters=tuple(member.node for member in members if member.voter),
        learners=tuple(member.node for member in members if not member.voter),
    )
    return [rpc.Reply(call_id, reply)]


@handles_call(UpstreamsRequest)
def _upstreams(
    state: OperatorsState, call_id: rpc.CallId, req: UpstreamsRequest, ctx: Context
) -> list[Effect]:
    membership_state = ctx.node.part(MembershipState)
    environment = membership_state.environment
    if environment is None:
        reply = UpstreamsReply(accepted=False, reasons=('no document is in effect',), unavailable=True)
        return [rpc.Reply(call_id, reply)]
    rows = tuple(_rows(membership_state, environment))
    revision = ctx.node.part(DistributionState).own.revision
    return [rpc.Reply(call_id, UpstreamsReply(accepted=True, revision=revision, upstreams=rows))]


def _rows(membership_state: MembershipState, environment: Environment) -> Iterable[UpstreamRow]:
    for name, declared in sorted(environment.upstreams.items()):
        upstream = membership_state.upstreams.get(name)
        serves = tuple(sorted((*declared.models, *declared.services)))
        state = 'absent'
        agent = NodeId('')
        load = None
        if upstream is not None:
            state = 'leaving' if upstream.leaving else 'serving'
            agent = upstream.agent
            load = upstream.load
        yield UpstreamRow(
            name=name,
            state=state,
            zone=declared.zone,
            agent=agent,
            serves=serves,
            slots=declared.slots,
            queued_work=load.queued_work if load else 0,
            running=load.running if load else 0,
            tokens_per_s=load.tokens_per_s if load else 0,
        )


@handles_call(DrainRequest, change_reply=DrainReply)
def _drain(state: OperatorsState, call_id: rpc.CallId, req: DrainRequest, ctx: Context) -> list[Effect]:
    state.wait(_drain_name(req.upstream), call_id, DrainReply)
    return [Emit(membership.DrainRequested(req.upstream))]


@handles(membership.DrainConfirmed, OperatorsState)
def on_drained(state: OperatorsState, event: membership.DrainConfirmed, ctx: Context) -> list[Effect]:
    """Report that an upstream's agent accepts no new work."""
    return state.answer(_drain_name(event.upstream), lambda reply: reply(accepted=True))


@handles(membership.DrainFailed, OperatorsState)
def on_drain_failed(state: OperatorsState, event: membership.DrainFailed, ctx: Context) -> list[Effect]:
    """Report that an upstream's agent did not confirm in time."""
    return state.answer(_drain_name(event.upstream), lambda reply: _unavailable(reply, (event.reason,)))


def _drain_name(upstream: UpstreamName) -> str:
    return f'drain/{upstream}'
