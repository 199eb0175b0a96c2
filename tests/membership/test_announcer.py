import pytest

from basilcove.core.events import Received
from basilcove.core.ids import NodeId
from basilcove.membership.messages import Announce
from tests.membership.world import World


class TestReturn:
    def test_a_process_that_left_stays_excluded_after_a_timeout(self) -> None:
        """Guards against new work for a leaving upstream that paused for longer than its agent's timeout."""
        world = World()
        world.announce('agent-0', 'engine-0', 'engine-0-key', 1)
        world.leave('agent-0', 'engine-0')
        world.net.run(4)
        assert world.announce('agent-0', 'engine-0', 'engine-0-key', 1)
        world.net.run(1)
        assert not world.witness('entry-0').open

    def test_its_next_process_comes_back(self) -> None:
        """Guards against a name that stays excluded after its process was replaced."""
        world = World()
        world.announce('agent-0', 'engine-0', 'engine-0-key', 1)
        world.leave('agent-0', 'engine-0')
        world.net.run(4)
        world.announce('agent-0', 'engine-0', 'engine-0-key', 2)
        world.net.run(1)
        assert set(world.witness('entry-0').open) == {'engine-0'}


class TestDeparture:
    @pytest.mark.parametrize(
        ('credential', 'incarnation'),
        [('', 2), ('no-such', 2), ('engine-1-key', 2), ('engine-0-key', 1), ('engine-0-key', 3)],
    )
    def test_only_the_process_itself_can_take_its_upstream_out_of_service(
        self, credential: str, incarnation: int
    ) -> None:
        """Guards against another process on the host that takes an upstream out of service."""
        world = World()
        world.announce('agent-0', 'engine-0', 'engine-0-key', 2)
        world.net.run(1)
        world.depart('agent-0', 'engine-0', credential, incarnation)
        world.net.run(1)
        assert set(world.witness('entry-0').open) == {'engine-0'}
        world.depart('agent-0', 'engine-0', 'engine-0-key', 2)
        world.net.run(1)
        assert not world.witness('entry-0').open


class TestFormerAgent:
    def test_an_entry_that_restarted_refuses_a_former_agents_announcement(self) -> None:
        """Guards against an announcement in flight that is accepted after its agent's process ended."""
        world = World()
        world.announce('agent-0', 'engine-0', 'engine-0-key', 1)
        world.net.run(1)
        former = [event for _, event in world.net.history if isinstance(event.message, Announce)][-1]
        world.start('agent-0')
        world.start('entry-0')
        world.net.run(1)
        current = world.net.hosts[NodeId('agent-0')].peer
        world.net.apply('entry-0', Received(current, former.message))
        assert not world.witness('entry-0').open


class TestFormerEntry:
    def test_an_entry_that_restarted_refuses_an_announcement_to_its_former_process(self) -> None:
        """Guards against work for an upstream that left while the entry restarted."""
        world = World()
        world.announce('agent-0', 'engine-0', 'engine-0-key', 1)
        world.net.run(1)
        former = [
            event
            for target, event in world.net.history
            if target == 'entry-0' and isinstance(event.message, Announce)
        ][-1]
        world.net.cut.add(frozenset((NodeId('agent-0'), NodeId('entry-0'))))
        world.start('entry-0')
        world.net.apply('entry-0', former)
        assert not world.witness('entry-0').open


class TestDocument:
    def test_an_upstream_that_the_document_drops_gets_no_work(self) -> None:
        """Guards against upstreams that stay in use after they were removed from the document."""
        world = World()
        world.announce('agent-0', 'engine-0', 'engine-0-key', 1)
        world.net.run(1)
        world.change(('engine-1',))
        assert not world.witness('entry-0').open
        assert not world.announce('agent-0', 'engine-0', 'engine-0-key', 1)
