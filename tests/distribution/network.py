"""A network of nodes under virtual time, whose links lose, delay, duplicate and reorder messages."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from basilcove.const import TICK_INTERVAL_S
from basilcove.core.events import Event, Message, Peer, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import Incarnation, NodeId, Role, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.helpers.codec import decode, encode

SILENCE_S = 2.0
RECONNECT_S = 0.2


@dataclass
class Host:
    """One node: its process, and the links that are up from its point of view."""

    peer: Peer
    node: Node
    started_at: float
    running: bool = True
    links: dict[NodeId, Peer] = field(default_factory=dict)
    linked_at: dict[NodeId, float] = field(default_factory=dict)


class FakeNetwork:
    """Runs the nodes; ``may_link`` tells which pairs of nodes can have links."""

    def __init__(self, seed: int, may_link: Callable[[Peer, Peer], bool]) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.hosts: dict[NodeId, Host] = {}
        self.may_link = may_link
        self.on_tick: Callable[[], None] = lambda: None
        self.loss = 0.0
        self.duplication = 0.0
        self.corruption = 0.0
        self.corrupt: Callable[[Message], Message | None] = lambda message: None
        self.max_delay_s = 0.01
        self.cut: set[frozenset[NodeId]] = set()
        # Sizes in bytes of all messages sent, by kind.
        self.sent: dict[str, list[int]] = {}
        self.history: deque[tuple[NodeId, Received]] = deque(maxlen=200)
        self._incarnations = itertools.count(1)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, NodeId, Incarnation, Event]] = []
        self._pending_links: dict[frozenset[NodeId], float] = {}

    def start(
        self, name: str, zone: str, roles: Iterable[Role], build: Callable[[Peer], Iterable[object]]
    ) -> Host:
        """Start a process under a new incarnation; the former process of the name is killed."""
        self.stop(NodeId(name))
        peer = Peer(NodeId(name), tuple(roles), Incarnation(next(self._incarnations)), Zone(zone))
        self.hosts[peer.node] = Host(peer, Node(*build(peer)), self.now)
        return self.hosts[peer.node]

    def stop(self, name: NodeId) -> None:
        """Kill the process; its peers notice that the connection is closed."""
        host = self.hosts.get(name)
        if host is None or not host.running:
            return
        host.running = False
        for other in self.hosts.values():
            if other.running and name in other.links and frozenset((name, other.peer.node)) not in self.cut:
                self._post(0.05, other, PeerLost(other.links.pop(name)))

    def apply(self, name: str, event: Event) -> None:
        """Apply an event to a node, and send the resulting messages on the links."""
        host = self.hosts[NodeId(name)]
        for effect in reduce(host.node, event, self.now, self.now + 1e9):
            if isinstance(effect, Send):
                self._send(host, effect.node, effect.message)

    def run(self, duration_s: float) -> None:
        """Advance the clock."""
        end = self.now + duration_s
        while self.now < end - 1e-9:
            self.now += TICK_INTERVAL_S
            self._update_links()
            self._deliver()
            for name, host in self.hosts.items():
                if host.running:
                    self.apply(name, Tick())
            self.on_tick()

    def _deliver(self) -> None:
        arrived_at = self.now
        while self._queue and self._queue[0][0] <= arrived_at:
            self.now, _, name, incarnation, event = heapq.heappop(self._queue)
            host = self.hosts[name]
            if host.running and host.peer.incarnation == incarnation:
                self.apply(name, event)
        self.now = arrived_at

    def _send(self, host: Host, target: NodeId, message: Message) -> None:
        other = self.hosts.get(target)
        if other is None or target not in host.links:
            return
        kind, body = encode(message)
        self.sent.setdefault(kind, []).append(len(body))
        is_reachable = other.running and host.links[target] == other.peer
        if not is_reachable or frozenset((host.peer.node, target)) in self.cut:
            return
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(0.001, self.max_delay_s)
                received = Received(host.peer, self._carry(decode(kind, body)))
                self.history.append((target, received))
                self._post(delay, other, received)

    def _carry(self, message: Message) -> Message:
        if self.corruption and self.rng.random() < self.corruption:
            return self.corrupt(message) or message
        return message

    def _post(self, delay_s: float, host: Host, event: Event) -> None:
        item = (self.now + delay_s, next(self._order), host.peer.node, host.peer.incarnation, event)
        heapq.heappush(self._queue, item)

    def _update_links(self) -> None:
        for one, other in itertools.combinations(self.hosts.values(), 2):
            if self.may_link(one.peer, other.peer) or self.may_link(other.peer, one.peer):
                self._update_link(one, other)

    def _update_link(self, one: Host, other: Host) -> None:
        pair = frozenset((one.peer.node, other.peer.node))
        is_wanted = one.running and other.running and pair not in self.cut
        near, far = one.links.get(other.peer.node), other.links.get(one.peer.node)
        # One side may still have a link to a former process of the other.
        is_linked = (near, far) == (other.peer, one.peer)
        is_clear = near is None and far is None
        is_settled = is_linked if is_wanted else is_clear
        if is_settled:
            self._pending_links.pop(pair, None)
            return
        # A broken connection is noticed by a timeout; a new one takes a moment to come up.
        wait_s = RECONNECT_S if is_wanted else SILENCE_S
        due = self._pending_links.setdefault(pair, self.now + wait_s)
        if self.now < due:
            return
        del self._pending_links[pair]
        for host, peer in ((one, other.peer), (other, one.peer)):
            former = host.links.pop(peer.node, None)
            if host.running and former is not None:
                self.apply(host.peer.node, PeerLost(former))
            if is_wanted:
                host.links[peer.node] = peer
                host.linked_at[peer.node] = self.now
        if is_wanted:
            self.apply(one.peer.node, PeerFound(other.peer))
            self.apply(other.peer.node, PeerFound(one.peer))
