"""Client of the catalog; runs on every node and resends until a deadline."""

from dataclasses import dataclass, field

from basilcove.catalog.const import (
    COMMAND_LIFETIME_S,
    MAX_PENDING_OPERATIONS,
    RESEND_INTERVAL_S,
    RETRY_INTERVAL_S,
)
from basilcove.catalog.control import ControlState
from basilcove.catalog.delivery import deliver
from basilcove.catalog.events import (
    ProposalFailed,
    Propose,
    Proposed,
    Query,
    QueryAnswered,
    QueryFailed,
)
from basilcove.catalog.messages import Answer, Ask
from basilcove.core.events import Effect, Emit, Event, Message, PeerFound, PeerLost, Received, Tick
from basilcove.core.ids import NodeId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.helpers.codec import CodecError, decode, encode
from basilcove.helpers.hashing import stable_hash


@dataclass(slots=True)
class PendingOperation:
    """A proposal or query in flight; ``unresolved`` are the attempts that may still be carried out."""

    kind: str
    body: bytes
    is_read: bool
    deadline: float
    expires: float
    attempt: int = 0
    send_at: float = 0
    unresolved: set[int] = field(default_factory=set)
    reason: str = 'no control host is reachable'


@dataclass(slots=True)
class ClientState:
    """Proposals and queries of this node, and the control hosts that it has links to."""

    node: NodeId
    hosts: dict[NodeId, None] = field(default_factory=dict)
    leader: NodeId | None = None
    pending: dict[str, PendingOperation] = field(default_factory=dict)


@handles(PeerFound, ClientState)
def _on_peer_found(state: ClientState, event: PeerFound, ctx: Context) -> list[Effect]:
    if Role.CONTROL not in event.peer.roles:
        return []
    state.hosts[event.peer.node] = None
    return _send_due(state, ctx)


@handles(PeerLost, ClientState)
def _on_peer_lost(state: ClientState, event: PeerLost, ctx: Context) -> list[Effect]:
    state.hosts.pop(event.peer.node, None)
    if state.leader == event.peer.node:
        state.leader = None
    return []


@handles(Propose, ClientState)
def _on_propose(state: ClientState, event: Propose, ctx: Context) -> list[Effect]:
    if event.proposal_id in state.pending:
        return []
    if len(state.pending) >= MAX_PENDING_OPERATIONS:
        return [Emit(ProposalFailed(event.proposal_id, 'too many proposals are under way', sent=False))]
    return _start_operation(state, event.proposal_id, event.command, event.deadline, ctx)


@handles(Query, ClientState)
def _on_query(state: ClientState, event: Query, ctx: Context) -> list[Effect]:
    if event.query_id in state.pending:
        return []
    if len(state.pending) >= MAX_PENDING_OPERATIONS:
        return [Emit(QueryFailed(event.query_id, 'too many queries are under way'))]
    return _start_operation(state, event.query_id, event.read, event.deadline, ctx, is_read=True)


def _start_operation(
    state: ClientState,
    operation_id: str,
    content: Message,
    deadline: float,
    ctx: Context,
    is_read: bool = False,
) -> list[Effect]:
    # The replicated state refuses a command past its lifetime, so resending it for longer is useless.
    deadline = min(deadline, ctx.now + COMMAND_LIFETIME_S)
    pending = PendingOperation(*encode(content), is_read, deadline, ctx.wall_time + COMMAND_LIFETIME_S)
    state.pending[operation_id] = pending
    return _send(state, operation_id, pending, ctx)


def _send(state: ClientState, operation_id: str, pending: PendingOperation, ctx: Context) -> list[Effect]:
    target = _choose_host(state, operation_id, pending.attempt, ctx)
    if target is None:
        pending.send_at = ctx.now + RETRY_INTERVAL_S
        return []
    pending.attempt += 1
    pending.unresolved.add(pending.attempt)
    pending.send_at = ctx.now + RESEND_INTERVAL_S
    pending.reason = 'no answer'
    ask = Ask(
        operation_id,
        state.node,
        pending.attempt,
        pending.is_read,
        pending.expires,
        pending.kind,
        pending.body,
    )
    return [deliver(state.node, target, ask)]


def _choose_host(state: ClientState, operation_id: str, attempt: int, ctx: Context) -> NodeId | None:
    hosts = list(state.hosts)
    if ctx.node.has(ControlState):
        hosts.append(state.node)
    if not hosts:
        return None
    # Every other attempt ignores the leader's name, which may be out of date.
    if state.leader in hosts and attempt % 2 == 0:
        return state.leader
    return hosts[(stable_hash(operation_id) + attempt) % len(hosts)]


@handles(Tick, ClientState)
def _on_tick(state: ClientState, event: Tick, ctx: Context) -> list[Effect]:
    return _send_due(state, ctx)


def _send_due(state: ClientState, ctx: Context) -> list[Effect]:
    effects: list[Effect] = []
    for operation_id, pending in tuple(state.pending.items()):
        if ctx.now >= pending.deadline:
            state.pending.pop(operation_id)
            effects.append(Emit(_build_failure(operation_id, pending)))
        elif ctx.now >= pending.send_at or not pending.attempt:
            effects.extend(_send(state, operation_id, pending, ctx))
    return effects


def _build_failure(operation_id: str, pending: PendingOperation) -> Event:
    if pending.is_read:
        return QueryFailed(operation_id, pending.reason)
    return ProposalFailed(operation_id, pending.reason, sent=bool(pending.unresolved))


@handles_message(Answer, ClientState)
def _on_answer(state: ClientState, event: Received, ctx: Context) -> list[Effect]:
    answer = event.message
    if not isinstance(answer, Answer) or answer.origin != state.node:
        return []
    pending = state.pending.get(answer.proposal_id)
    if pending is None or Role.CONTROL not in event.peer.roles:
        return []
    if not answer.kind:
        return _on_refusal(state, pending, answer, ctx)
    try:
        result = decode(answer.kind, answer.body)
    except CodecError:
        return []
    state.pending.pop(answer.proposal_id)
    if pending.is_read:
        return [Emit(QueryAnswered(answer.proposal_id, result))]
    return [Emit(Proposed(answer.proposal_id, result))]


def _on_refusal(state: ClientState, pending: PendingOperation, answer: Answer, ctx: Context) -> list[Effect]:
    pending.unresolved.discard(answer.attempt)
    pending.reason = answer.reason
    state.leader = answer.leader or None
    pending.send_at = min(pending.send_at, ctx.now + RETRY_INTERVAL_S)
    return []
