import itertools

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilcove.core.events import Received
from basilcove.core.ids import NodeId
from basilcove.membership.messages import Announce, Refresh
from tests.harness.fuzzing import stateful
from tests.membership.world import AGENTS, ENTRIES, NODES, UPSTREAMS, World

# Design, section 1.2: an upstream that leaves gets no new work within this time.
NO_NEW_WORK_S = 2.0
# How long an upstream may be silent before its agent drops it.
SILENCE_S = 3.0
# A silent agent is noticed only at the next sweep and tick.
_TICKS_S = 0.2

_AGENTS = st.sampled_from(AGENTS)
_ENTRIES = st.sampled_from(ENTRIES)
_UPSTREAMS = st.sampled_from(UPSTREAMS)


class MembershipMachine(RuleBasedStateMachine):
    """Upstreams announce themselves rightly and wrongly; the oracle knows which processes live."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.net = self.world.net
        self.clock = itertools.count(1)
        # The process of each upstream that its agent took, and the time until which it may get work.
        self.alive: dict[tuple[str, str], int] = {}
        self.ended: dict[tuple[str, str], float] = {}
        self.newest: dict[tuple[str, str], int] = {}

    @rule(agent=_AGENTS, name=_UPSTREAMS)
    def announce(self, agent: str, name: str) -> None:
        """A process starts and announces itself, if no other of that name lives there."""
        incarnation = self.alive.get((agent, name)) or next(self.clock)
        is_new = (agent, name) not in self.alive
        if self.world.announce(agent, name, f'{name}-key', incarnation) and is_new:
            self.alive[agent, name] = incarnation
            self.newest[agent, name] = incarnation
            self.ended.pop((agent, name), None)

    @rule(agent=_AGENTS, name=_UPSTREAMS, other=_UPSTREAMS)
    def announce_with_wrong_credential(self, agent: str, name: str, other: str) -> None:
        credential = 'guessed' if name == other else f'{other}-key'
        assert not self.world.announce(agent, name, credential, next(self.clock))

    @rule(agent=_AGENTS, name=_UPSTREAMS)
    def announce_twice(self, agent: str, name: str) -> None:
        """A second process under the name of one that lives is refused."""
        if (agent, name) in self.alive:
            assert not self.world.announce(agent, name, f'{name}-key', next(self.clock))

    @rule(agent=_AGENTS, name=_UPSTREAMS)
    def fall_silent(self, agent: str, name: str) -> None:
        """The process ends without a word; its agent notices."""
        if self.alive.pop((agent, name), None):
            self.ended.setdefault((agent, name), self.net.now + SILENCE_S)
            self._run(SILENCE_S + _TICKS_S)
            self._announce_former(agent, name)

    @rule(agent=_AGENTS, name=_UPSTREAMS)
    def pause(self, agent: str, name: str) -> None:
        """The process is silent and goes on; one that was leaving doesn't come back."""
        incarnation = self.alive.pop((agent, name), 0)
        if not incarnation:
            return
        was_leaving = (agent, name) in self.ended
        self.ended.setdefault((agent, name), self.net.now + SILENCE_S)
        self._run(SILENCE_S + _TICKS_S)
        if self.world.announce(agent, name, f'{name}-key', incarnation):
            self.alive[agent, name] = incarnation
            if not was_leaving:
                del self.ended[agent, name]

    @rule(agent=_AGENTS, name=_UPSTREAMS)
    def leave(self, agent: str, name: str) -> None:
        """Leaving needs no control host, and holds until the next process of the name."""
        if (agent, name) in self.alive:
            self.world.leave(agent, name)
            self.ended.setdefault((agent, name), self.net.now)

    @rule(agent=_AGENTS, name=_UPSTREAMS)
    def leave_cut_off(self, agent: str, name: str) -> None:
        """The agent reaches neither control nor entries while its upstream leaves."""
        for other in NODES:
            self.cut(agent, other)
        self.leave(agent, name)

    @rule(agent=_AGENTS, name=_UPSTREAMS)
    def leave_unheard(self, agent: str, name: str) -> None:
        """The announcement that the upstream leaves is lost on links that work."""
        if (agent, name) in self.alive:
            self.world.leave_unheard(agent, name)
            self.ended.setdefault((agent, name), self.net.now)

    @rule()
    def lose_announcements(self) -> None:
        """Announcements are lost, while agents are heard."""
        self.world.lose_announcements()

    @rule(agent=_AGENTS, entry=st.sampled_from([*ENTRIES, 'control-0']))
    def cut(self, agent: str, entry: str) -> None:
        if agent != entry:
            self.net.cut.add(frozenset((NodeId(agent), NodeId(entry))))

    @rule()
    def heal(self) -> None:
        self.net.cut.clear()

    @rule(loss=st.sampled_from([0, 0, 0.3]), duplication=st.sampled_from([0, 0.5]))
    def set_links(self, loss: float, duplication: float) -> None:
        self.net.loss, self.net.duplication = loss, duplication

    @rule(agent=_AGENTS)
    def restart_agent(self, agent: str) -> None:
        """The agent forgets its upstreams, which announce themselves to it again or not."""
        self.world.start(agent)
        for name in UPSTREAMS:
            self.newest.pop((agent, name), None)
            if self.alive.pop((agent, name), None):
                self.ended.setdefault((agent, name), self.net.now)

    @rule(entry=_ENTRIES)
    def restart_entry(self, entry: str) -> None:
        self.world.start(entry)

    @rule(pick=st.integers(0, 199), sender=_AGENTS, is_crossed=st.booleans(), entry=_ENTRIES)
    def deliver_again(self, pick: int, sender: str, is_crossed: bool, entry: str) -> None:
        """Deliver an announcement or refresh once more, perhaps as if another agent had sent it."""
        if not self.net.history:
            return
        _, event = self.net.history[-1 - pick % len(self.net.history)]
        if not isinstance(event.message, (Announce, Refresh)):
            return
        if is_crossed:
            event = Received(self.net.hosts[NodeId(sender)].peer, event.message)
        self.net.apply(entry, event)

    @rule(duration_s=st.sampled_from([0.1, 0.5, 2.5]))
    def run(self, duration_s: float) -> None:
        self._run(duration_s)

    @rule()
    def settle(self) -> None:
        """With links that work, every living upstream gets work from every entry, and no other does."""
        self.net.cut.clear()
        self.net.loss = 0
        self.net.corruption = 0
        self._run(5)
        for name in UPSTREAMS:
            serving = {
                agent for agent in AGENTS if (agent, name) in self.alive and (agent, name) not in self.ended
            }
            leaving = {agent for agent in AGENTS if (agent, name) in self.alive} - serving
            for entry in ENTRIES:
                chosen = self.world.witness(entry).open.get(name)
                # While an upstream leaves, its name stays taken.
                if not leaving:
                    assert bool(chosen) == bool(serving), f'{entry} has {name} open: {chosen}'
        # Of two agents that announce one name, the first keeps it.
        before = [dict(self.world.witness(node).open) for node in ENTRIES]
        for _ in range(6):
            self._run(0.1)
            assert [self.world.witness(node).open for node in ENTRIES] == before

    @invariant()
    def no_new_work_for_the_ended(self) -> None:
        for entry in ENTRIES:
            for name, (agent, incarnation) in self.world.witness(entry).open.items():
                ended_at = self.ended.get((agent, name), self.net.now)
                late_s = self.net.now - ended_at
                assert late_s <= NO_NEW_WORK_S + _TICKS_S, (
                    f'{entry} sends to {name} {late_s:.1f} s after its end'
                )
                assert (agent, name) in self.alive or (agent, name) in self.ended, f'{name} was never there'
                host = self.net.hosts[agent]
                is_former = incarnation != host.peer.incarnation
                assert not is_former or self.net.now - host.started_at <= NO_NEW_WORK_S + _TICKS_S

    def teardown(self) -> None:
        self.settle()

    def _announce_former(self, agent: str, name: str) -> None:
        """A former process of the name is refused, even after its successor fell silent."""
        former = self.newest.get((agent, name), 0) - 1
        if former > 0:
            assert not self.world.announce(agent, name, f'{name}-key', former)

    def _run(self, duration_s: float) -> None:
        # Living processes announce themselves to their agents every half second.
        for step in range(round(duration_s * 10)):
            if step % 5 == 0:
                for (agent, name), incarnation in self.alive.items():
                    self.world.announce(agent, name, f'{name}-key', incarnation)
            self.net.run(0.1)
            self.no_new_work_for_the_ended()


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = stateful(examples=60, steps=30)
