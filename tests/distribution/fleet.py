"""A small fleet of nodes that distribute documents, with the documents that came into effect on them."""

from dataclasses import dataclass, field

from basilcove.catalog.events import DocumentAccepted, EvacuationsCommitted
from basilcove.core.events import Effect, Peer
from basilcove.core.ids import EnvironmentName, NodeId, Revision, Role, Stage, Zone
from basilcove.core.reducer import Context, handles
from basilcove.distribution import coordinator, pulling  # noqa: F401
from basilcove.distribution.config import DistributionConfig
from basilcove.distribution.events import (
    DistributionReady,
    EvacuationsChanged,
    ReplicaCaughtUp,
    RevisionConfirmed,
)
from basilcove.distribution.models import DistributionState
from basilcove.environment.canonical import canonical
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.keys import digest_of_secret
from basilcove.environment.models import Environment
from basilcove.zones.models import Evacuation, Evacuations
from tests.distribution.network import FakeNetwork

ELECTION_S = 2.0
ENVIRONMENT = EnvironmentName('shire')


@dataclass
class InEffect:
    """Revisions and documents that came into effect in one process, and when it became ready."""

    documents: list[tuple[Revision, str]] = field(default_factory=list)
    ready: list[tuple[float, Revision]] = field(default_factory=list)
    evacuations: list[tuple[int, frozenset[Zone]]] = field(default_factory=list)


@handles(EnvironmentChanged, InEffect)
def _on_changed(state: InEffect, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    state.documents.append((event.revision, canonical(event.environment)))
    return []


@handles(DistributionReady, InEffect)
def _on_ready(state: InEffect, event: DistributionReady, ctx: Context) -> list[Effect]:
    state.ready.append((ctx.now, event.revision))
    return []


@handles(EvacuationsChanged, InEffect)
def _on_evacuations(state: InEffect, event: EvacuationsChanged, ctx: Context) -> list[Effect]:
    state.evacuations.append((event.version, frozenset(row.zone for row in event.zones)))
    return []


def make_document(revision: int, teams: int = 2) -> str:
    """Return a canonical document that differs in one team from that of any other revision."""
    content = {
        'name': ENVIRONMENT,
        'priorities': {'urgent': {'level': 1, 'target_first_token_s': 0.5}},
        'teams': {
            f'team-{number}': {'key_digests': [digest_of_secret(f'key-{number}')], 'priorities': ['urgent']}
            for number in range(teams)
        },
    }
    changed = f'team-{revision % teams}'
    content['teams'][changed]['max_concurrent'] = 1000 + revision
    return canonical(Environment.model_validate(content))


class Fleet:
    """A control group of three, entries and agents in two availability zones."""

    def __init__(self, seed: int = 0, **settings: object) -> None:
        self.net = FakeNetwork(seed, _may_link)
        self.accepted: dict[int, str] = {}
        # The evacuated zones after each change, and how many changes each control host has on its disk.
        self.evacuations = [Evacuations()]
        self.applied_changes: dict[str, int] = {}
        self.config = DistributionConfig(
            environment=ENVIRONMENT,
            control_nodes=tuple(NodeId(f'control-{number}') for number in (1, 2, 3)),
            **settings,
        )
        # Highest revision on each control host's disk, and the highest that its process has applied.
        self.applied: dict[str, int] = {}
        self.replayed: dict[str, int] = {}
        # The control group has no leader before this time.
        self.leaderless_until = 0.0
        self.net.on_tick = self._confirm
        for name, zone in self.layout().items():
            self.start(name, zone)

    @staticmethod
    def layout() -> dict[str, str]:
        """Return the availability zone of each node."""
        return {
            'control-1': 'nobsa',
            'control-2': 'nobsa',
            'control-3': 'tibasosa',
            'entry-1': 'nobsa',
            'entry-2': 'tibasosa',
            'agent-1': 'nobsa',
            'agent-2': 'tibasosa',
        }

    def start(self, name: str, zone: str, replay_limit: int | None = None) -> None:
        """Start a process without state; a control host replays the documents on its disk.

        With ``replay_limit``, it replays only that many documents, since the commit
        index of the others is not on its disk, and needs a leader to catch up.
        """
        roles = (Role(name.split('-')[0]),)
        self.net.start(name, zone, roles, self._build)
        if Role.CONTROL not in roles:
            return
        durable = self.applied.get(name, 0)
        self.replayed[name] = durable if replay_limit is None else min(replay_limit, durable)
        for revision in range(1, self.replayed[name] + 1):
            self.replay(name, revision)
        self.introduce_zones(name)
        if replay_limit is None:
            self.net.apply(name, ReplicaCaughtUp())

    def change_zone(self, replicas: list[str], zone: Zone) -> None:
        """Evacuate or restore a zone; the given replicas, a majority of the group, apply it."""
        last = self.evacuations[-1]
        row = Evacuation(zone, self.net.now, 'operator')
        changed = last.restore(zone, self.net.now, 'operator') if zone in last.zones else last.evacuate(row)
        self.evacuations.append(changed)
        for name in replicas:
            self.catch_up(name)

    def introduce_zones(self, name: str) -> None:
        """Hand the evacuated zones on its disk to a control host's process."""
        changes = self.applied_changes.get(name, 0)
        if changes:
            self.net.apply(name, EvacuationsCommitted(self.evacuations[changes]))

    def accept(self, replicas: list[str], teams: int = 2) -> int:
        """Accept the next document; the given replicas, a majority of the group, apply it."""
        return self.accept_text(make_document(len(self.accepted) + 1, teams), replicas)

    def accept_text(self, text: str, replicas: list[str]) -> int:
        """Accept a text as the next document, whether it can be read or not."""
        revision = len(self.accepted) + 1
        self.accepted[revision] = text
        for name in replicas:
            self.catch_up(name)
        return revision

    def accept_and_die(self, leader: str, follower: str, teams: int = 2) -> None:
        """Accept the next document at a leader that dies before its follower learns of the commit.

        The follower has the document on its disk.
        """
        self.accept([leader], teams)
        self.applied[follower] = len(self.accepted)
        self.net.stop(NodeId(leader))
        self.leaderless_until = self.net.now + ELECTION_S

    def reaches_majority(self, name: str) -> bool:
        """Tell whether a control host runs and reaches enough others for a leader."""
        reached = [
            other
            for other in self.config.control_nodes
            if self.is_running(other) and frozenset((NodeId(name), other)) not in self.net.cut
        ]
        return self.is_running(name) and len(reached) > len(self.config.control_nodes) // 2

    def _confirm(self) -> None:
        """Confirm the newest accepted revision to the nodes that ask the leader for it."""
        if self.net.now < self.leaderless_until:
            return
        for name, host in self.net.hosts.items():
            state = self.state(name)
            if not host.running or state.ready or state.confirmed_revision is not None:
                continue
            linked = [
                peer.node
                for peer in (host.peer, *host.links.values())
                if peer == self.net.hosts[peer.node].peer and frozenset((name, peer.node)) not in self.net.cut
            ]
            for control in linked:
                if control in self.config.control_nodes and self.reaches_majority(control):
                    # A leader has applied all accepted documents.
                    self.catch_up(control)
                    version = self.evacuations[-1].version
                    self.net.apply(name, RevisionConfirmed(Revision(len(self.accepted)), version))
                    break

    def catch_up(self, name: str) -> None:
        """Let a control replica apply all accepted documents."""
        self.applied[name] = len(self.accepted)
        for revision in range(self.replayed[name] + 1, len(self.accepted) + 1):
            self.replayed[name] = revision
            self.replay(name, revision)
        self.applied_changes[name] = len(self.evacuations) - 1
        self.introduce_zones(name)
        if not self.state(name).caught_up:
            self.net.apply(name, ReplicaCaughtUp())

    def replay(self, name: str, revision: int) -> None:
        """Hand one accepted document to a control host's process."""
        accepted = DocumentAccepted(
            ENVIRONMENT, Stage.PRODUCTION, Revision(revision), self.accepted[revision]
        )
        self.net.apply(name, accepted)

    def state(self, name: str) -> DistributionState:
        """Return a node's state."""
        return self.net.hosts[NodeId(name)].node.part(DistributionState)

    def in_effect(self, name: str) -> list[tuple[Revision, str]]:
        """Return the revisions and documents that came into effect in a node's current process."""
        return self.in_effect_state(name).documents

    def in_effect_state(self, name: str) -> InEffect:
        """Return the record of a node's current process."""
        return self.net.hosts[NodeId(name)].node.part(InEffect)

    def is_running(self, name: str) -> bool:
        """Tell whether the node's process runs."""
        return self.net.hosts[NodeId(name)].running

    def _build(self, peer: Peer) -> tuple[object, ...]:
        state = DistributionState.from_config(self.config, peer.node, peer.zone, peer.roles)
        return state, InEffect()


def _may_link(one: Peer, other: Peer) -> bool:
    if Role.CONTROL in other.roles:
        return True
    return Role.AGENT in one.roles and Role.ENTRY in other.roles
