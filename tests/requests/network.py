"""Entries and agents under a virtual clock, over fake links, upstreams and claims."""

import heapq
import itertools
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from functools import partial

from basilcove.agents.config import AgentsConfig
from basilcove.agents.coordinator import current_load
from basilcove.agents.events import (
    CallUpstream,
    CancelCall,
    LeaveRequested,
    ReturnRequested,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamFinished,
    UpstreamProgressed,
)
from basilcove.agents.models import AgentState
from basilcove.const import PEER_TIMEOUT_S, TICK_INTERVAL_S
from basilcove.core.events import (
    Effect,
    Event,
    Message,
    Peer,
    PeerFound,
    PeerLost,
    Received,
    RecordSpan,
    Send,
    Tick,
)
from basilcove.core.ids import Incarnation, NodeId, Revision, Role, UpstreamName
from basilcove.core.reducer import Node, reduce
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.models import Environment
from basilcove.membership.events import UpstreamJoined, UpstreamLeaving
from basilcove.requests import claims
from basilcove.requests import coordinator as _coordinator  # noqa: F401 (registers the handlers)
from basilcove.requests.config import RequestsConfig
from basilcove.requests.coordinator import on_tick  # noqa: F401 (registers the handlers)
from basilcove.requests.events import (
    BreakAnswer,
    CallerGone,
    EndAnswer,
    RefuseRequest,
    Request,
    RequestArrived,
    StartAnswer,
    StopCompleted,
    WriteAnswer,
)
from basilcove.requests.messages import AnswerChunk, AttemptRefused, StartAttempt
from basilcove.requests.models import RequestsState
from tests.requests.claims import Claims
from tests.requests.models import Caller, Link, Process
from tests.requests.samples import MODEL, SERVICE, ZONE, answer_parts

DELAY_S, RECONNECT_S, ANNOUNCE_S = 0.01, 0.2, 0.5


class World:
    def __init__(self, environment: Environment, entries: int = 2, agents: int = 3) -> None:
        self.now = 1000.0
        self.environment = environment
        self.processes: dict[NodeId, Process] = {}
        self.links: dict[tuple[NodeId, NodeId], Link] = {}
        self.callers: dict[str, Caller] = {}
        self.key_runs: Counter[str] = Counter()
        self.modes: Counter[str] = Counter()
        self.mode = dict.fromkeys(range(agents), 'whole')
        self.pace_s = 0.02
        self.left_at: dict[NodeId, float] = {}
        self.cancelled: set[str] = set()
        self.claims = Claims()
        self.spans: list[RecordSpan] = []
        self.history: list[tuple[NodeId, Received]] = []
        # Delays in seconds of the copies of the next messages, by type; a message without delays is lost.
        self.disturbed: defaultdict[type[Message], deque[tuple[float, ...]]] = defaultdict(deque)
        self._redial_at: defaultdict[tuple[NodeId, NodeId], float] = defaultdict(float)
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count(1)
        self.entry_names = [NodeId(f'e{index}') for index in range(entries)]
        self.agent_names = [NodeId(f'a{index}') for index in range(agents)]
        for name in (*self.entry_names, *self.agent_names):
            self.start(name)
        self.run(0.1)

    def start(self, name: NodeId) -> None:
        """Start a process; a former one of the same name is killed without notice."""
        if name in self.processes:
            self.kill(name)
        incarnation = Incarnation(next(self._counter))
        if name in self.entry_names:
            role, state = Role.ENTRY, RequestsState.from_config(RequestsConfig(), name, incarnation, ZONE)
        else:
            role = Role.AGENT
            state = AgentState.from_config(AgentsConfig(), UpstreamName(f'u{name[1:]}'), incarnation)
        proc = Process(Peer(name, (role,), incarnation, ZONE), Node(state))
        self.processes[name] = proc
        self.left_at.pop(name, None)
        self.post(proc, EnvironmentChanged(Revision(1), self.environment))

    def _leave(self, proc: Process) -> None:
        self.left_at.setdefault(proc.peer.node, self.now)
        self._apply(proc, LeaveRequested('leaving'))
        self._announce_leaving(proc.peer.node)

    def _come_back(self, proc: Process) -> None:
        if proc.agent.stop_by is not None or self.left_at.pop(proc.peer.node, None) is None:
            return
        self._apply(proc, ReturnRequested())
        for pair in self.links:
            if pair[1] == proc.peer.node:
                self._announce(pair)

    def _replace(self, proc: Process) -> None:
        if self.processes[proc.peer.node] is proc:
            self.start(proc.peer.node)

    def kill(self, name: NodeId) -> None:
        proc = self.processes[name]
        proc.is_alive = False
        self.at(PEER_TIMEOUT_S, lambda: self._lose_all(proc))
        for caller in self.callers.values():
            if caller.entry is proc and caller.end is None:
                caller.end = 'died'

    def freeze(self, name: NodeId) -> None:
        proc = self.processes[name]
        if proc.frozen_at is not None:
            return
        frozen_at = self.now
        proc.frozen_at = frozen_at
        self.at(PEER_TIMEOUT_S, lambda: self._lose_all(proc) if proc.frozen_at == frozen_at else None)

    def thaw(self, name: NodeId) -> None:
        proc = self.processes[name]
        proc.frozen_at = None
        inbox, proc.inbox = proc.inbox, []
        for act in inbox:
            self.perform(proc, act)
        for caller in self.callers.values():
            if caller.entry is proc and caller.end is None:
                caller.due = max(caller.due, self.now)

    def leave(self, name: NodeId) -> None:
        """Let the upstream notify its agent that it leaves; a frozen agent is notified when it thaws."""
        proc = self.processes[name]
        self.perform(proc, lambda: self._leave(proc))

    def come_back(self, name: NodeId) -> None:
        proc = self.processes[name]
        self.perform(proc, lambda: self._come_back(proc))

    def break_link(self, pair: tuple[NodeId, NodeId]) -> None:
        self._lose(pair, self.links.get(pair))

    def silence(self, pair: tuple[NodeId, NodeId], unnoticed: NodeId | None = None) -> None:
        """Deliver nothing more on a link; the ``unnoticed`` end sees only the link that replaces it."""
        link = self.links.get(pair)
        if link is not None:
            link.is_silent = True
        self.at(PEER_TIMEOUT_S, lambda: self._lose(pair, link, unnoticed))

    def arrive(self, entry: NodeId, req: Request) -> Caller:
        proc = self.processes[entry]
        caller = Caller(req, proc, self.now + req.timeout_s)
        self.callers[req.request_id] = caller
        self.post(proc, RequestArrived(req))
        return caller

    def hang_up(self, caller: Caller) -> None:
        if caller.end is None:
            caller.end = 'gone'
            self.post(caller.entry, CallerGone(caller.request.request_id))

    def post(self, proc: Process, event: Event) -> None:
        self.perform(proc, lambda: self._apply(proc, event))

    def perform(self, proc: Process, act: Callable[[], None]) -> None:
        if not proc.is_alive:
            return
        if proc.frozen_at is not None:
            proc.inbox.append(act)
            return
        act()

    def at(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (self.now + delay_s, next(self._counter), act))

    def run(self, duration_s: float, tick_s: float = TICK_INTERVAL_S) -> None:
        """Advance the clock."""
        end = self.now + duration_s
        while self.now < end - 1e-9:
            tick_at = min(end, self.now + tick_s)
            while self._timers and self._timers[0][0] <= tick_at:
                self.now, _number, act = heapq.heappop(self._timers)
                act()
            self.now = tick_at
            self._dial()
            for proc in tuple(self.processes.values()):
                if proc.frozen_at is None:
                    self.post(proc, Tick())

    def _dial(self) -> None:
        for pair in itertools.product(self.entry_names, self.agent_names):
            ends = {name: self.processes[name] for name in pair}
            if pair in self.links or self._redial_at[pair] > self.now:
                continue
            if any(not proc.is_alive or proc.frozen_at is not None for proc in ends.values()):
                continue
            self.links[pair] = Link(ends)
            self.post(ends[pair[0]], PeerFound(ends[pair[1]].peer))
            self.post(ends[pair[1]], PeerFound(ends[pair[0]].peer))
            self._announce(pair)
            if pair[1] in self.left_at:
                self._announce_leaving(pair[1])

    def _lose(self, pair: tuple[NodeId, NodeId], link: Link | None, unnoticed: NodeId | None = None) -> None:
        if link is None or self.links.get(pair) is not link:
            return
        self.links.pop(pair)
        self._redial_at[pair] = self.now + RECONNECT_S
        for name, other in itertools.permutations(pair):
            if name != unnoticed:
                self.post(link.ends[name], PeerLost(link.ends[other].peer))

    def _lose_all(self, proc: Process) -> None:
        for pair, link in tuple(self.links.items()):
            if proc in link.ends.values():
                self._lose(pair, link)

    def _announce(self, pair: tuple[NodeId, NodeId]) -> None:
        ends = self.links[pair].ends
        upstream, peer = UpstreamName(f'u{pair[1][1:]}'), ends[pair[1]].peer
        joined = UpstreamJoined(upstream, peer.node, peer.incarnation, ZONE, (MODEL,), (SERVICE,), 2)
        self.post(ends[pair[0]], joined)

    def _announce_leaving(self, agent: NodeId) -> None:
        def announce() -> None:
            for name in self.entry_names if agent in self.left_at else ():
                self.post(self.processes[name], UpstreamLeaving(UpstreamName(f'u{agent[1:]}')))

        self.at(ANNOUNCE_S, announce)

    def _apply(self, proc: Process, event: Event) -> None:
        for effect in reduce(proc.node, event, self.now, self.now):
            self._carry_out(proc, effect)

    def _carry_out(self, proc: Process, effect: Effect) -> None:
        match effect:
            case Send(name, msg):
                self._send(proc, name, msg)
            case CallUpstream():
                self._call(proc, effect)
            case RecordSpan():
                self.spans.append(effect)
            case CancelCall(attempt_id):
                self.cancelled.add(attempt_id)
            case StartAnswer() | WriteAnswer() | EndAnswer() | BreakAnswer() | RefuseRequest():
                self.callers[effect.request_id].receive(effect)
            case StopCompleted():
                self.at(1, lambda: self._replace(proc))
            case (
                claims.RequestClaim() | claims.CompleteClaim() | claims.ReleaseClaim() | claims.AbandonClaim()
            ):
                self.at(DELAY_S, lambda: self._claim(proc, effect))

    def _send(self, proc: Process, name: NodeId, msg: Message) -> None:
        pair = (name, proc.peer.node) if name in self.entry_names else (proc.peer.node, name)
        link = self.links.get(pair)
        if isinstance(msg, StartAttempt):
            caller = self.callers[msg.request_id]
            proc.sent['retry' if proc.sent[msg.request_id] else 'first'] += 1
            proc.sent[msg.request_id] += 1
            assert self.now <= caller.due, 'an attempt was sent after the deadline'
        if link is not None and link.ends[proc.peer.node] is proc:
            queued = self.disturbed[type(msg)]
            arrive = partial(self._arrive, pair, link, name, Received(proc.peer, msg))
            for delay_s in queued.popleft() if queued else (DELAY_S,):
                self.at(delay_s, arrive)

    def _arrive(self, pair: tuple[NodeId, NodeId], link: Link, name: NodeId, event: Received) -> None:
        if self.links.get(pair) is link and not link.is_silent:
            self.history.append((name, event))
            if isinstance(event.message, AttemptRefused) and event.message.leaving:
                link.ends[name].moved.add(event.message.attempt_id)
            self.receive(link.ends[name], event)

    def receive(self, proc: Process, event: Received) -> None:
        if not isinstance(event.message, AnswerChunk):
            self.post(proc, event)
        elif proc.node.has(RequestsState):
            self.perform(proc, lambda: self._accept(proc, event.peer, event.message))

    def _accept(self, proc: Process, peer: Peer, chunk: AnswerChunk) -> None:
        delivery = proc.entry.assemblies.accept(peer, chunk)
        if delivery is not None:
            self.callers[delivery.request_id].receive(WriteAnswer(delivery.request_id, delivery.body))

    def _call(self, proc: Process, call: CallUpstream) -> None:
        start = call.attempt
        index = int(proc.peer.node[1:])
        mode = self.mode[index]
        self.modes[mode] += 1
        if mode == 'refuse':
            self._schedule(proc, start, 1, UpstreamFailed(start.attempt_id, 'connection refused', sent=False))
            return
        caller = self.callers[start.request_id]
        caller.runs += 1
        if caller.request.idempotency_key is not None:
            self.key_runs[caller.request.idempotency_key] += 1
        left_at = self.left_at.get(proc.peer.node)
        assert left_at is None or self.now - left_at <= 2, 'new work for a leaving upstream'
        assert current_load(proc.agent).running <= 2
        parts = answer_parts(start.body)
        rest = parts[start.token_offset :]
        self._schedule(proc, start, 1, UpstreamAnswered(start.attempt_id, 200, {}))
        for index, part in enumerate(rest if mode == 'whole' else rest[:-1]):
            tokens = 1 if start.model else 0
            chunk = AnswerChunk(start.attempt_id, index, part, tokens)
            self._schedule(proc, start, index + 2, chunk)
            self._schedule(proc, start, index + 2, UpstreamProgressed(start.attempt_id, index + 1, index + 1))
        end: Event = UpstreamFinished(start.attempt_id, len(rest), len(b''.join(rest)))
        if mode == 'break':
            end = UpstreamFailed(start.attempt_id, 'connection reset', sent=True)
        if mode != 'stall':
            self._schedule(proc, start, len(rest) + 2, end)

    def _schedule(self, proc: Process, start: StartAttempt, steps: int, event: Event | Message) -> None:
        def deliver() -> None:
            if start.attempt_id in self.cancelled:
                return
            if isinstance(event, AnswerChunk):
                self.perform(proc, lambda: self._send(proc, self._entry_of(start), event))
            else:
                self.post(proc, event)

        self.at(steps * self.pace_s, deliver)

    def _entry_of(self, start: StartAttempt) -> NodeId:
        return self.callers[start.request_id].entry.peer.node

    def _claim(self, proc: Process, effect: Effect) -> None:
        result = self.claims.decide(effect)
        if result is not None:
            answered = claims.ClaimAnswered(effect.key, effect.attempt_id, result)
            self.at(DELAY_S, lambda: self.post(proc, answered))
