from basilcove.catalog.commands import NO_ENVIRONMENT, Claim, ReadMembers
from basilcove.catalog.events import ProposalFailed, QueryAnswered
from basilcove.catalog.outcomes import ClaimGranted, ClaimPending, MembersRead
from basilcove.core.events import Message
from basilcove.core.ids import AttemptId, NodeId
from tests.consensus.cluster import CLIENT, Cluster


def claim(number: int) -> Claim:
    return Claim(f'key-{number}', 'print', CLIENT, AttemptId(f'attempt-{number}'))


def members(cluster: Cluster, name: str) -> Message:
    cluster.query(name, ReadMembers())
    cluster.run_until(lambda: cluster.results[name])
    answer = cluster.results[name][0]
    assert isinstance(answer, QueryAnswered)
    return answer.answer


class TestLeadership:
    def test_new_leader_keeps_what_was_answered(self) -> None:
        """Guards against a claim granted twice across a change of leader."""
        cluster = Cluster()
        first = cluster.elect()
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        cluster.kill(first.name)
        cluster.elect()
        second = Claim('key-1', 'print', CLIENT, AttemptId('other'))
        assert cluster.ask('two', second) == ClaimPending(CLIENT, AttemptId('attempt-1'))

    def test_isolated_leader_steps_down_and_its_late_appends_are_refused(self) -> None:
        """Guards against two hosts that both answer, and against an old leader that overwrites."""
        cluster = Cluster()
        old = cluster.elect()
        assert cluster.ask('early', claim(0)) == ClaimGranted()
        cluster.partition(old.name, CLIENT)
        cluster.propose('late', claim(1), patience=0.4)
        cluster.run(0.5)
        assert old.consensus.log.last_index > old.consensus.commit
        old.frozen = True
        cluster.elect()
        cluster.partition()
        cluster.thaw(old.name)
        cluster.run(3)
        assert not old.is_leader
        assert 'key-1' not in old.catalog.claims[NO_ENVIRONMENT].rows
        assert old.catalog == cluster.elect().catalog

    def test_leader_without_majority_steps_down_within_an_election_timeout(self) -> None:
        """Guards against a leader that accepts proposals for as long as a partition lasts."""
        cluster = Cluster()
        old = cluster.elect()
        cluster.partition(old.name, CLIENT)
        cluster.run(1.2)
        assert not old.is_leader
        cluster.propose('refused', claim(1), patience=2)
        cluster.run_until(lambda: cluster.results['refused'])
        failed = cluster.results['refused'][0]
        assert isinstance(failed, ProposalFailed)
        assert not failed.sent


class TestRepair:
    def test_second_member_lost_right_after_a_repair(self) -> None:
        """Guards against a vote of a repaired member that lacks committed entries."""
        cluster = Cluster(snapshot_after=20, kept=0)
        leader = cluster.elect()
        for number in range(200):
            cluster.propose(f'p{number}', claim(number))
        cluster.run_until(lambda: len(cluster.results) >= 200)
        lost, other = [name for name in cluster.bootstrap if name != leader.name]
        cluster.lose_disk(lost)
        repaired = cluster.start(lost)
        assert repaired.consensus.member == ''
        cluster.run_until(lambda: repaired.consensus.member in repaired.consensus.members.voters())
        assert repaired.consensus.member != f'{lost}:0'
        cluster.run_until(lambda: repaired.consensus.member in cluster.elect().consensus.members.voters())
        cluster.lose_disk(leader.name)
        assert cluster.elect().name in {lost, other}
        assert cluster.ask('again', claim(0)) == ClaimGranted()
        answer = members(cluster, 'members')
        assert isinstance(answer, MembersRead)
        assert NodeId(lost) in answer.voters

    def test_full_disk_stops_acknowledgements(self) -> None:
        """Guards against a replica that acknowledges what it could not write."""
        cluster = Cluster()
        leader = cluster.elect()
        first, second = [name for name in cluster.bootstrap if name != leader.name]
        cluster.disks[first].is_full = True
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        cluster.disks[second].is_full = True
        cluster.propose('two', claim(2), patience=3)
        cluster.run_until(lambda: cluster.results['two'])
        failed = cluster.results['two'][0]
        assert isinstance(failed, ProposalFailed)
        assert failed.sent
