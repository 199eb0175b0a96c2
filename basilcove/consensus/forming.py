"""First start of a cluster, and joining with an empty disk under a new identity.

A host with an empty disk asks all first members for their forming stage. Only
if none of them belongs to a formed cluster does it adopt the identity of a
first member, durably (``PREPARED``); it forms the cluster once all others are
prepared or formed. A member that voted has therefore seen all others prepared,
and if it later loses its disk, one of the members that voted with it answers
``FORMED``.
"""

from basilcove.consensus.const import FORMING_INTERVAL_S, JOIN_AFTER_S, JOIN_INTERVAL_S
from basilcove.consensus.durability import is_hard_state_durable, persist, send_when_durable
from basilcove.consensus.membership import admit_identity
from basilcove.consensus.messages import Identify, Identity, Join
from basilcove.consensus.models import (
    ConsensusState,
    FormingStage,
    Member,
    Members,
    MemberState,
    make_cluster_id,
    make_identity,
    node_of,
)
from basilcove.core.events import Effect, Log, PeerFound, PeerLost, Received, Send
from basilcove.core.ids import NodeId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.storage.models import EntryKind, LogEntry


@handles(PeerFound, ConsensusState)
def _on_peer_found(state: ConsensusState, event: PeerFound, ctx: Context) -> list[Effect]:
    if Role.CONTROL in event.peer.roles:
        state.peers[event.peer.node] = None
    return []


@handles(PeerLost, ConsensusState)
def _on_peer_lost(state: ConsensusState, event: PeerLost, ctx: Context) -> list[Effect]:
    state.peers.pop(event.peer.node, None)
    return []


def ask_first_members(state: ConsensusState, now: float) -> list[Effect]:
    """Ask the other first members and all linked hosts for their forming stage, periodically."""
    if now - state.forming.asked_at < FORMING_INTERVAL_S:
        return []
    state.forming.asked_at = now
    return [
        Send(node, Identify(state.incarnation))
        for node in sorted({*state.peers, *_other_first_members(state)})
    ]


def ask_to_join(state: ConsensusState, now: float) -> list[Effect]:
    """Ask to become a learner while no leader sends any message.

    The local log can't show whether this is needed: it may hold an entry that
    admits this identity and was never committed.
    """
    if now - state.leader_contact_at < JOIN_AFTER_S or now - state.forming.asked_at < JOIN_INTERVAL_S:
        return []
    state.forming.asked_at = now
    effects: list[Effect] = []
    for node in sorted({*state.peers, *_other_first_members(state)}):
        effects.extend(send_when_durable(state, node, Join(state.cluster, state.member)))
    return effects


def _other_first_members(state: ConsensusState) -> list[NodeId]:
    return [node for node in state.bootstrap if node != state.node]


def _get_stage(state: ConsensusState) -> FormingStage:
    if state.cluster:
        return FormingStage.FORMED
    if state.member and is_hard_state_durable(state):
        return FormingStage.PREPARED
    return FormingStage.EMPTY


@handles_message(Identify, ConsensusState)
def _on_identify(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, Identify):
        return []
    return [Send(event.peer.node, Identity(msg.incarnation, state.cluster, _get_stage(state).value))]


@handles_message(Identity, ConsensusState)
def _on_identity(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if state.member_state is not MemberState.UNFORMED or not isinstance(msg, Identity):
        return []
    if msg.asked_incarnation != state.incarnation:
        return []
    stage = FormingStage(msg.stage)
    state.forming.answers[event.peer.node] = stage
    if stage is FormingStage.FORMED and not state.member:
        return _adopt_new_identity(state, msg.cluster)
    if state.node not in state.bootstrap or not state.forming.answers.keys() >= set(
        _other_first_members(state)
    ):
        return []
    if not state.member:
        state.member = make_identity(state.node, 0)
        return [persist(state, (), with_hard_state=True)]
    return form_if_ready(state)


def _adopt_new_identity(state: ConsensusState, cluster: str) -> list[Effect]:
    state.cluster = cluster
    state.member = make_identity(state.node, state.incarnation)
    state.member_state = MemberState.FOLLOWER
    log = Log('info', 'joining the cluster with an empty disk', (('member', state.member),))
    return [log, persist(state, (), with_hard_state=True)]


def form_if_ready(state: ConsensusState) -> list[Effect]:
    """Form the cluster once all first members are prepared; each writes the same first entry."""
    stages = [state.forming.answers.get(node, FormingStage.EMPTY) for node in _other_first_members(state)]
    if _get_stage(state) is not FormingStage.PREPARED or FormingStage.EMPTY in stages:
        return []
    state.cluster = make_cluster_id(state.bootstrap)
    state.member_state = MemberState.FOLLOWER
    members = Members(
        tuple(Member(node, make_identity(node, 0), voter=True) for node in sorted(state.bootstrap))
    )
    entry = LogEntry(1, 0, 0, EntryKind.MEMBERS, members.encode())
    state.log.extend((entry,))
    state.track_entry(entry)
    return [persist(state, (entry,), with_hard_state=True)]


@handles_message(Join, ConsensusState)
def _on_join(state: ConsensusState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    if not isinstance(msg, Join) or msg.cluster != state.cluster or node_of(msg.member) != event.peer.node:
        return []
    return admit_identity(state, event.peer.node, msg.member, ctx)
