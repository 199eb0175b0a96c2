import json

from basilcove.catalog.commands import NO_ENVIRONMENT, ApplyDocument, Claim, ReadMembers
from basilcove.catalog.events import ProposalFailed, Proposed, QueryAnswered
from basilcove.catalog.outcomes import (
    ClaimGranted,
    ClaimPending,
    DocumentApplied,
    MembersRead,
    RevisionConflict,
)
from basilcove.consensus.const import ELECTION_TIMEOUT_S
from basilcove.consensus.messages import VoteRequest
from basilcove.core.events import Message, Peer, Received
from basilcove.core.ids import AttemptId, EnvironmentName, NodeId, RequestId, Revision, Role, Stage, Zone
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


class TestPlannedStop:
    def test_stopping_leader_answers_and_hands_over(self) -> None:
        """Guards against a planned stop that leaves proposals to an election timeout."""
        cluster = Cluster()
        old = cluster.elect()
        cluster.propose('early', claim(1))
        cluster.run_until(lambda: old.catalog.claims or old.consensus.log.last_index > old.consensus.commit)
        cluster.stop(old.name)
        cluster.propose('late', claim(2))
        began = cluster.now
        cluster.run_until(lambda: old.name in cluster.stopped)
        assert not old.is_leader
        cluster.kill(old.name)
        cluster.run_until(lambda: cluster.results['early'] and cluster.results['late'])
        for name in ('early', 'late'):
            assert cluster.results[name] == [Proposed(name, ClaimGranted())]
        assert cluster.now - began < ELECTION_TIMEOUT_S

    def test_follower_that_lacks_entries_is_not_asked_to_lead(self) -> None:
        """Guards against a handover to a member that can't win, which costs an election timeout."""
        cluster = Cluster()
        old = cluster.elect()
        behind, current = [name for name in cluster.bootstrap if name != old.name]
        cluster.cut_one_way = {(old.name, behind)}
        cluster.run(0.2)
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        cluster.stop(old.name)
        cluster.run_until(lambda: old.name in cluster.stopped)
        assert cluster.elect().name == current

    def test_stop_without_majority_ends(self) -> None:
        """Guards against a stop that waits for a successor that can't exist."""
        cluster = Cluster()
        old = cluster.elect()
        for name in cluster.bootstrap:
            if name != old.name:
                cluster.kill(name)
        cluster.stop(old.name)
        cluster.run_until(lambda: old.name in cluster.stopped, limit=3)


class TestTerms:
    def test_isolated_follower_returns_without_an_election(self) -> None:
        """Guards against a host that deposes the leader each time its partition ends."""
        cluster = Cluster()
        leader = cluster.elect()
        term = leader.consensus.term
        away = next(name for name in cluster.bootstrap if name != leader.name)
        cluster.partition(away)
        cluster.run(30)
        cluster.partition()
        cluster.run(5)
        assert (leader.is_leader, leader.consensus.term) == (True, term)
        assert cluster.hosts[away].consensus.term == term

    def test_leader_that_sends_but_hears_nothing_steps_down(self) -> None:
        """Guards against a leader whose heartbeats hold back an election while it can't commit."""
        cluster = Cluster()
        old = cluster.elect()
        others = [name for name in cluster.bootstrap if name != old.name]
        cluster.cut_one_way = {(name, old.name) for name in (*others, CLIENT)}
        cluster.run_until(lambda: (cluster.leader() or old).name in others, limit=5)
        assert cluster.ask('one', claim(1)) == ClaimGranted()

    def test_vote_that_a_crash_lost_was_not_sent(self) -> None:
        """Guards against a member that votes twice in a term, once before and once after a crash."""
        cluster = Cluster()
        cluster.elect()
        voter, candidate, other = (cluster.hosts[name] for name in cluster.bootstrap)
        term = max(host.consensus.term for host in cluster.hosts.values()) + 1
        cluster.partition(*cluster.bootstrap)
        cluster.run(3)
        cluster.partition()
        for host in (candidate, other):
            last = (voter.consensus.log.last_index, voter.consensus.log.last_term)
            ask = VoteRequest(voter.consensus.cluster, host.consensus.member, term, *last, trial=False)
            cluster.sync_time = 5
            sent = cluster.bytes_sent[voter.name, 'consensus.vote_answer']
            peer = Peer(host.name, (Role.CONTROL,), host.incarnation, Zone('zone'))
            cluster.apply(voter, Received(peer, ask))
            assert cluster.bytes_sent[voter.name, 'consensus.vote_answer'] == sent
            cluster.kill(voter.name)
            cluster.sync_time = 0.002
            voter = cluster.start(voter.name)


class TestChanges:
    def test_resend_after_a_leader_change_and_a_snapshot_gets_the_first_answer(self) -> None:
        """Guards against a change that is refused or made twice when its answer was lost."""
        cluster = Cluster(snapshot_after=10, kept=0)
        change = apply_command('request-1', revision=0)
        assert cluster.ask('first', change) == DocumentApplied(Revision(1))
        for number in range(30):
            assert cluster.ask(f'p{number}', claim(number)) == ClaimGranted()
        cluster.lose_disk(cluster.elect().name)
        for name in cluster.bootstrap:
            cluster.kill(name)
            cluster.start(name)
        assert cluster.ask('again', change) == DocumentApplied(Revision(1))
        assert cluster.ask('other', apply_command('request-2', revision=0)) == RevisionConflict(Revision(1))

    def test_long_isolated_member_catches_up_by_snapshot(self) -> None:
        """Guards against a member that never catches up once the log no longer reaches back."""
        cluster = Cluster(snapshot_after=50, kept=5)
        leader = cluster.elect()
        away = next(name for name in cluster.bootstrap if name != leader.name)
        cluster.partition(away)
        for number in range(400):
            assert cluster.ask(f'p{number}', claim(number)) == ClaimGranted()
        cluster.partition()
        cluster.run_until(lambda: cluster.hosts[away].catalog == leader.catalog)
        assert cluster.bytes_sent[leader.name, 'consensus.snapshot_chunk']


def apply_command(request_id: str, revision: int) -> ApplyDocument:
    text = json.dumps({'name': 'wandoo', 'priorities': {}, 'teams': {}})
    name = EnvironmentName('wandoo')
    return ApplyDocument(name, Stage.TRIAL, Revision(revision), text, RequestId(request_id))
