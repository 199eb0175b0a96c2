"""Bytes and messages of a changed document and of announcements, as counts under a virtual clock."""

import zlib
from functools import partial

from basilcove.catalog.events import DocumentAccepted
from basilcove.core.events import Message, Peer
from basilcove.core.ids import (
    Incarnation,
    ModelName,
    NodeId,
    Revision,
    Role,
    Stage,
    UpstreamName,
)
from basilcove.distribution import coordinator, pulling  # noqa: F401
from basilcove.distribution.config import DistributionConfig
from basilcove.distribution.events import ReplicaCaughtUp, RevisionConfirmed
from basilcove.distribution.models import DistributionState
from basilcove.environment.canonical import make_delta
from basilcove.helpers.codec import encode
from basilcove.membership.const import REFRESH_INTERVAL_S
from basilcove.membership.messages import Announce, Load, Refresh, Refreshed
from basilcove.routing.const import MIN_REPORT_INTERVAL_S
from benchmarks.registry import Figure, benchmark
from tests.distribution.fleet import ENVIRONMENT, make_document
from tests.distribution.network import FakeNetwork

# Targets of docs/design.md, sections 1.2 and 1.6.
EVERYWHERE_S = 4.0
CONTROL_BYTES_PER_S = 15_000.0

_TEAMS = (10, 100, 500, 2_000)
_CONTROLS = ('control-1', 'control-2', 'control-3')
# Of the nodes of an availability zone, this many are entries and the others agents.
_ENTRIES = 7
# Before refreshes, the announcement itself was the sign of life.
_FORMER_INTERVAL_S = 0.5
_TICK_S = 0.1


def _may_link(one: Peer, other: Peer) -> bool:
    if Role.CONTROL in other.roles:
        return True
    return Role.AGENT in one.roles and Role.ENTRY in other.roles


def _build(peer: Peer) -> tuple[object, ...]:
    cfg = DistributionConfig(environment=ENVIRONMENT, control_nodes=tuple(map(NodeId, _CONTROLS)))
    return (DistributionState.from_config(cfg, peer.node, peer.zone, peer.roles),)


class _Zone:
    """Three control hosts, and the entries and agents of one availability zone."""

    def __init__(self, nodes: int, teams: int) -> None:
        self.net = FakeNetwork(1, _may_link)
        self.names = [f'entry-{n}' if n < _ENTRIES else f'agent-{n}' for n in range(nodes)]
        self.documents = [make_document(revision, teams) for revision in (1, 2)]
        self.accepted = Revision(0)
        self.net.on_tick = self._confirm
        for name in _CONTROLS:
            self.net.start(name, 'control', (Role.CONTROL,), _build)
            self.net.apply(name, ReplicaCaughtUp())
        self.start()
        self.accept(1)
        self.spread(1)
        self.net.run(EVERYWHERE_S)

    def start(self) -> None:
        """Start all entries and agents at once, without memory."""
        for name in self.names:
            self.net.start(name, 'zone', (Role(name.split('-')[0]),), _build)

    def accept(self, revision: int) -> None:
        """Let the control hosts apply a document."""
        self.accepted = Revision(revision)
        document = self.documents[revision - 1]
        accepted = DocumentAccepted(ENVIRONMENT, Stage.PRODUCTION, self.accepted, document)
        for name in _CONTROLS:
            self.net.apply(name, accepted)

    def spread(self, revision: int) -> float:
        """Run until every node may act on the revision; return the virtual time in seconds."""
        began = self.net.now
        while not all(map(partial(self._is_in_effect, revision), self.names)):
            self.net.run(_TICK_S)
            assert self.net.now - began < 10 * EVERYWHERE_S
        return self.net.now - began

    def sent(self) -> tuple[int, int]:
        """Return messages and bytes sent since the last call."""
        sizes = [size for kind in self.net.sent.values() for size in kind]
        self.net.sent.clear()
        return len(sizes), sum(sizes)

    def _confirm(self) -> None:
        """Answer for the leader the nodes that are linked with a control host and ask for the revision."""
        for name in (*_CONTROLS, *self.names):
            host = self.net.hosts[NodeId(name)]
            state = host.node.part(DistributionState)
            is_linked = state.is_control or any(Role.CONTROL in peer.roles for peer in host.links.values())
            if is_linked and not state.ready and state.confirmed_revision is None:
                self.net.apply(name, RevisionConfirmed(self.accepted))

    def _is_in_effect(self, revision: int, name: str) -> bool:
        return self.net.hosts[NodeId(name)].node.part(DistributionState).revision_in_effect >= revision


def _packed(document: str) -> int:
    return len(zlib.compress(document.encode()))


@benchmark('distribution-document')
def document_sizes(short: bool) -> list[Figure]:
    """Bytes of the change of one team, against a compressed whole copy."""
    figures = []
    for teams in _TEAMS:
        base, target = make_document(1, teams), make_document(2, teams)
        delta = make_delta(base, target)
        assert delta is not None
        figures.append(Figure(f'delta, {teams} teams', 'bytes', len(delta), _packed(target)))
    return figures


@benchmark('distribution-spread')
def spread(short: bool) -> list[Figure]:
    """A change in an availability zone of 1 to 256 nodes, against a whole copy to each node."""
    figures = []
    teams = 100 if short else 2_000
    for nodes in (1, 2, 4, 16, 64) if short else (1, 2, 4, 8, 16, 32, 64, 128, 256):
        zone = _Zone(nodes, teams)
        zone.sent()
        zone.accept(2)
        taken_s = zone.spread(2)
        messages, size = zone.sent()
        whole = _packed(zone.documents[1])
        figures += [
            Figure(f'time until everywhere, {nodes} nodes', 's', taken_s, at_most=EVERYWHERE_S),
            Figure(f'messages per node, {nodes} nodes', 'count', messages / nodes, 1),
            Figure(f'bytes per node, {nodes} nodes', 'bytes', size / nodes, whole),
        ]
    return figures


@benchmark('distribution-return')
def zone_return(short: bool) -> list[Figure]:
    """All nodes of an availability zone return at once without memory, against one whole copy each."""
    nodes, teams = (16, 100) if short else (128, 2_000)
    zone = _Zone(nodes, teams)
    zone.sent()
    zone.start()
    taken_s = zone.spread(1)
    size = zone.sent()[1]
    whole = _packed(zone.documents[0])
    return [
        Figure(f'time until everywhere, {nodes} nodes', 's', taken_s, at_most=EVERYWHERE_S),
        Figure(f'catch-up bytes per node, {nodes} nodes', 'bytes', size / nodes, whole),
    ]


def _size(message: Message) -> int:
    return len(encode(message)[1])


@benchmark('membership-announcements')
def announcements(short: bool) -> list[Figure]:
    """Bytes of an upstream's sign of life, idle and with all load reports that are due, by links.

    The baseline is an announcement with the load twice a second.
    """
    parts = (
        UpstreamName('rider-12'),
        Incarnation(1_700_000_000_000_000),
        Incarnation(1_700_000_000_000_000),
        100_000,
        (ModelName('rider-assistant'),),
        (),
        16,
        False,
        bytes(32),
    )
    load = Load(20_000.5, 16, 1_200.5)
    whole = _size(Announce(*parts, load))
    idle, busy = (
        _size(Refresh(100_000, (Refreshed(UpstreamName('rider-12'), 100_000, reported),)))
        for reported in (None, load)
    )
    rates = (busy / MIN_REPORT_INTERVAL_S, whole / _FORMER_INTERVAL_S)
    idle_rates = (idle / REFRESH_INTERVAL_S, whole / _FORMER_INTERVAL_S)
    links = _ENTRIES + len(_CONTROLS)
    return [
        Figure('announcement with load report', 'bytes', whole),
        Figure('refresh', 'bytes', idle, whole),
        Figure('refresh with load report', 'bytes', busy, whole),
        Figure('bytes per idle upstream and link', 'bytes/s', *idle_rates),
        Figure('bytes per busy upstream and link', 'bytes/s', *rates),
        Figure(
            f'an agent on {links} links',
            'bytes/s',
            *(rate * links for rate in rates),
            at_most=CONTROL_BYTES_PER_S,
        ),
        Figure(
            'an entry that hears 15 upstreams',
            'bytes/s',
            *(rate * 15 for rate in rates),
            at_most=CONTROL_BYTES_PER_S,
        ),
        Figure('an entry that hears 1,800 upstreams', 'bytes/s', *(rate * 1_800 for rate in rates)),
    ]
