"""Real reducers of control hosts on a fake network and fake disks under a virtual clock."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from functools import partial

from basilcove.catalog import coordinator as _catalog  # noqa: F401
from basilcove.catalog.client import ClientState
from basilcove.catalog.commands import Claim
from basilcove.catalog.control import ControlState
from basilcove.catalog.events import Propose, Proposed, Query
from basilcove.consensus import coordinator as _consensus  # noqa: F401
from basilcove.consensus.const import FAULT_TOLERANCE
from basilcove.consensus.events import EntriesCommitted
from basilcove.consensus.models import ConsensusState, MemberState
from basilcove.const import TICK_INTERVAL_S
from basilcove.core.events import (
    Effect,
    Event,
    Log,
    Message,
    Peer,
    PeerFound,
    PeerLost,
    Received,
    Send,
    StopRequested,
    Tick,
)
from basilcove.core.ids import AttemptId, Incarnation, NodeId, Role, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.helpers.codec import decode, encode
from basilcove.requests.events import StopCompleted
from basilcove.storage.events import Persist, Persisted, PersistSnapshot, StorageFailed, StorageRecovered
from basilcove.storage.models import LogEntry, Recovered
from tests.consensus.hosts import EventRecorder, Host
from tests.consensus.promises import DurabilityChecks
from tests.storage.fake_disk import FakeDisk

WALL_OFFSET = 1_000_000.0
CLIENT = NodeId('entry-1')


class Cluster:
    """Control hosts and one client node; every random choice comes from ``seed``."""

    def __init__(
        self,
        size: int = 3,
        seed: int = 0,
        snapshot_after: int = 4096,
        kept: int = 512,
        admits_unknown: bool = False,
        fault_tolerance: int = FAULT_TOLERANCE,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.snapshot_after, self.kept = snapshot_after, kept
        self.admits_unknown = admits_unknown
        self.fault_tolerance = fault_tolerance
        self.loss = 0.0
        self.duplication = 0.0
        self.delay = (0.001, 0.003)
        self.sync_time = 0.002
        self.cut: set[frozenset[NodeId]] = set()
        self.cut_one_way: set[tuple[NodeId, NodeId]] = set()
        self.bytes_sent: dict[tuple[NodeId, str], int] = defaultdict(int)
        self.logs: list[tuple[NodeId, Log]] = []
        self.committed: dict[int, LogEntry] = {}
        self.leaders: dict[int, str] = {}
        self.results: dict[str, list[Event]] = defaultdict(list)
        self.stopped: set[NodeId] = set()
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.bootstrap = tuple(NodeId(f'host-{number}') for number in range(1, size + 1))
        self.hosts: dict[NodeId, Host] = {}
        self.disks: dict[NodeId, FakeDisk] = {name: FakeDisk() for name in self.bootstrap}
        self.durability_checks = DurabilityChecks(self.disks)
        client = Node(ClientState(CLIENT), EventRecorder(self._on_client_event))
        self.client = Host(CLIENT, Incarnation(0), client, FakeDisk())
        for name in self.bootstrap:
            self.start(name)
            self.apply(self.client, PeerFound(self._peer(name)))
        self._schedule(TICK_INTERVAL_S, lambda: self._tick_client())

    # Processes

    def start(self, name: NodeId) -> Host:
        """Start a process with the recovered data of its disk."""
        recovered: Recovered = self.disks[name].recover()
        incarnation = Incarnation(next(self._incarnations))
        # A host added later has no first members in its settings.
        first = self.bootstrap if name in self.bootstrap else ()
        consensus = ConsensusState.from_recovered(name, incarnation, first, recovered)
        consensus.snapshot_after, consensus.kept_entries = self.snapshot_after, self.kept
        consensus.admits_unknown = self.admits_unknown
        consensus.fault_tolerance = self.fault_tolerance
        node = Node(consensus, ControlState.from_recovered(name, recovered), *self.parts(name))
        host = Host(name, incarnation, node, self.disks[name])
        node.add(EventRecorder(lambda event: self._on_host_event(host, event)))
        self.hosts[name] = host
        for other in tuple(self.hosts.values()):
            self.apply(other, PeerFound(self._peer(name)))
            self.apply(host, PeerFound(self._peer(other.name)))
        phase = TICK_INTERVAL_S * self.rng.random()
        self._schedule(phase, lambda: self._tick(host))
        return host

    def parts(self, name: NodeId) -> tuple[object, ...]:
        """Return the states that a control host has besides its replica."""
        return ()

    def add_host(self, name: NodeId) -> None:
        """Start a host that is not a first member."""
        self.disks[name] = FakeDisk()
        self.start(name)
        self.apply(self.client, PeerFound(self._peer(name)))

    def kill(self, name: NodeId, torn: bool = False) -> None:
        """End a process; unsynced writes are lost, or torn in the middle."""
        self.hosts.pop(name, None)
        self.disks[name].crash(torn)

    def stop(self, name: NodeId) -> None:
        """Ask a process to stop; ``stopped`` holds its name once it may end."""
        self.stopped.discard(name)
        self.apply(self.hosts[name], StopRequested())

    def free_disk(self, name: NodeId) -> None:
        """Free space on a full disk: the waiting writes are carried out, then new ones."""
        host, disk = self.hosts[name], self.disks[name]
        disk.is_full = False
        waiting, disk.waiting = disk.waiting, []
        if waiting:
            self.apply(host, StorageRecovered())
        for effect in waiting:
            self._carry_out(host, effect)
        last = disk.last_ticket
        if last is not None:
            self._schedule(self.sync_time, lambda: self._sync(host, disk, last))

    def lose_disk(self, name: NodeId) -> None:
        """End a process and lose its disk."""
        self.hosts.pop(name, None)
        self.disks[name] = FakeDisk()

    def thaw(self, name: NodeId) -> None:
        """Resume a frozen process; it handles the events that queued meanwhile."""
        host = self.hosts[name]
        host.is_frozen = False
        pending, host.inbox = host.inbox, []
        for event in pending:
            self.apply(host, event)

    # Time

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def run_until(
        self, condition: Callable[[], object], limit: float = 30.0, step: float = TICK_INTERVAL_S
    ) -> None:
        """Let virtual time pass until a condition holds; AssertionError at the limit."""
        end = self.now + limit
        while not condition():
            assert self.now < end, f'not reached within {limit} s'
            self.run(step)

    def leader(self) -> Host | None:
        """Return the host that regards itself as leader in the highest term."""
        leaders = [host for host in self.hosts.values() if host.is_leader and not host.is_frozen]
        return max(leaders, key=lambda host: host.consensus.term, default=None)

    def elect(self) -> Host:
        """Run until there is a leader that committed an entry of its term."""
        self.run_until(lambda: _is_ready(self.leader()))
        leader = self.leader()
        assert leader is not None
        return leader

    def partition(self, *names: NodeId) -> None:
        """Partition these nodes from all others; without names, heal the network."""
        others = [name for name in (*self.disks, CLIENT) if name not in names]
        self.cut = {frozenset((name, other)) for name in names for other in others}
        self.cut_one_way.clear()
        for name in self.disks:
            event = PeerLost if frozenset((name, CLIENT)) in self.cut else PeerFound
            self.apply(self.client, event(self._peer(name)))

    # Proposals and queries of the client

    def propose(self, name: str, command: Message, timeout_s: float = 8.0) -> None:
        self.apply(self.client, Propose(name, command, self.now + timeout_s))

    def query(self, name: str, read: Message, timeout_s: float = 8.0) -> None:
        self.apply(self.client, Query(name, read, self.now + timeout_s))

    def ask(self, name: str, command: Message) -> Message:
        """Propose, wait and return the result; AssertionError if there is none."""
        self.propose(name, command, 25)
        self.run_until(lambda: self.results[name])
        answer = self.results[name][0]
        assert isinstance(answer, Proposed), answer
        return answer.result

    # The reducer's environment

    def apply(self, host: Host, event: Event) -> None:
        """Feed an event to a process and carry out the effects."""
        if host is not self.client and self.hosts.get(host.name) is not host:
            return
        if host.is_frozen:
            host.inbox.append(event)
            return
        for effect in reduce(host.node, event, self.now, WALL_OFFSET + self.now):
            self._carry_out(host, effect)

    def _carry_out(self, host: Host, effect: Effect) -> None:
        if isinstance(effect, Send):
            self._send(host, effect.node, effect.message)
        elif isinstance(effect, Persist | PersistSnapshot):
            disk = host.disk
            if disk.is_full:
                disk.waiting.append(effect)
                if len(disk.waiting) == 1:
                    self.apply(host, StorageFailed('no space left'))
                return
            disk.write(effect)
            # Syncs end in order, even if the duration of a sync has changed since.
            sync_time = self.sync_time if disk.sync_time is None else disk.sync_time
            disk.synced_at = max(disk.synced_at, self.now + sync_time)
            self._schedule(disk.synced_at - self.now, lambda: self._sync(host, disk, effect.ticket))
        elif isinstance(effect, StopCompleted):
            self.stopped.add(host.name)
        elif isinstance(effect, Log):
            self.logs.append((host.name, effect))

    def _sync(self, host: Host, disk: FakeDisk, ticket: int) -> None:
        if self.hosts.get(host.name) is host and disk.sync(ticket):
            self.apply(host, Persisted(ticket))

    def _send(self, host: Host, target: NodeId, message: Message) -> None:
        self.durability_checks.check_sent(host.name, target, message)
        kind, body = encode(message)
        self.bytes_sent[host.name, kind] += len(body)
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            deliver = partial(self._deliver, self._peer(host.name, host.incarnation), target, kind, body)
            self._schedule(self.rng.uniform(*self.delay), deliver)

    def _deliver(self, peer: Peer, target: NodeId, kind: str, body: bytes) -> None:
        host = self.client if target == CLIENT else self.hosts.get(target)
        is_cut = frozenset((peer.node, target)) in self.cut or (peer.node, target) in self.cut_one_way
        if host is not None and not is_cut:
            self.apply(host, Received(peer, decode(kind, body)))

    def _peer(self, name: NodeId, incarnation: Incarnation | None = None) -> Peer:
        role = Role.ENTRY if name == CLIENT else Role.CONTROL
        if incarnation is None:
            host = self.client if name == CLIENT else self.hosts.get(name)
            incarnation = host.incarnation if host is not None else Incarnation(0)
        return Peer(name, (role,), incarnation, Zone('zone'))

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._order), action))

    def _tick(self, host: Host) -> None:
        if self.hosts.get(host.name) is not host:
            return
        if not host.is_frozen:
            self.apply(host, Tick())
            self._check_leaders(host)
            if host.is_leader:
                self.durability_checks.check_voters(host.consensus)
                self.durability_checks.check_changes(host.consensus)
        self._schedule(TICK_INTERVAL_S, lambda: self._tick(host))

    def _tick_client(self) -> None:
        self.apply(self.client, Tick())
        self._schedule(TICK_INTERVAL_S, self._tick_client)

    # Invariants that are checked continuously

    def _check_leaders(self, host: Host) -> None:
        if host.consensus.member_state is MemberState.LEADER:
            first = self.leaders.setdefault(host.consensus.term, host.consensus.member)
            assert first == host.consensus.member, f'two leaders in term {host.consensus.term}'
            self.durability_checks.check_leader(host.consensus)

    def _on_host_event(self, host: Host, event: Event) -> None:
        self._check_leaders(host)
        if not isinstance(event, EntriesCommitted):
            return
        for entry in event.entries:
            if host.is_leader and entry.index not in self.committed:
                self.durability_checks.check_commit(host.consensus, entry.index)
            first = self.committed.setdefault(entry.index, entry)
            assert first == entry, f'{host.name} applies another entry {entry.index}'

    def _on_client_event(self, event: Event) -> None:
        name = getattr(event, 'proposal_id', '') or getattr(event, 'query_id', '')
        self.results[name].append(event)


def _is_ready(host: Host | None) -> bool:
    return host is not None and host.consensus.commit >= host.consensus.leader_state.first_index


def claim(number: int) -> Claim:
    return Claim(f'key-{number}', 'print', CLIENT, AttemptId(f'attempt-{number}'))
