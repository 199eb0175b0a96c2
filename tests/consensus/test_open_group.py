from basilcove.catalog.outcomes import ClaimGranted
from basilcove.consensus.const import LOST_AFTER_S
from basilcove.core.ids import NodeId
from tests.consensus.cluster import Cluster, claim

NEW = NodeId('host-9')


def voters(cluster: Cluster) -> set[str]:
    lead = cluster.elect()
    return {member.node for member in lead.consensus.members.members if member.voter}


class TestOpenGroup:
    def test_replaced_host_is_taken_in_and_the_lost_one_removed(self) -> None:
        """Guards against a group that bears no further loss after a host was replaced by another."""
        cluster = Cluster(admits_unknown=True)
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        cluster.kill(NodeId('host-1'))
        cluster.add_host(NEW)
        cluster.run_until(lambda: voters(cluster) == {'host-2', 'host-3', NEW}, limit=40)
        cluster.kill(NodeId('host-2'))
        assert cluster.ask('two', claim(2)) == ClaimGranted()
        assert cluster.elect().catalog.claims

    def test_host_that_is_away_shortly_keeps_its_place(self) -> None:
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
        """Guards against a group of two, which bears no loss at all."""
        cluster = Cluster(admits_unknown=True)
        cluster.elect()
        cluster.kill(NodeId('host-1'))
        cluster.run(3 * LOST_AFTER_S)
        assert len(voters(cluster)) == 3

    def test_removed_host_comes_back(self) -> None:
        """Guards against a host that was cut off for long and stays out for good."""
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

    def test_closed_group_takes_nobody_in(self) -> None:
        """Guards against a host that joins without an operator where that isn't allowed."""
        cluster = Cluster()
        cluster.elect()
        cluster.add_host(NEW)
        cluster.run(20)
        assert len(voters(cluster)) == 3
