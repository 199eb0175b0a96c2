"""Gateways, control hosts and one upstream that becomes cold, under virtual clocks and faults of a seed."""

import functools
import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable

from basilcove.core.events import Event, Peer, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import Incarnation, InstanceId, NodeId, Revision, Role, ServiceName, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.models import Environment
from basilcove.gateway import coordinator as _gateway  # noqa: F401
from basilcove.gateway.config import GatewayConfig
from basilcove.gateway.models import GatewayState
from basilcove.gateway.pools import PooledUpstream
from basilcove.registry import coordinator as _registry  # noqa: F401
from basilcove.registry.events import UpstreamRegistered
from basilcove.registry.messages import Registration, RegistrationState
from basilcove.registry.models import RegistryState
from basilcove.throttling import coordinator as _throttling  # noqa: F401
from basilcove.throttling.leases import LeaseBook
from basilcove.throttling.models import ThrottlingState

LIMIT_PER_S = 26
COLD_S = 6.0
# Requests a second that the upstream gets from all gateways while it is warm.
USUAL_PER_S = 13
MOST_IN_A_SECOND = 1.5 * LIMIT_PER_S + 5
UPSTREAM = InstanceId('up-1')
TICK_S = 0.1
CALL_INTERVAL_S = 1.2
# Time after which both ends of a cut link notice.
LINK_TIMEOUT_S = 1.0
MAX_DELAY_S = 0.03

DOCUMENT = {
    'name': 'desk',
    'priorities': {'urgent': {'level': 1, 'target_first_token_s': 1}},
    'teams': {},
    'services': {'desk': {'cold_limit_per_s': LIMIT_PER_S, 'cold_time_s': COLD_S}},
}


class Process:
    """A node with its reducer and a clock that differs from the others in offset and speed."""

    def __init__(self, name: str, rng: random.Random, build: Callable[[NodeId], Node]) -> None:
        self.peer = Peer(NodeId(name), (), Incarnation(1), Zone('a'))
        self.offset_s = rng.uniform(10, 10_000)
        self.speed = 1 + rng.uniform(-5e-4, 5e-4)
        self.build = build
        self.node = build(self.peer.node)

    def now(self, time_s: float) -> float:
        return self.offset_s + time_s * self.speed


def build_gateway(name: NodeId) -> Node:
    return Node(GatewayState.from_config(GatewayConfig(listen='127.0.0.1:0'), Zone('a'), 7))


def build_host(name: NodeId) -> Node:
    return Node(ThrottlingState(book=LeaseBook(name)), RegistryState())


class Fleet:
    """Plays faults for a time and collects when requests arrive while the upstream is cold."""

    def __init__(self, gateways: int, hosts: int, seed: int, step_s: float) -> None:
        self.rng = random.Random(seed)
        self.time_s = 0.0
        self.step_s = step_s
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.gateways = [Process(f'g{number}', self.rng, build_gateway) for number in range(gateways)]
        self.hosts = [Process(f'h{number}', self.rng, build_host) for number in range(hosts)]
        self.by_name = {process.peer.node: process for process in (*self.gateways, *self.hosts)}
        self.linked: set[frozenset[NodeId]] = set()
        self.cut: dict[frozenset[NodeId], list[Callable[[], None]]] = {}
        self.out_of_contact: set[NodeId] = set()
        self.cold_until = 0.0
        self.born_ms = 1
        self.sequence = 0
        self.arrivals: list[float] = []
        self.leased: list[float] = []
        for process in self.by_name.values():
            self._begin(process)
        for process in self.by_name.values():
            self._link_all(process)
        self.announce()

    # Processes and links.

    def apply(self, process: Process, event: Event) -> None:
        now = process.now(self.time_s)
        for effect in reduce(process.node, event, now, now):
            if isinstance(effect, Send):
                self._send(process, effect)

    def _begin(self, process: Process) -> None:
        role = Role.GATEWAY if process in self.gateways else Role.CONTROL
        process.peer = Peer(process.peer.node, (role,), process.peer.incarnation, process.peer.zone)
        process.node = process.build(process.peer.node)
        self.apply(process, EnvironmentChanged(Revision(1), Environment.model_validate(DOCUMENT)))

    def _link_all(self, process: Process) -> None:
        others = self.hosts if process in self.gateways else [*self.gateways, *self.hosts]
        for other in others:
            if other is not process:
                self._link(process, other)

    def restart(self, process: Process) -> None:
        for link in tuple(self.linked):
            if process.peer.node in link:
                self._unlink(link)
        self._begin(process)
        self._link_all(process)

    def _link(self, one: Process, other: Process) -> None:
        link = frozenset((one.peer.node, other.peer.node))
        if link in self.linked or link in self.cut:
            return
        self.linked.add(link)
        self.apply(one, PeerFound(other.peer))
        self.apply(other, PeerFound(one.peer))

    def _unlink(self, link: frozenset[NodeId]) -> None:
        if link not in self.linked:
            return
        self.linked.discard(link)
        one, other = (self.by_name[name] for name in sorted(link))
        self.apply(one, PeerLost(other.peer))
        self.apply(other, PeerLost(one.peer))

    def _send(self, sender: Process, effect: Send) -> None:
        link = frozenset((sender.peer.node, effect.node))
        if link not in self.linked:
            return
        receiver, node = self.by_name[effect.node], self.by_name[effect.node].node

        def deliver() -> None:
            late = self.cut.get(link)
            if late is not None:
                late.append(deliver)
            elif link in self.linked and receiver.node is node:
                self.apply(receiver, Received(sender.peer, effect.message))

        self.later(self.rng.uniform(0, MAX_DELAY_S), deliver)

    def cut_off(self, process: Process, others: list[Process], duration_s: float) -> None:
        """Cut links; what is sent meanwhile arrives late if they heal before the ends notice."""
        for other in others:
            link = frozenset((process.peer.node, other.peer.node))
            if other is process or link in self.cut:
                continue
            self.cut[link] = []
            if duration_s > LINK_TIMEOUT_S:
                self.later(LINK_TIMEOUT_S, functools.partial(self._unlink, link))
            self.later(duration_s, functools.partial(self._heal, link))

    def _heal(self, link: frozenset[NodeId]) -> None:
        late = self.cut.pop(link)
        if link in self.linked:
            for deliver in late:
                deliver()
        else:
            one, other = (self.by_name[name] for name in sorted(link))
            self._link(one, other)

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.time_s + delay_s, next(self.order), action))

    # The upstream.

    def announce(self) -> None:
        """Register with the first host that is tried, as the upstream does at each call."""
        self.sequence += 1
        left_s = max(0.0, self.cold_until - self.time_s)
        registration = Registration(
            UPSTREAM,
            ServiceName('desk'),
            'up-1:80',
            Zone('a'),
            self.born_ms,
            self.sequence,
            RegistrationState.READY,
            4,
            left_s,
        )
        self.apply(self.rng.choice(self.hosts), UpstreamRegistered(registration))

    def chill(self, *, is_restart: bool) -> None:
        if is_restart:
            self.born_ms += 1
            self.sequence = 0
        self.cold_until = self.time_s + COLD_S
        self.announce()

    # The run.

    def run(self, duration_s: float, fault: Callable[[], None] | None = None) -> None:
        end_s = self.time_s + duration_s
        tick_at, call_at, fault_at = self.time_s, self.time_s, self.time_s
        while self.time_s < end_s:
            self.time_s += self.step_s
            while self.queue and self.queue[0][0] <= self.time_s:
                heapq.heappop(self.queue)[2]()
            if self.time_s >= tick_at:
                tick_at += TICK_S
                self._tick()
            if self.time_s >= call_at:
                call_at += CALL_INTERVAL_S
                self.announce()
            if fault is not None and self.time_s >= fault_at:
                fault_at += self.rng.expovariate(3)
                fault()
            for gateway in self.gateways:
                self._request(gateway)

    def _tick(self) -> None:
        voters = frozenset(host.peer.node for host in self.hosts)
        for host in self.hosts:
            book = host.node.part(ThrottlingState).book
            is_in_contact = host.peer.node not in self.out_of_contact
            book.update_voters(voters, host.now(self.time_s), is_in_contact=is_in_contact)
        for process in self.by_name.values():
            self.apply(process, Tick())

    def _request(self, gateway: Process) -> None:
        """Send what a gateway may send to a cold upstream, or its part of the usual load."""
        upstream = self.upstream_of(gateway)
        now = gateway.now(self.time_s)
        if upstream is None or not upstream.is_usable(now):
            return
        is_cold = upstream.throttle.cold.is_cold(now)
        if not is_cold and self.rng.random() > USUAL_PER_S / len(self.gateways) * self.step_s:
            return
        if is_cold:
            self.leased.append(self.time_s)
        upstream.throttle.count_request(now)
        if self.time_s < self.cold_until:
            self.arrivals.append(self.time_s + self.rng.uniform(0, MAX_DELAY_S))

    def upstream_of(self, gateway: Process) -> PooledUpstream | None:
        return gateway.node.part(GatewayState).pools.by_instance.get(UPSTREAM)

    def pick_gateway(self) -> Process:
        """Return a gateway for a fault, often one with a lease."""
        holders = [each for each in self.gateways if self._has_lease(each)]
        return self.rng.choice(holders if holders and self.rng.randrange(3) else self.gateways)

    def _has_lease(self, gateway: Process) -> bool:
        upstream = self.upstream_of(gateway)
        return upstream is not None and bool(upstream.throttle.leased.leases)

    def play_fault(self) -> None:
        """Bring about one fault, or a further cold time."""
        gateway, host = self.pick_gateway(), self.rng.choice(self.hosts)
        duration_s = self.rng.choice((0.3, 0.9, 3, 8)) * self.rng.uniform(0.5, 1)
        some = (gateway, *self.rng.sample(self.gateways, len(self.gateways) // 6))
        faults: tuple[Callable[[], None], ...] = (
            lambda: self.restart(gateway),
            lambda: self.cut_off(host, list(some), duration_s),
            lambda: self.cut_off(gateway, self.hosts, duration_s),
            lambda: self.restart(host),
            lambda: self._lose_leader(host, duration_s),
            lambda: self.chill(is_restart=True),
            lambda: self.chill(is_restart=False),
        )
        self.rng.choice(faults)()

    def _lose_leader(self, host: Process, duration_s: float) -> None:
        self.out_of_contact.add(host.peer.node)
        self.later(duration_s, lambda: self.out_of_contact.discard(host.peer.node))


def most_in_a_second(times: list[float]) -> int:
    """Return the largest number of these times in any second."""
    ordered = sorted(times)
    return max((bisect_left(ordered, at + 1) - index for index, at in enumerate(ordered)), default=0)
