"""Gateways, a control host and groups in lock-step under a virtual clock."""

import heapq
import itertools
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from basilcove.concurrency.models import ConcurrencyState
from basilcove.core.events import Effect, Event, Peer, PeerFound, Received, Send, Tick
from basilcove.core.ids import GroupName, Incarnation, NodeId, Rank, Role, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.gateway.events import (
    AnswerBegun,
    AttemptEnded,
    AttemptResult,
    Refuse,
    RequestArrived,
    RequestHead,
    StartAttempt,
    StreamPaused,
)
from basilcove.gateway.totals import AttemptTotals
from basilcove.registry import coordinator as _registry  # noqa: F401
from basilcove.registry.models import RegistryState
from basilcove.wiring import concurrency as _concurrency  # noqa: F401
from tests.gateway.world import CONTROL, HOST, KEY, World, document, registration

LINK_S = 0.01
TICK_S = 0.1
TARGET_S = 0.15

# Length of a pass in seconds at a mean number of streams a rank and a time.
Law = Callable[[float, float], float]


@dataclass
class Stream:
    """A stream at an upstream; ``events`` are still to come."""

    gateway: int
    start: StartAttempt
    events: int
    path: str
    last_event_at: float | None = None
    worst_s: float = 0
    has_paused: bool = False


@dataclass
class Group:
    """Ranks that end their passes together; streams beyond the slots of a rank wait."""

    name: str
    ranks: int
    slots: int
    law: Law
    running: dict[str, list[Stream]] = field(default_factory=lambda: defaultdict(list))
    waiting: dict[str, deque[Stream]] = field(default_factory=lambda: defaultdict(deque))

    def fill(self) -> float:
        """Start what waits; return the streams a rank."""
        for instance, queue in self.waiting.items():
            while queue and len(self.running[instance]) < self.slots:
                self.running[instance].append(queue.popleft())
        return sum(map(len, self.running.values())) / self.ranks


@dataclass(frozen=True)
class Outcome:
    """How a request ended; ``worst_s`` is its longest pause, None if it was refused."""

    path: str
    arrived_at: float
    ended_at: float
    worst_s: float | None


class Replay:
    """Requests arrive at random gateways and choose among the ranks of all groups."""

    def __init__(self, groups: list[Group], gateways: int, rate: Callable[[float], float], **options: Any):
        self.rng = random.Random(options.pop('seed', 7))
        self.target_s = options.pop('target_s', TARGET_S)
        self.link_s = options.pop('link_s', LINK_S)
        self.events = options.pop('events', 19)
        self.urgent_share = options.pop('urgent_share', 0.7)
        self.groups = {group.name: group for group in groups}
        self.rate = rate
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.keys = itertools.count(1)
        self.arrivals: dict[int, tuple[str, float]] = {}
        self.outcomes: list[Outcome] = []
        self.loads: list[tuple[float, float, float | None]] = []
        self.concurrency = ConcurrencyState()
        self.registry = RegistryState()
        self.control = Node(self.registry, AttemptTotals(), self.concurrency)
        self.peers = [
            Peer(NodeId(f'g{index}'), (Role.GATEWAY,), Incarnation(1), Zone('a')) for index in range(gateways)
        ]
        self.worlds = [World() for _ in self.peers]
        self._set_up(groups)

    def _set_up(self, groups: list[Group]) -> None:
        content = document()
        for route in ('brief', 'summary'):
            content['routes'][route]['target_pause_s'] = self.target_s
        ranks = []
        for group in groups:
            for rank in range(group.ranks):
                name = f'{group.name}-{rank}'
                details = {'group': GroupName(group.name), 'rank': Rank(rank), 'group_size': group.ranks}
                ranks.append(registration(name, slots=group.slots, **details))
            self.at(self.rng.random() * 0.1, partial(self._begin_pass, group))
        for each in ranks:
            self.registry.merge(each, math.inf)
        for index, (peer, world) in enumerate(zip(self.peers, self.worlds, strict=True)):
            world.apply_document(content, 2)
            world.register(*ranks)
            world.state.pools.gateways = len(self.worlds)
            reduce(self.control, PeerFound(peer), 0, 0)
            self.at(self.rng.random() * TICK_S, partial(self._tick_gateway, index))
        self.at(0.05, self._tick_control)
        self.at(0, self._arrive)

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call a function at a time."""
        heapq.heappush(self.queue, (time, next(self.order), call))

    def run(self, until: float) -> None:
        """Run until a time in seconds."""
        while self.queue and self.queue[0][0] < until:
            self.now, _, call = heapq.heappop(self.queue)
            call()

    def apply(self, index: int, event: Event) -> None:
        """Apply an event at a gateway and carry out its effects."""
        world = self.worlds[index]
        world.now = self.now
        for effect in world.apply(event):
            self._carry_out(index, effect)

    def _carry_out(self, index: int, effect: Effect) -> None:
        if isinstance(effect, Send):
            received = Received(self.peers[index], effect.message)
            self.at(self.now + self.link_s, lambda: self._apply_control(received))
        elif isinstance(effect, StartAttempt):
            path, _ = self.arrivals[effect.key]
            group = self.groups[effect.instance.rpartition('-')[0]]
            events = max(2, round(self.rng.gauss(self.events, self.events / 5)))
            group.waiting[effect.instance].append(Stream(index, effect, events, path))
        elif isinstance(effect, Refuse):
            self._end(effect.key, None)

    def _apply_control(self, event: Event) -> None:
        for effect in reduce(self.control, event, self.now, self.now):
            if isinstance(effect, Send) and effect.node.startswith('g'):
                index = int(effect.node[1:])
                received = Received(CONTROL, effect.message)
                self.at(self.now + self.link_s, partial(self.apply, index, received))

    def _tick_gateway(self, index: int) -> None:
        self.apply(index, Tick())
        self.at(self.now + TICK_S, lambda: self._tick_gateway(index))

    def _tick_control(self) -> None:
        self._apply_control(Tick())
        self.at(self.now + TICK_S, self._tick_control)

    def _arrive(self) -> None:
        path = '/brief/' if self.rng.random() < self.urgent_share else '/summary/'
        key = next(self.keys)
        self.arrivals[key] = (path, self.now)
        head = RequestHead(f'r-{key}', HOST, path, KEY, None)
        self.apply(self.rng.randrange(len(self.worlds)), RequestArrived(key, head))
        self.at(self.now + self.rng.expovariate(self.rate(self.now)), self._arrive)

    def _begin_pass(self, group: Group) -> None:
        load = group.fill()
        if group is next(iter(self.groups.values())):
            self.loads.append((self.now, load, self.concurrency.limit_of(GroupName(group.name))))
        self.at(self.now + max(0.01, group.law(load, self.now)), lambda: self._end_pass(group))

    def _end_pass(self, group: Group) -> None:
        for streams in group.running.values():
            for stream in tuple(streams):
                self._send_event(stream)
                if not stream.events:
                    streams.remove(stream)
        self._begin_pass(group)

    def _send_event(self, stream: Stream) -> None:
        start = stream.start
        stream.events -= 1
        if stream.last_event_at is None:
            self.apply(stream.gateway, AnswerBegun(start.key, start.number))
        else:
            pause_s = self.now - stream.last_event_at
            stream.worst_s = max(stream.worst_s, pause_s)
            if start.measures_pauses:
                is_first, stream.has_paused = not stream.has_paused, True
                self.apply(stream.gateway, StreamPaused(start.key, start.number, pause_s, is_first))
        stream.last_event_at = self.now
        if not stream.events:
            self.apply(stream.gateway, AttemptEnded(start.key, start.number, AttemptResult.ANSWERED))
            self._end(start.key, stream.worst_s)

    def _end(self, key: int, worst_s: float | None) -> None:
        if key not in self.arrivals:
            # Its deadline has passed.
            return
        path, arrived_at = self.arrivals.pop(key)
        self.outcomes.append(Outcome(path, arrived_at, self.now, worst_s))

    def shares(
        self, since: float, until: float, target_s: float, path: str = ''
    ) -> tuple[float, float, float]:
        """Return the shares on time, late and refused of the requests that arrived in a time."""
        chosen = [
            outcome
            for outcome in self.outcomes
            if since <= outcome.arrived_at < until and outcome.path.startswith(path)
        ]
        refused = sum(outcome.worst_s is None for outcome in chosen)
        on_time = sum(outcome.worst_s is not None and outcome.worst_s <= target_s for outcome in chosen)
        total = max(1, len(chosen))
        return on_time / total, 1 - (on_time + refused) / total, refused / total
