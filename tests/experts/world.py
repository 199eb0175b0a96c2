"""Simulation of the agents of one group: virtual clock, fake network, catalog and engines."""

import functools
import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from basilcove.catalog.apply import apply
from basilcove.catalog.const import MAX_LEASE_S
from basilcove.catalog.events import ProposalFailed, Propose, Proposed, Query, QueryAnswered, QueryFailed
from basilcove.catalog.models import CatalogState
from basilcove.core.events import Effect, Event, Message, Peer, Received, Send, Tick
from basilcove.core.ids import Incarnation, NodeId, Role, UpstreamName, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.experts.activation import coordinator as _coordinator  # noqa: F401 (registers the handlers)
from basilcove.experts.activation.events import GroupAssigned, MapWanted
from basilcove.experts.activation.models import ActivationState, Phase
from basilcove.orders import decisions as _decisions  # noqa: F401 (registers the handlers)
from basilcove.orders import rules
from basilcove.orders.const import ENGINE_TIMEOUT_S
from basilcove.orders.engine import order_to_json, status_from_json
from basilcove.orders.events import CallEngine, EngineAnswered, EngineAssigned, EngineFailed, SendOrder
from basilcove.orders.messages import Order
from basilcove.orders.models import OrdersState
from tests.experts.catalog import GROUP, CatalogCall, CatalogPort, read_catalog
from tests.standins.lockstep import Lockstep

CONTROL = 'control'
ZONE = Zone('nobsa')
TICK_S = 0.1
STEPS_PER_TICK = 2
# A link that is silent for 2 s is closed, and what it carried is lost.
MAX_DELAY_S = 2.0


class Sent(NamedTuple):
    """A message that was sent, its receiver and when."""

    target: str
    event: Received
    sent_at: float


@dataclass
class Process:
    """One process start of an agent; while it is frozen, effects and events wait."""

    peer: Peer
    node: Node
    is_alive: bool = True
    is_frozen: bool = False
    # Freeze after the next event that has effects, before they are carried out.
    freezes_next: bool = False
    inbox: list[Event] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    # When the lease of each received order ends.
    lease_ends: dict[str, float] = field(default_factory=dict)

    @property
    def activation(self) -> ActivationState:
        return self.node.part(ActivationState)

    @property
    def orders(self) -> OrdersState:
        return self.node.part(OrdersState)


class World:
    def __init__(self, size: int = 3, seed: int = 0) -> None:
        self.now = 1000.0
        self.random = random.Random(seed)
        self.loss: float = 0
        self.duplicates: float = 0
        self.delay_s = 0.02
        self.catalog = CatalogState()
        self.cuts: set[frozenset[str]] = set()
        self.engines = [Lockstep(index == 0) for index in range(size)]
        # Next step of each rank; a restart of its engine does not change it.
        self.progress = [0 for _ in range(size)]
        self.stalled: set[int] = set()
        self.maps_run: dict[int, int] = {}
        self.newest_fence = [0 for _ in range(size)]
        self.lease_ends: defaultdict[int, float] = defaultdict(float)
        self.faults: list[str] = []
        self.history: list[Sent] = []
        self.processes: dict[str, Process] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count(1)
        self.names = [f'a{index}' for index in range(size)]
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an agent; a former process of this name is killed without notice."""
        former = self.processes.get(name)
        if former is not None:
            former.is_alive = False
        incarnation = Incarnation(next(self._order))
        node, index = NodeId(name), self.names.index(name)
        states = (OrdersState(node, incarnation), ActivationState(node, incarnation), CatalogPort())
        proc = Process(Peer(node, (Role.AGENT,), incarnation, ZONE), Node(*states))
        self.processes[name] = proc
        members = tuple(
            (UpstreamName(f'u{number}'), NodeId(agent)) for number, agent in enumerate(self.names)
        )
        checks = self.engines[index].checks_fencing
        self.post(proc, EngineAssigned(UpstreamName(f'u{index}'), GROUP, checks))
        self.post(proc, GroupAssigned(GROUP, members))

    def restart_engine(self, index: int) -> None:
        self.engines[index] = Lockstep(self.engines[index].checks_fencing)
        if not any(engine.schedule for engine in self.engines):
            # No engine runs, so the group may restart its count of steps.
            self.maps_run.clear()
            self.progress = [0 for _ in self.engines]

    def want_map(self, number: int) -> None:
        """Request another map at every agent; only the lease holder installs it."""
        layers = (tuple((number * 10 + rank,) for rank in range(len(self.names))),)
        for proc in self.processes.values():
            self.post(proc, MapWanted(layers))

    def freeze(self, name: str, *, amid_effects: bool) -> None:
        proc = self.processes[name]
        proc.freezes_next = amid_effects
        proc.is_frozen = proc.is_frozen or not amid_effects

    def thaw(self, name: str) -> None:
        proc = self.processes[name]
        proc.is_frozen = False
        proc.freezes_next = False
        effects, proc.effects = proc.effects, []
        events, proc.inbox = proc.inbox, []
        for effect in effects:
            self.carry_out(proc, effect)
        for event in events:
            self.post(proc, event)

    def post(self, proc: Process, event: Event) -> None:
        if not proc.is_alive:
            return
        if proc.is_frozen:
            if not isinstance(event, Tick):
                proc.inbox.append(event)
            return
        if isinstance(event, Received) and isinstance(event.message, Order):
            proc.lease_ends[event.message.order_id] = self.now + event.message.lease_s
        effects = reduce(proc.node, event, self.now, self.now)
        if effects and proc.freezes_next:
            proc.is_frozen = True
            proc.effects.extend(effects)
            return
        for effect in effects:
            self.carry_out(proc, effect)

    def carry_out(self, proc: Process, effect: Effect) -> None:
        if isinstance(effect, SendOrder):
            order = rules.order_in_force(effect, self.now)
            if order is not None:
                self._check_lease(order.fence, 'an order was sent', 0)
                self.send(proc, effect.node, order)
        elif isinstance(effect, Send):
            self.send(proc, effect.node, effect.message)
        elif isinstance(effect, CallEngine):
            self._call_engine(proc, effect)
        elif isinstance(effect, CatalogCall):
            self._call_catalog(proc, effect.question)

    def send(self, proc: Process, target: str, message: Message) -> None:
        event = Received(proc.peer, message)
        own = target == proc.peer.node
        if not own and self._is_lost(proc.peer.node, target):
            return
        self.history.append(Sent(target, event, self.now))
        receiver = self.processes[target]
        deliver = functools.partial(self.post, receiver, event)
        copies = 1 + (not own and self.random.random() < self.duplicates)
        for _ in range(copies):
            self.at(0 if own else self._delay(), deliver)

    def deliver_again(self, pick: int) -> None:
        """Deliver an earlier message again, possibly to a later process of the receiver."""
        self._deliver_one(self.history[-200:], pick)

    def deliver_old_order(self, name: str, pick: int) -> None:
        """Deliver an old order to an agent, under a token older than the newest."""
        newest = self.catalog.fence
        old = [
            sent
            for sent in self.history
            if sent.target == name
            and isinstance(sent.event.message, Order)
            and sent.event.message.fence < newest
        ]
        self._deliver_one(old, pick)

    def _deliver_one(self, messages: list[Sent], pick: int) -> None:
        # An order is sent only while its lease holds, and a link that is silent for seconds is closed.
        possible = [sent for sent in messages if self.now - sent.sent_at <= MAX_LEASE_S]
        if possible:
            chosen = possible[-1 - pick % len(possible)]
            self.post(self.processes[chosen.target], chosen.event)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (self.now + delay_s, next(self._order), action))

    def run(self, duration_s: float, tick_s: float = TICK_S) -> None:
        end = self.now + duration_s
        while self.now < end:
            until = self.now + tick_s
            while self._timers and self._timers[0][0] <= until:
                at, _, action = heapq.heappop(self._timers)
                self.now = max(self.now, at)
                action()
            self.now = until
            for proc in tuple(self.processes.values()):
                self.post(proc, Tick())
            self._run_steps()

    def run_until(self, phase: Phase, timeout_s: float = 3) -> ActivationState | None:
        """Run until the coordinator is in a phase; return its state, or None on timeout."""
        end = self.now + timeout_s
        while self.now < end:
            for proc in self.processes.values():
                if proc.activation.phase is phase and not proc.is_frozen:
                    return proc.activation
            self.run(TICK_S / 10, TICK_S / 10)
        return None

    def heal(self) -> None:
        self.loss = 0
        self.duplicates = 0
        self.delay_s = 0.02
        self.cuts.clear()
        self.stalled.clear()
        for name in self.names:
            self.thaw(name)

    def _run_steps(self) -> None:
        for _ in range(STEPS_PER_TICK):
            for index, engine in enumerate(self.engines):
                if index in self.stalled or not engine.may_run or engine.step > min(self.progress):
                    continue
                version = engine.version_at(engine.step)
                if self.maps_run.setdefault(engine.step, version) != version:
                    self.faults.append(
                        f'step {engine.step} ran on {self.maps_run[engine.step]} and {version}'
                    )
                engine.step += 1
                self.progress[index] = engine.step

    def _call_engine(self, proc: Process, effect: CallEngine) -> None:
        order, index = effect.order, self.names.index(proc.peer.node)
        if not rules.may_call(effect, self.now):
            self.post(proc, EngineFailed(order.order_id, 'the lease has ended', sent=False))
            return
        if self.now > proc.lease_ends.get(order.order_id, self.now):
            self.faults.append(f'{order.kind} under token {order.fence} went to the engine after its lease')
        answers_by = self.now + ENGINE_TIMEOUT_S
        is_lost = index in self.stalled or self.random.random() < self.loss
        # A stalled engine may accept the order at any time within the assumed bound, or never.
        delay_s = self.random.uniform(0, 2 * ENGINE_TIMEOUT_S) if is_lost else self._delay() / 4
        if not is_lost or self.random.choice((True, False)):
            engine = self.engines[index]
            self.at(delay_s, lambda: self._deliver_order(proc, index, engine, order, is_lost))
        if is_lost:
            failed = EngineFailed(order.order_id, 'no answer', sent=True)
            self.at(answers_by - self.now, lambda: self.post(proc, failed))

    def _deliver_order(
        self, proc: Process, index: int, engine: Lockstep, order: Order, is_lost: bool
    ) -> None:
        reason = 'restarted'
        if engine is self.engines[index]:
            before = self.newest_fence[index]
            reason = engine.take(order_to_json(order))
            self.progress[index] = max(self.progress[index], engine.step)
            if not reason:
                self.newest_fence[index] = max(before, order.fence)
                if order.fence < before:
                    self.faults.append(f'{order.kind} under token {order.fence} took effect after {before}')
        if is_lost:
            return
        if reason == 'restarted':
            self.post(proc, EngineFailed(order.order_id, reason, sent=True))
            return
        status = status_from_json(engine.status(order.wants_layers))
        self.post(proc, EngineAnswered(order.order_id, reason, status))

    def _call_catalog(self, proc: Process, question: Propose | Query) -> None:
        is_read = isinstance(question, Query)
        name = question.query_id if isinstance(question, Query) else question.proposal_id
        is_call_lost, is_answer_lost = (
            self._is_lost(proc.peer.node, CONTROL),
            self.random.random() < self.loss,
        )
        if not is_call_lost:
            self.at(self._delay(), lambda: self._answer(proc, question, name, is_answer_lost))
        if is_call_lost or is_answer_lost:
            failed = QueryFailed(name, 'lost') if is_read else ProposalFailed(name, 'lost', sent=True)
            self.at(question.deadline - self.now, lambda: self.post(proc, failed))

    def _answer(self, proc: Process, question: Propose | Query, name: str, is_lost: bool) -> None:
        if isinstance(question, Query):
            event: Event = QueryAnswered(name, read_catalog(self.catalog, question))
        else:
            event = Proposed(name, apply(self.catalog, question.command, self.now))
            for lease in self.catalog.leases.values():
                self.lease_ends[lease.fence] = max(self.lease_ends[lease.fence], lease.expires)
        if not is_lost:
            self.at(self._delay(), lambda: self.post(proc, event))

    def _is_lost(self, source: str, target: str) -> bool:
        return frozenset((source, target)) in self.cuts or self.random.random() < self.loss

    def _delay(self) -> float:
        return min(self.random.expovariate(1 / self.delay_s), MAX_DELAY_S)

    def _check_lease(self, fence: int, what: str, slack_s: float) -> None:
        if self.now > self.lease_ends[fence] + slack_s:
            self.faults.append(f'{what} under token {fence}, {self.now - self.lease_ends[fence]:.1f} s late')
