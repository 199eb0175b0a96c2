"""Agents, entries and a control host over links that may fail; upstreams announce themselves."""

from dataclasses import dataclass, field

from basilcove.core.events import Effect, Message, Peer
from basilcove.core.ids import Incarnation, NodeId, Revision, Role, UpstreamName, Zone
from basilcove.core.reducer import Context, handles
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.keys import digest_of_secret
from basilcove.environment.models import Environment
from basilcove.membership import announcer, coordinator, draining  # noqa: F401
from basilcove.membership.events import (
    AnnouncementAccepted,
    AnnouncementRefused,
    DrainConfirmed,
    LoadReported,
    UpstreamAnnounced,
    UpstreamDeparted,
    UpstreamJoined,
    UpstreamLeaving,
    UpstreamLeavingRequested,
    UpstreamLost,
)
from basilcove.membership.messages import Announce, AnnounceRequest
from basilcove.membership.models import AnnouncerState, MembershipState
from tests.distribution.network import FakeNetwork

UPSTREAMS = ('engine-0', 'engine-1')
AGENTS = ('agent-0', 'agent-1')
ENTRIES = ('entry-0', 'entry-1')
NODES = (*AGENTS, *ENTRIES, 'control-0')


@dataclass
class Witness:
    """Records the events about upstreams that a node's subsystems get."""

    # Upstreams that may get new work, with the agent and its incarnation to which the work is sent.
    open: dict[UpstreamName, tuple[NodeId, Incarnation]] = field(default_factory=dict)
    accepted: list[tuple[UpstreamName, Incarnation]] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    drained: list[UpstreamName] = field(default_factory=list)
    loads: list[float] = field(default_factory=list)


@handles(UpstreamJoined, Witness)
def _on_joined(state: Witness, event: UpstreamJoined, ctx: Context) -> list[Effect]:
    state.open[event.upstream] = (event.agent, event.incarnation)
    return []


@handles(UpstreamLeaving, Witness)
@handles(UpstreamLost, Witness)
def _on_closed(state: Witness, event: UpstreamLeaving | UpstreamLost, ctx: Context) -> list[Effect]:
    state.open.pop(event.upstream, None)
    return []


@handles(AnnouncementAccepted, Witness)
def _on_accepted(state: Witness, event: AnnouncementAccepted, ctx: Context) -> list[Effect]:
    state.accepted.append((event.name, event.incarnation))
    return []


@handles(AnnouncementRefused, Witness)
def _on_refused(state: Witness, event: AnnouncementRefused, ctx: Context) -> list[Effect]:
    state.refused.append(event.reason)
    return []


@handles(DrainConfirmed, Witness)
def _on_drained(state: Witness, event: DrainConfirmed, ctx: Context) -> list[Effect]:
    state.drained.append(event.upstream)
    return []


@handles(LoadReported, Witness)
def _on_load(state: Witness, event: LoadReported, ctx: Context) -> list[Effect]:
    state.loads.append(event.load.queued_work)
    return []


def make_environment(allowed: tuple[str, ...] = UPSTREAMS) -> Environment:
    """Return a document that allows these upstreams; the credential of each is its name and ``-key``."""
    upstreams = {
        name: {
            'kind': 'engine',
            'zone': 'nobsa',
            'credential_digest': digest_of_secret(f'{name}-key'),
            'models': ['slate'],
        }
        for name in allowed
    }
    return Environment.model_validate(
        {
            'name': 'fundacion',
            'priorities': {'urgent': {'level': 1, 'target_first_token_s': 0.5}},
            'teams': {
                'counter': {'key_digests': [digest_of_secret('counter-key')], 'priorities': ['urgent']}
            },
            'groups': {'slate': {'ranks': 2, 'experts': 8, 'layers': 2, 'upstreams': list(allowed)}},
            'models': {'slate': {'group': 'slate'}},
            'upstreams': upstreams,
        }
    )


class World:
    """Two agents, two entries and a control host."""

    def __init__(self) -> None:
        self.net = FakeNetwork(0, _may_link)
        self.environment = make_environment()
        self.revision = Revision(1)
        for name in NODES:
            self.start(name)
        self.net.run(0.5)

    def start(self, name: str, *, has_document: bool = True) -> None:
        """Start a process without state."""
        self.net.start(name, 'nobsa', (Role(name.split('-')[0]),), _build)
        if has_document:
            self.apply_document(name)

    def apply_document(self, name: str) -> None:
        """Put the newest document into effect at one node."""
        self.net.apply(name, EnvironmentChanged(self.revision, self.environment))

    def change(self, allowed: tuple[str, ...]) -> None:
        """Put another document into effect everywhere."""
        self.environment = make_environment(allowed)
        self.revision = Revision(self.revision + 1)
        for name in NODES:
            self.apply_document(name)

    def announce(self, agent: str, name: str, credential: str, incarnation: int) -> bool:
        """Let an upstream announce itself to an agent; return whether the agent accepted it."""
        witness = self.witness(agent)
        before = len(witness.accepted)
        self.net.apply(agent, _announcement(name, credential, incarnation))
        return len(witness.accepted) > before

    def depart(self, agent: str, name: str, credential: str, incarnation: int) -> None:
        """Let a process notify the agent that the upstream leaves."""
        self.net.apply(agent, UpstreamDeparted(_announcement(name, credential, incarnation)))

    def leave(self, agent: str, name: str) -> None:
        """Let the upstream leave, as requested on the agent's own host."""
        self.net.apply(agent, UpstreamLeavingRequested(UpstreamName(name)))

    def leave_unheard(self, agent: str, name: str) -> None:
        """Let the upstream leave while all messages of its agent are lost, although its links are up."""
        loss, self.net.loss = self.net.loss, 1
        self.leave(agent, name)
        self.net.loss = loss

    def lose_announcements(self) -> None:
        """Lose only announcements from now on; refreshes arrive."""
        self.net.corruption, self.net.corrupt = 1, _corrupt_announcement

    def witness(self, name: str) -> Witness:
        """Return the events that a node's process got."""
        return self.net.hosts[NodeId(name)].node.part(Witness)


def _announcement(name: str, credential: str, incarnation: int) -> UpstreamAnnounced:
    url = f'http://127.0.0.1/{name}/{incarnation}'
    return UpstreamAnnounced(UpstreamName(name), url, credential, ('slate',), (), Incarnation(incarnation))


def _corrupt_announcement(message: Message) -> Message | None:
    # Entries and control hosts ignore this message.
    return AnnounceRequest() if isinstance(message, Announce) else None


def _may_link(one: Peer, other: Peer) -> bool:
    if Role.CONTROL in other.roles:
        return True
    return Role.AGENT in one.roles and Role.ENTRY in other.roles


def _build(peer: Peer) -> tuple[object, ...]:
    membership = MembershipState(peer.node, peer.incarnation)
    if Role.AGENT not in peer.roles:
        return membership, Witness()
    return AnnouncerState(peer.node, Zone(peer.zone), peer.incarnation), membership, Witness()
