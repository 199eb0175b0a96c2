import pytest

from basilcove.catalog.outcomes import ClaimGranted
from basilcove.consensus.const import FAULT_TOLERANCE, LOST_AFTER_S, MAX_MEMBERS
from basilcove.core.ids import NodeId
from tests.consensus.cluster import Cluster, claim

NEW = NodeId('host-9')
# From its start, the time after which a host that replaced another one is to make up for it.
SETTLED_S = 4.0
# The same where two hosts may be lost at once.
LARGE_SETTLED_S = 6.0


def voters(cluster: Cluster) -> set[str]:
    leader = cluster.elect()
    return {member.node for member in leader.consensus.members.members if member.voter}


def _freeze(cluster: Cluster, *names: NodeId) -> None:
    for name in names:
        cluster.hosts[name].is_frozen = True


def _lose_disks(cluster: Cluster, *names: NodeId) -> None:
    for name in names:
        cluster.lose_disk(name)


def _full_group(size: int, fault_tolerance: int = FAULT_TOLERANCE) -> Cluster:
    """Return a group that has grown to its size; one of seven hosts began with all."""
    cluster = Cluster(size if size == 7 else 3, admits_unknown=True, fault_tolerance=fault_tolerance)
    for number in range(len(cluster.bootstrap), size):
        cluster.add_host(NodeId(f'host-{number + 1}'))
    cluster.run_until(lambda: len(voters(cluster)) == min(size, 7))
    return cluster


def _lose_learner(cluster: Cluster, name: NodeId) -> None:
    cluster.add_host(name)
    # It can't confirm what a voter must have on its disk.
    cluster.disks[name].sync_time = 5.0
    cluster.run_until(lambda: cluster.elect().consensus.members.find(name))
    cluster.kill(name)
    cluster.run(2.0)


class TestOpenGroup:
    def test_replacement_host_is_admitted_and_the_lost_one_removed(self) -> None:
        """Guards against a group that tolerates no further loss after a host was replaced by another."""
        cluster = Cluster(admits_unknown=True)
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        cluster.kill(NodeId('host-1'))
        cluster.add_host(NEW)
        cluster.run_until(lambda: voters(cluster) == {'host-2', 'host-3', NEW}, limit=40)
        cluster.kill(NodeId('host-2'))
        assert cluster.ask('two', claim(2)) == ClaimGranted()
        assert cluster.elect().catalog.claims

    @pytest.mark.parametrize('replaced', ['host-1', 'host-2', 'host-3'])
    @pytest.mark.parametrize('is_planned', [False, True])
    def test_disk_is_lost_soon_after_a_replacement(self, replaced: str, is_planned: bool) -> None:
        """Guards against a group that never has a leader again, as it waits for a host that was replaced.

        In a planned replacement the successor starts first, so the removed host hardly counts as lost.
        """
        cluster = Cluster(admits_unknown=True)
        cluster.elect()
        if is_planned:
            cluster.add_host(NEW)
            cluster.run(SETTLED_S)
            cluster.kill(NodeId(replaced))
        else:
            cluster.kill(NodeId(replaced))
            cluster.run(0.3)
            cluster.add_host(NEW)
        cluster.run(SETTLED_S)
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        lost = min(set(cluster.bootstrap) - {replaced})
        cluster.lose_disk(lost)
        cluster.run(1.5)
        cluster.start(lost)
        assert cluster.ask('two', claim(2)) == ClaimGranted()
        cluster.run_until(lambda: len(voters(cluster)) == 3, limit=10)

    def test_two_replacements_of_five(self) -> None:
        """Guards against the loss of two disks that a group of five bears, after two hosts were replaced."""
        cluster = Cluster(size=5, admits_unknown=True)
        cluster.elect()
        for number in (1, 2):
            cluster.kill(NodeId(f'host-{number}'))
            cluster.add_host(NodeId(f'host-1{number}'))
        cluster.run(LARGE_SETTLED_S)
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        for name in (NodeId('host-3'), NodeId('host-11')):
            cluster.lose_disk(name)
            cluster.start(name)
        assert cluster.ask('two', claim(2)) == ClaimGranted()

    @pytest.mark.parametrize('size', [5, 6, 8])
    @pytest.mark.parametrize('frozen_s', [1.5, 3.5, LOST_AFTER_S + 2])
    def test_two_disks_are_lost_while_two_others_are_frozen(self, size: int, frozen_s: float) -> None:
        """Guards against a group that never has a leader again, as frozen hosts were removed from it."""
        cluster = _full_group(size)
        first, second, *others = sorted(cluster.hosts, key=lambda name: cluster.hosts[name].is_leader)
        _freeze(cluster, first, second)
        cluster.run(frozen_s)
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        # The leader that acknowledged it is among those whose disks are lost.
        lost = (others[-1], others[0])
        _lose_disks(cluster, *lost)
        cluster.thaw(first)
        cluster.thaw(second)
        cluster.run(2.0)
        for name in lost:
            cluster.start(name)
        assert cluster.ask('two', claim(2)) == ClaimGranted()
        assert cluster.ask('again', claim(1)) == ClaimGranted()
        assert len(cluster.elect().catalog.claims[''].rows) == 2
        cluster.run_until(lambda: len(voters(cluster)) == min(size, 7))

    def test_two_disks_are_lost_in_turn_while_another_host_is_frozen(self) -> None:
        """Guards against the removal of a frozen host while the successor of a lost disk doesn't vote yet."""
        cluster = _full_group(5)
        lost, frozen, *others = sorted(cluster.hosts, key=lambda name: cluster.hosts[name].is_leader)
        _lose_disks(cluster, lost)
        cluster.start(lost)
        # It can't confirm what a voter must have on its disk.
        cluster.disks[lost].sync_time = 3.0
        cluster.run(0.5)
        _freeze(cluster, frozen)
        cluster.run(3.0)
        cluster.disks[lost].sync_time = None
        cluster.run(4.0)
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        _lose_disks(cluster, *others[-2:])
        cluster.thaw(frozen)
        for name in others[-2:]:
            cluster.start(name)
        assert cluster.ask('two', claim(2)) == ClaimGranted()

    def test_restart_of_all_while_two_hosts_are_frozen(self) -> None:
        """Guards against a group that forgets in a loss of power which hosts hold its entries."""
        cluster = _full_group(5)
        first, second, *others = sorted(cluster.hosts, key=lambda name: cluster.hosts[name].is_leader)
        _freeze(cluster, first, second)
        cluster.run(3.0)
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        for name in others:
            cluster.kill(name)
        _lose_disks(cluster, *others[:2])
        for name in others:
            cluster.start(name)
        cluster.run(1.0)
        cluster.thaw(first)
        cluster.thaw(second)
        assert cluster.ask('two', claim(2)) == ClaimGranted()
        assert len(cluster.elect().catalog.claims[''].rows) == 2

    def test_successor_replaces_the_host_that_is_gone_and_not_a_frozen_one(self) -> None:
        """Guards against a group that drops the disk of a frozen host for that of one that is gone."""
        cluster = _full_group(5)
        gone, frozen, *others = sorted(cluster.hosts, key=lambda name: cluster.hosts[name].is_leader)
        cluster.kill(gone)
        cluster.run(0.5)
        _freeze(cluster, frozen)
        cluster.add_host(NEW)
        cluster.run(LARGE_SETTLED_S)
        assert voters(cluster) == {*others, frozen, NEW}
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        _lose_disks(cluster, *others[-2:])
        cluster.thaw(frozen)
        for name in others[-2:]:
            cluster.start(name)
        assert cluster.ask('two', claim(2)) == ClaimGranted()

    def test_lost_hosts_are_replaced_in_a_full_group(self) -> None:
        """Guards against successors that never vote, as the group has all the voters that it may have."""
        cluster = _full_group(7, fault_tolerance=3)
        lost = sorted(cluster.hosts, key=lambda name: cluster.hosts[name].is_leader)[:3]
        for number, name in enumerate(lost):
            cluster.kill(name)
            cluster.add_host(NodeId(f'host-2{number}'))
        cluster.run_until(lambda: not voters(cluster).intersection(lost))
        assert len(voters(cluster)) == 7

    def test_hosts_that_are_lost_as_learners(self) -> None:
        """Guards against a group that is full of hosts which were lost before they became voters."""
        cluster = Cluster(admits_unknown=True)
        for number in range(MAX_MEMBERS):
            _lose_learner(cluster, NodeId(f'host-2{number}'))
        cluster.run(LOST_AFTER_S)
        cluster.add_host(NEW)
        cluster.run_until(lambda: NEW in voters(cluster))

    def test_host_that_is_down_briefly_remains_a_voter(self) -> None:
        """Guards against a group that shrinks with every restart."""
        cluster = Cluster(admits_unknown=True)
        cluster.elect()
        cluster.add_host(NEW)
        cluster.run_until(lambda: len(voters(cluster)) == 4, limit=40)
        cluster.kill(NodeId('host-1'))
        cluster.run(LOST_AFTER_S / 2)
        cluster.start(NodeId('host-1'))
        cluster.run(LOST_AFTER_S * 2)
        assert len(voters(cluster)) == 4

    def test_no_voter_is_removed_below_three(self) -> None:
        """Guards against a group of two, which tolerates no loss at all."""
        cluster = Cluster(admits_unknown=True)
        cluster.elect()
        cluster.kill(NodeId('host-1'))
        cluster.run(3 * LOST_AFTER_S)
        assert len(voters(cluster)) == 3

    def test_removed_host_rejoins(self) -> None:
        """Guards against a host that is excluded for ever after it was cut off for long."""
        cluster = Cluster(admits_unknown=True)
        cluster.elect()
        cluster.add_host(NEW)
        cluster.run_until(lambda: len(voters(cluster)) == 4, limit=40)
        cluster.partition(NodeId('host-1'))
        cluster.run_until(lambda: len(voters(cluster)) == 3, limit=40)
        cluster.partition()
        cluster.run_until(lambda: len(voters(cluster)) == 4, limit=60)

    def test_host_without_first_members_never_forms_a_group(self) -> None:
        """Guards against a second group of hosts that can't reach the first."""
        cluster = Cluster(admits_unknown=True)
        cluster.elect()
        cluster.partition(NEW)
        cluster.add_host(NEW)
        cluster.partition(NEW)
        cluster.run(20)
        assert not cluster.hosts[NEW].consensus.cluster

    def test_closed_group_admits_no_unknown_host(self) -> None:
        """Guards against a host that joins without an operator where that isn't allowed."""
        cluster = Cluster()
        cluster.elect()
        cluster.add_host(NEW)
        cluster.run(20)
        assert len(voters(cluster)) == 3
