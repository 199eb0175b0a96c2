import dataclasses

from basilcove.core.ids import NodeId
from basilcove.distribution.messages import Chunk
from tests.distribution.fleet import Fleet
from tests.distribution.machine import corrupt


class TestFallback:
    def test_a_delta_that_does_not_fit_is_followed_by_a_whole_copy(self) -> None:
        """Guards against a node that requests the same damaged delta forever."""
        fleet = Fleet()
        fleet.accept(['control-1', 'control-2', 'control-3'], teams=60)
        fleet.net.run(5)
        for other in fleet.layout():
            if other != 'control-1':
                fleet.net.cut.add(frozenset((NodeId('entry-1'), NodeId(other))))
        fleet.net.cut.add(frozenset((NodeId('entry-1'), NodeId('control-1'))))
        fleet.accept(['control-1', 'control-2', 'control-3'], teams=60)
        fleet.net.run(3)
        steps = fleet.state('control-1').own.history.steps
        base, step = steps[-1]
        steps[-1] = (base, dataclasses.replace(step, patch=step.patch.replace('10', '11')))
        fleet.net.cut.discard(frozenset((NodeId('entry-1'), NodeId('control-1'))))
        fleet.net.run(4)
        assert fleet.in_effect('entry-1')[-1] == (2, fleet.accepted[2])


class TestCost:
    def test_documents_in_quick_succession_are_fetched_together(self) -> None:
        """Guards against a node whose requests are delayed while it loads each of many documents."""
        fleet = Fleet(min_interval_s=0.5)
        fleet.accept(['control-1', 'control-2', 'control-3'])
        fleet.net.run(5)
        for _ in range(20):
            fleet.accept(['control-1', 'control-2', 'control-3'])
            fleet.net.run(0.1)
        fleet.net.run(2)
        in_effect = fleet.in_effect('entry-1')
        assert in_effect[-1][0] == 21
        assert len(in_effect) <= 7

    def test_without_deltas_whole_copies_are_sent(self) -> None:
        """Guards against a node that computes changes which no peer requests."""
        fleet = Fleet(deltas=False)
        for _ in range(3):
            fleet.accept(['control-1', 'control-2', 'control-3'], teams=60)
            fleet.net.run(5)
        assert fleet.in_effect('entry-1')[-1] == (3, fleet.accepted[3])
        assert not fleet.state('entry-1').own.history.steps
        assert not fleet.state('control-1').own.history.steps


class TestLoss:
    def test_a_change_reaches_all_nodes_in_time_although_a_fifth_of_messages_is_lost(self) -> None:
        """Guards against an offer or request whose loss delays a change beyond 4 s."""
        for seed in range(10):
            fleet = Fleet(seed)
            fleet.accept(['control-1', 'control-2'])
            fleet.net.run(6)
            fleet.net.loss = 0.2
            fleet.accept(['control-1', 'control-2'])
            fleet.net.run(4)
            late = [name for name in fleet.layout() if fleet.in_effect(name)[-1][0] != 2]
            assert not late, f'seed {seed}: {late}'


class TestDigests:
    def test_a_whole_copy_with_another_content_is_not_stored(self) -> None:
        """Guards against a readable document that was never accepted."""
        fleet = Fleet()
        fleet.accept(['control-1', 'control-2', 'control-3'])
        fleet.net.run(3)
        fleet.net.corruption = 1
        fleet.net.corrupt = lambda message: corrupt(message, 0) if isinstance(message, Chunk) else None
        fleet.start('entry-1', 'nobsa')
        fleet.net.run(4)
        assert not fleet.in_effect('entry-1')
        fleet.net.corruption = 0
        fleet.net.run(4)
        assert fleet.in_effect('entry-1') == [(1, fleet.accepted[1])]
