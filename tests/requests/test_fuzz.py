import itertools
from collections import deque

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilcove.agents.const import MEMORY_S
from basilcove.core.events import Message, Received, StopRequested
from basilcove.core.ids import Outcome
from basilcove.requests.const import CONFIRM_TIMEOUT_S, RECORD_TIMEOUT_S, RETRY_ADVANCE
from basilcove.requests.messages import (
    AnswerChunk,
    AnswerEnd,
    AttemptRefused,
    CancelAttempt,
    StartAttempt,
)
from tests.requests.network import DELAY_S, World
from tests.requests.samples import RETRY_SHARE, answer_parts, make_environment, make_request

# The deadline, the confirmation of a barred attempt, the recording of an answer, and two ticks.
_END_BOUND_S = CONFIRM_TIMEOUT_S + RECORD_TIMEOUT_S + 0.1

_ENTRIES = st.sampled_from(['e0', 'e1'])
_AGENTS = st.sampled_from(['a0', 'a1', 'a2'])
_MODES = st.sampled_from(['whole', 'whole', 'refuse', 'break', 'stall'])
# Restarts and planned stops are drawn less often, so that requests last long enough to meet other faults.
_RARELY = st.sampled_from([False, False, True])
_MESSAGES = st.sampled_from(
    [StartAttempt, StartAttempt, AnswerChunk, AnswerChunk, AnswerEnd, CancelAttempt, AttemptRefused]
)
# Lost, overtaken by the next messages, later than the shortest deadline, and duplicated.
_DELAYS = st.sampled_from([(), (0.05,), (1,), (1,), (DELAY_S, 1)])
_KINDS = st.sampled_from(['stream', 'model', 'lookup', 'charge'])
_TIMEOUTS = st.sampled_from([0.3, 2, 10])
_KEYS = st.sampled_from(['k1', 'k2', 'k3', 'k4'])


class Machine(RuleBasedStateMachine):
    """Entries, agents and upstreams under faults; outcomes must match the recorded runs and answers."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(make_environment())
        self.names = itertools.count(1)

    @rule(entry=_ENTRIES, kind=_KINDS, timeout_s=_TIMEOUTS)
    def arrive(self, entry: str, kind: str, timeout_s: float) -> None:
        self._arrive(entry, make_request(f'r{next(self.names)}', kind, timeout_s))

    @rule(entry=_ENTRIES, key=_KEYS, timeout_s=_TIMEOUTS)
    def arrive_with_key(self, entry: str, key: str, timeout_s: float) -> None:
        self._arrive(entry, make_request(f'r{next(self.names)}', 'charge', timeout_s, key))

    @rule(duration_s=st.sampled_from([0.01, 0.05, 0.3, 1, 3]))
    def run(self, duration_s: float) -> None:
        self.world.run(duration_s)

    @rule(pick=st.integers(0, 1000))
    def hang_up(self, pick: int) -> None:
        callers = list(self.world.callers.values())
        if callers:
            self.world.hang_up(callers[pick % len(callers)])

    @invariant()
    def outcomes_match_the_runs(self) -> None:
        for caller in self.world.callers.values():
            req = caller.request
            if caller.refusal is not None and caller.refusal.outcome is Outcome.NOT_RUN:
                assert caller.runs == 0, f'{req.request_id} was refused as not run, and ran'
            if req.service and req.path == '/book':
                assert caller.runs <= 1, f'{req.request_id} ran twice'
            if caller.end == 'whole':
                assert caller.body == b''.join(answer_parts(req.body))
        assert all(runs <= 1 for runs in self.world.key_runs.values()), 'a key ran twice'

    @invariant()
    def every_request_ends_in_time(self) -> None:
        for caller in self.world.callers.values():
            if caller.end is None and caller.entry.frozen_at is None:
                assert self.world.now <= caller.due + _END_BOUND_S, f'{caller.request.request_id} never ends'

    @invariant()
    def retries_stay_within_the_budget(self) -> None:
        for name in self.world.entry_names:
            proc = self.world.processes[name]
            budget = max(RETRY_ADVANCE, RETRY_SHARE * proc.sent['first']) + 1e-6
            assert proc.sent['retry'] <= budget + len(proc.moved)

    def teardown(self) -> None:
        """Let every request end, then check that no state remains."""
        world = self.world
        world.disturbed.clear()
        for name in world.processes:
            world.thaw(name)
        world.run(1)
        world.run(11 + 2, tick_s=0.5)
        world.run(MEMORY_S + 2, tick_s=2)
        self.outcomes_match_the_runs()
        for caller in world.callers.values():
            assert caller.end is not None
        for name in world.entry_names:
            entry = world.processes[name].entry
            left = (entry.requests, entry.attempts, entry.claims, entry.assemblies, entry.limits)
            assert not any(map(len, left)), left
            assert entry.stop_by is None, 'a planned stop did not end'
        for name in world.agent_names:
            agent = world.processes[name].agent
            assert not any(map(len, (agent.attempts, agent.running, agent.memory)))
            assert agent.queue.queued_work == 0
            assert agent.stop_by is None, 'a planned stop did not end'

    def _arrive(self, entry: str, req: object) -> None:
        if self.world.processes[entry].frozen_at is None:
            self.world.arrive(entry, req)


class RequestMachine(Machine):
    """Faults of links, processes, upstreams and claims."""

    @rule(agent=_AGENTS, mode=_MODES, pace_s=st.sampled_from([0.02, 0.5]))
    def set_mode(self, agent: str, mode: str, pace_s: float) -> None:
        self.world.mode[int(agent[1:])] = mode
        self.world.pace_s = pace_s

    @rule(entry=_ENTRIES)
    def flood(self, entry: str) -> None:
        for name in itertools.islice(self.names, 8):
            self._arrive(entry, make_request(f'r{name}', 'model', 2))

    @rule(entry=_ENTRIES, agent=_AGENTS)
    def break_link(self, entry: str, agent: str) -> None:
        self.world.break_link((entry, agent))

    @rule(entry=_ENTRIES, agent=_AGENTS, unnoticed=st.sampled_from([None, 0, 1]))
    def silence(self, entry: str, agent: str, unnoticed: int | None) -> None:
        self.world.silence((entry, agent), None if unnoticed is None else (entry, agent)[unnoticed])

    @rule(name=_ENTRIES | _AGENTS, chance=_RARELY)
    def restart(self, name: str, chance: bool) -> None:
        if chance:
            self.world.start(name)

    @rule(name=_ENTRIES | _AGENTS)
    def freeze(self, name: str) -> None:
        self.world.freeze(name)

    @rule(name=_ENTRIES | _AGENTS)
    def thaw(self, name: str) -> None:
        self.world.thaw(name)

    @rule(agent=_AGENTS)
    def leave(self, agent: str) -> None:
        self.world.leave(agent)

    @rule(agent=_AGENTS)
    def come_back(self, agent: str) -> None:
        self.world.come_back(agent)

    @rule(name=_ENTRIES | _AGENTS, chance=_RARELY)
    def stop(self, name: str, chance: bool) -> None:
        if not chance:
            return
        if name in self.world.agent_names:
            self.world.leave(name)
        self.world.post(self.world.processes[name], StopRequested())

    @rule(fault=st.sampled_from(['', '', 'before', 'after', 'silent']))
    def set_claims_fault(self, fault: str) -> None:
        self.world.claims.fault = fault

    @rule(pick=st.integers(0, 1000), is_crossed=st.booleans(), sender=_AGENTS)
    def deliver_again(self, pick: int, is_crossed: bool, sender: str) -> None:
        """Deliver a message once more, or as if another agent had sent it, or to another node."""
        if not self.world.history:
            return
        name, event = self.world.history[-1 - pick % len(self.world.history)]
        if is_crossed and name in self.world.entry_names:
            event = Received(self.world.processes[sender].peer, event.message)
        elif is_crossed:
            name = sender
        self.world.receive(self.world.processes[name], event)


class MessageMachine(Machine):
    """Faults of single messages, on links that go on, and restarts of agents."""

    @rule(
        entry=_ENTRIES,
        kind=st.sampled_from(['stream', 'model', 'charge', 'charge']),
        timeout_s=_TIMEOUTS,
        disturbed=_MESSAGES,
        skipped=st.sampled_from([0, 0, 0, 1, 3]),
        delays=_DELAYS,
    )
    def arrive_disturbed(
        self,
        entry: str,
        kind: str,
        timeout_s: float,
        disturbed: type[Message],
        skipped: int,
        delays: tuple[float, ...],
    ) -> None:
        """Lose, double or delay one message of a type, while its link goes on."""
        self.world.disturbed[disturbed] = deque([*itertools.repeat((DELAY_S,), skipped), delays])
        self._arrive(entry, make_request(f'r{next(self.names)}', kind, timeout_s))

    @rule(pick=st.integers(0, 5), after_restart=_RARELY)
    def deliver_start_again(self, pick: int, after_restart: bool) -> None:
        """Deliver a copy of an attempt's start to its agent, perhaps to the next process of that."""
        starts = [start for start in self.world.history if isinstance(start[1].message, StartAttempt)]
        if not starts:
            return
        name, event = starts[-1 - pick % len(starts)]
        if after_restart:
            self.world.start(name)
        self.world.receive(self.world.processes[name], event)


_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = _SETTINGS
TestMessageMachine = MessageMachine.TestCase
TestMessageMachine.settings = _SETTINGS
