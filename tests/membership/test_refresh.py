import pytest

from basilcove.core.events import Received
from basilcove.core.ids import NodeId, UpstreamName
from basilcove.membership.events import LoadMeasured
from basilcove.membership.messages import Load, Refresh
from basilcove.membership.models import MembershipState
from tests.membership.test_fuzz import NO_NEW_WORK_S
from tests.membership.world import ENTRIES, World

ENGINE = UpstreamName('engine-0')
REPAIR_TIMEOUT_S = 1.5


@pytest.fixture
def world() -> World:
    """Return a world in which one upstream is announced to every entry."""
    world = World()
    world.announce('agent-0', ENGINE, 'engine-0-key', 1)
    world.net.run(0.3)
    assert all(world.witness(entry).open for entry in ENTRIES)
    return world


def _run(world: World, duration_s: float) -> None:
    """Advance the clock while the upstream announces itself to its agent."""
    for _ in range(round(duration_s / 0.5)):
        world.announce('agent-0', ENGINE, 'engine-0-key', 1)
        world.net.run(0.5)


def _count(world: World, kind: str) -> int:
    return len(world.net.sent.get(f'membership.{kind}', ()))


class TestIdle:
    def test_nothing_is_announced_again_while_nothing_changes(self, world: World) -> None:
        """Guards against needless announcements, and against upstreams that are lost without them."""
        announced = _count(world, 'announce')
        refreshed = _count(world, 'refresh')
        _run(world, 10)
        assert _count(world, 'announce') == announced
        # Two entries and a control host, each at most once in 0.9 s.
        assert _count(world, 'refresh') - refreshed <= 3 * 12
        assert all(world.witness(entry).open for entry in ENTRIES)

    def test_a_new_link_causes_no_announcements_on_the_others(self, world: World) -> None:
        """Guards against announcements to all entries whenever one of them restarts."""
        announced = _count(world, 'announce')
        world.start('entry-0')
        _run(world, 1)
        assert set(world.witness('entry-0').open) == {ENGINE}
        assert _count(world, 'announce') - announced == 1


class TestLostAnnouncement:
    def test_a_lost_leaving_announcement_is_repaired_in_time(self, world: World) -> None:
        """Guards against work for an upstream whose last announcement was lost while refreshes arrive."""
        world.leave_unheard('agent-0', ENGINE)
        _run(world, NO_NEW_WORK_S)
        assert not any(world.witness(entry).open for entry in ENTRIES)

    def test_a_leaving_announcement_that_never_arrives_still_closes_the_upstream(self, world: World) -> None:
        """Guards against a refresh that renews an upstream whose last announcement is missing."""
        world.lose_announcements()
        world.leave('agent-0', ENGINE)
        _run(world, NO_NEW_WORK_S)
        assert not any(world.witness(entry).open for entry in ENTRIES)

    def test_an_upstream_that_is_gone_is_closed_while_its_agent_sends_refreshes(self, world: World) -> None:
        """Guards against a refresh for one upstream that renews another on the same host."""
        world.announce('agent-0', 'engine-1', 'engine-1-key', 1)
        world.net.run(1)
        world.lose_announcements()
        # The agent drops the silent upstream after 3 s; its last announcement is lost.
        _run(world, 3.5 + NO_NEW_WORK_S)
        assert [set(world.witness(entry).open) for entry in ENTRIES] == [{ENGINE}, {ENGINE}]

    def test_a_lost_first_announcement_is_repaired(self) -> None:
        """Guards against an upstream that stays unknown to the entries until it changes."""
        world = World()
        world.net.loss = 1
        world.announce('agent-0', ENGINE, 'engine-0-key', 1)
        world.net.loss = 0
        _run(world, REPAIR_TIMEOUT_S)
        assert all(world.witness(entry).open for entry in ENTRIES)

    def test_an_entry_that_lost_the_upstream_requests_its_announcement(self, world: World) -> None:
        """Guards against an upstream that is lost with one of two links and not announced on the other."""
        entry = world.net.hosts[NodeId('entry-0')]
        entry.node.part(MembershipState).upstreams.clear()
        world.witness('entry-0').open.clear()
        _run(world, REPAIR_TIMEOUT_S)
        assert set(world.witness('entry-0').open) == {ENGINE}

    def test_an_entry_with_its_first_document_requests_announcements_immediately(self, world: World) -> None:
        """Guards against an entry that is ready and has no upstream until the next refresh."""
        world.start('entry-0', has_document=False)
        world.net.run(0.5)
        world.apply_document('entry-0')
        world.net.run(0.1)
        assert set(world.witness('entry-0').open) == {ENGINE}


class TestReplayedRefresh:
    def test_a_recorded_refresh_does_not_renew_an_upstream(self, world: World) -> None:
        """Guards against work for an agent that is gone while late copies of its messages still arrive."""
        _run(world, 1)
        recorded = [event for _, event in world.net.history if isinstance(event.message, Refresh)][-1]
        agent = NodeId('agent-0')
        world.net.cut |= {frozenset((agent, NodeId(node))) for node in (*ENTRIES, 'control-0')}
        for _ in range(round(NO_NEW_WORK_S / 0.1)):
            world.net.apply('entry-0', Received(recorded.peer, recorded.message))
            world.net.run(0.1)
        assert not world.witness('entry-0').open


class TestLoad:
    def test_a_load_reaches_all_entries_once_and_is_announced_on_new_links(self, world: World) -> None:
        """Guards against load reports that wait for the next announcement or are sent with each refresh."""
        world.net.apply('agent-0', LoadMeasured(ENGINE, Load(100, 2, 400)))
        world.net.run(0.1)
        assert [world.witness(entry).loads for entry in ENTRIES] == [[100], [100]]
        _run(world, 3)
        assert [world.witness(entry).loads for entry in ENTRIES] == [[100], [100]]
        world.start('entry-0')
        _run(world, 1)
        assert world.witness('entry-0').loads == [100]
