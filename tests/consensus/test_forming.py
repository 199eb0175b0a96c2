from functools import partial

from basilcove.catalog.commands import AdmitHost, Claim
from basilcove.catalog.outcomes import ClaimGranted, MembersChanged
from basilcove.core.ids import AttemptId, NodeId, RequestId
from tests.consensus.cluster import CLIENT, Cluster, Host


def _is_voter(host: Host) -> bool:
    return host.consensus.member in host.consensus.members.voters()


class TestFirstStart:
    def test_a_lost_disk_never_brings_back_the_first_identity(self) -> None:
        """Guards against a member that lost the record of its vote and votes again in the same term."""
        cluster = Cluster()
        cluster.elect()
        for name in cluster.bootstrap:
            cluster.lose_disk(name)
            host = cluster.start(name)
            cluster.run_until(partial(_is_voter, host))
            assert host.consensus.member == f'{name}:{host.incarnation}'

    def test_no_cluster_forms_while_a_first_member_is_down(self) -> None:
        """Guards against two clusters that form on both sides of a partition."""
        cluster = Cluster(5)
        cluster.kill(cluster.bootstrap[0])
        cluster.run(10)
        assert not cluster.leaders
        cluster.start(cluster.bootstrap[0])
        assert cluster.elect()


class TestJoin:
    def test_joining_again_after_the_admitting_entry_was_lost(self) -> None:
        """Guards against a host that never asks again, since its log has an uncommitted admission.

        The leader admits the host and replicates the entry to it alone; the
        next leader does not have the entry.
        """
        cluster = Cluster()
        leader = cluster.elect()
        lost, other = [name for name in cluster.bootstrap if name != leader.name]
        cluster.lose_disk(lost)
        cluster.run(0.2)
        cluster.cut = {frozenset((leader.name, other))}
        host = cluster.start(lost)
        cluster.run_until(lambda: host.consensus.members.find(lost) is not None)
        cluster.kill(leader.name)
        cluster.cut.clear()
        cluster.run(1)
        cluster.start(leader.name)
        cluster.run_until(lambda: host.consensus.member in cluster.elect().consensus.members.voters())

    def test_admitted_host_becomes_a_voter(self) -> None:
        """Guards against a group that can't be moved to other hosts."""
        cluster = Cluster(snapshot_after=5, kept=0)
        cluster.elect()
        for number in range(30):
            claim = Claim(f'key-{number}', 'print', CLIENT, AttemptId(f'attempt-{number}'))
            assert cluster.ask(f'claim-{number}', claim) == ClaimGranted()
        spare = NodeId('spare')
        cluster.add_host(spare)
        assert cluster.ask('admit', AdmitHost(spare, RequestId('admit'))) == MembersChanged()
        voters = 4
        cluster.run_until(lambda: len(cluster.elect().consensus.members.voters()) == voters)
        cluster.run_until(lambda: cluster.hosts[spare].catalog == cluster.elect().catalog)


class TestChanges:
    def test_second_change_waits_for_the_first(self) -> None:
        """Guards against two groups without a common majority."""
        cluster = Cluster()
        leader = cluster.elect()
        cluster.partition(leader.name, CLIENT)
        for name in ('spare-1', 'spare-2'):
            cluster.propose(name, AdmitHost(NodeId(name), RequestId(name)))
        cluster.run(0.4)
        assert len(leader.consensus.history) == 2

    def test_new_leader_changes_nothing_before_an_entry_of_its_term(self) -> None:
        """Guards against a change concurrent with one that a former leader committed, unknown to this one."""
        cluster = Cluster()
        first = cluster.elect()
        cluster.run(1)
        cluster.kill(first.name)
        cluster.run_until(cluster.leader, step=0.0002)
        leader = cluster.leader()
        assert leader is not None
        cluster.sync_time = 5
        cluster.propose('spare', AdmitHost(NodeId('spare'), RequestId('spare')))
        cluster.run(3)
        assert leader.is_leader
        assert len(leader.consensus.history) == 1
