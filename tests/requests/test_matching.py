import dataclasses

import pytest

from basilcove.core.events import Peer, Received
from basilcove.core.ids import Role
from basilcove.requests.assembly import Assemblies
from basilcove.requests.messages import AnswerChunk, CancelAttempt, StartAttempt
from tests.requests.network import World
from tests.requests.samples import ZONE, make_environment, make_request

AGENT = Peer('a0', (Role.AGENT,), 2, ZONE)


def _open() -> Assemblies:
    assemblies = Assemblies()
    assemblies.open('x', 'r', AGENT, is_buffered=False)
    return assemblies


class TestAssemblies:
    @pytest.mark.parametrize(('chunks', 'length', 'expected'), [(2, 4, True), (1, 4, False), (2, 5, False)])
    def test_answer_is_complete_only_as_its_end_marker_states(
        self, chunks: int, length: int, expected: bool
    ) -> None:
        """Guards against an answer that lacks its last chunk, or a part of one, and passes as complete."""
        assemblies = _open()
        for sequence, body in enumerate((b'abc', b'd')):
            assert assemblies.accept(AGENT, AnswerChunk('x', sequence, body)).body == body
        assert assemblies.is_complete('x', chunks, length) is expected

    @pytest.mark.parametrize('change', [{'node': 'a1'}, {'incarnation': 1}, {'incarnation': 3}])
    def test_chunk_of_another_process_is_dropped(self, change: dict[str, object]) -> None:
        """Guards against a late chunk of an agent's former process, and a chunk of another agent."""
        assemblies = _open()
        assert assemblies.accept(dataclasses.replace(AGENT, **change), AnswerChunk('x', 0, b'a')) is None
        assert assemblies.pop_dropped() == {'other_sender': 1}
        assert assemblies.accept(AGENT, AnswerChunk('x', 0, b'a')).body == b'a'


class TestAgent:
    @pytest.fixture
    def world(self) -> World:
        """One entry and one agent that has answered one booking."""
        world = World(make_environment(), entries=1, agents=1)
        world.arrive('e0', make_request('r', 'charge'))
        world.run(1)
        assert world.callers['r'].runs == 1
        return world

    def _start(self, world: World, **changes: object) -> int:
        """Deliver the attempt's message again, with changes, and return the number of runs that follow."""
        sent = next(event.message for _, event in world.history if isinstance(event.message, StartAttempt))
        msg = dataclasses.replace(sent, **changes)
        world.receive(world.processes['a0'], Received(world.processes['e0'].peer, msg))
        world.run(0.5)
        return world.callers['r'].runs - 1

    def test_attempt_for_the_former_process_never_runs(self, world: World) -> None:
        """Guards against a second run of a booking when its message reaches the agent after a restart."""
        assert self._start(world) == 0
        world.start('a0')
        world.run(5)
        assert self._start(world) == 0
        current = world.processes['a0'].peer.incarnation
        assert self._start(world, incarnation=current, attempt_id='new', number=9) == 1

    def test_barred_attempt_that_arrives_later_never_runs(self, world: World) -> None:
        """Guards against a run after the caller was notified that the request did not run."""
        agent, entry = world.processes['a0'], world.processes['e0']
        bar = CancelAttempt('barred', 8, agent.peer.incarnation, only_if_waiting=True)
        world.receive(agent, Received(entry.peer, bar))
        assert self._start(world, attempt_id='barred', number=8) == 0
        assert self._start(world, attempt_id='new', number=9) == 1
