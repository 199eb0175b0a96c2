import json

from basilcove.catalog.commands import (
    NO_ENVIRONMENT,
    AdmitHost,
    ApplyDocument,
    Claim,
    ReadDocument,
    ReadMembers,
    RemoveHost,
)
from basilcove.catalog.events import ProposalFailed, QueryAnswered
from basilcove.catalog.outcomes import (
    ClaimGranted,
    ClaimPending,
    CommandRefused,
    DocumentApplied,
    DocumentRead,
    MembersChanged,
    MembersRead,
    RevisionConflict,
)
from basilcove.consensus.messages import VoteRequest
from basilcove.core.events import Message, Peer, Received, Tick
from basilcove.core.ids import AttemptId, EnvironmentName, NodeId, RequestId, Revision, Role, Stage, Zone
from tests.consensus.cluster import CLIENT, Cluster, claim


def read_members(cluster: Cluster, name: str) -> Message:
    cluster.query(name, ReadMembers())
    cluster.run_until(lambda: cluster.results[name])
    answer = cluster.results[name][0]
    assert isinstance(answer, QueryAnswered)
    return answer.answer


class TestLeadership:
    def test_new_leader_keeps_answered_proposals(self) -> None:
        """Guards against a claim granted twice across a change of leader."""
        cluster = Cluster()
        first = cluster.elect()
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        cluster.kill(first.name)
        cluster.elect()
        second = Claim('key-1', 'print', CLIENT, AttemptId('other'))
        assert cluster.ask('two', second) == ClaimPending(CLIENT, AttemptId('attempt-1'))

    def test_hosts_that_restart_together_elect_within_a_second(self) -> None:
        """Guards against callers refused for lack of a document while restarted hosts wait for a leader."""
        cluster = Cluster()
        cluster.elect()
        for name in cluster.bootstrap:
            cluster.kill(name)
        for name in cluster.bootstrap:
            cluster.start(name)
        began = cluster.now
        cluster.elect()
        assert cluster.now - began < 1

    def test_host_that_restarts_alone_deposes_nobody(self) -> None:
        """Guards against an election by a host that has had no message from its leader yet."""
        cluster = Cluster()
        leader = cluster.elect()
        term = leader.consensus.term
        follower = next(name for name in cluster.bootstrap if name != leader.name)
        cluster.kill(follower)
        cluster.run(0.1)
        cluster.start(follower)
        cluster.run(3)
        assert cluster.leader() is leader
        assert leader.consensus.term == term

    def test_isolated_leader_steps_down_and_its_late_appends_are_refused(self) -> None:
        """Guards against two hosts that both answer, and an old leader that overwrites committed entries."""
        cluster = Cluster()
        old = cluster.elect()
        assert cluster.ask('early', claim(0)) == ClaimGranted()
        cluster.partition(old.name, CLIENT)
        cluster.propose('late', claim(1), timeout_s=0.4)
        cluster.run(0.5)
        assert old.consensus.log.last_index > old.consensus.commit
        old.is_frozen = True
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
        cluster.propose('refused', claim(1), timeout_s=2)
        cluster.run_until(lambda: cluster.results['refused'])
        failed = cluster.results['refused'][0]
        assert isinstance(failed, ProposalFailed)
        assert not failed.sent

    def test_leader_that_was_busy_reads_before_it_steps_down(self) -> None:
        """Guards against a long step of the loop that costs an election though all others answered."""
        cluster = Cluster()
        leader = cluster.elect()
        cluster.run(2)
        leader.is_frozen = True
        cluster.run(0.95)
        leader.is_frozen = False
        cluster.apply(leader, Tick())
        assert leader.is_leader
        cluster.thaw(leader.name)
        cluster.run(3)
        assert leader.is_leader


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
        answer = read_members(cluster, 'members')
        assert isinstance(answer, MembersRead)
        assert NodeId(lost) in answer.voters

    def test_full_disk_stops_acknowledgements(self) -> None:
        """Guards against a replica that acknowledges entries that it could not write."""
        cluster = Cluster()
        leader = cluster.elect()
        first, second = [name for name in cluster.bootstrap if name != leader.name]
        cluster.disks[first].is_full = True
        assert cluster.ask('one', claim(1)) == ClaimGranted()
        cluster.disks[second].is_full = True
        cluster.propose('two', claim(2), timeout_s=3)
        cluster.run_until(lambda: cluster.results['two'])
        failed = cluster.results['two'][0]
        assert isinstance(failed, ProposalFailed)
        assert failed.sent

    def test_replica_rejoins_once_there_is_space(self) -> None:
        """Guards against a group that permanently loses a member whenever a disk is briefly full."""
        cluster = Cluster()
        leader = cluster.elect()
        for number, host in enumerate(cluster.bootstrap):
            cluster.disks[host].is_full = True
            cluster.propose(f'full-{number}', claim(number), timeout_s=2)
            cluster.run(3)
            cluster.free_disk(host)
            cluster.run(2)
        first, second = [name for name in cluster.bootstrap if name != leader.name]
        cluster.kill(leader.name)
        assert cluster.ask('two of three', claim(9)) == ClaimGranted()
        for left in (first, second):
            cluster.disks[left].is_full = True
        cluster.propose('none', claim(10), timeout_s=2)
        cluster.run(4)
        for left in (first, second):
            cluster.free_disk(left)
        assert cluster.ask('again', claim(11)) == ClaimGranted()


class TestTerms:
    def test_entry_of_an_earlier_term_is_not_committed_by_counting(self) -> None:
        """Guards against a commit that a leader of a later term overwrites.

        The entry is too large to travel with the first entry of the new term.
        """
        cluster = Cluster()
        first = cluster.elect()
        cluster.run(1)
        cluster.partition(first.name, CLIENT)
        cluster.propose('large', Claim('key', 'x' * 300_000, CLIENT, AttemptId('large')), timeout_s=1)
        cluster.run(0.2)
        index = first.consensus.log.last_index
        assert first.consensus.commit < index
        cluster.kill(first.name)
        cluster.partition()
        cluster.run_until(cluster.leader, step=0.0002)
        second = cluster.leader()
        assert second is not None
        cluster.partition(second.name)
        cluster.run(0.05)
        cluster.kill(second.name)
        cluster.partition()
        third = next(host for name, host in cluster.hosts.items() if name != first.name)
        first = cluster.start(first.name)
        cluster.run_until(lambda: third.consensus.log.last_index >= index, step=0.0002)
        assert first.is_leader
        assert third.consensus.log.last_index == index
        cluster.cut_one_way = {(first.name, third.name)}
        cluster.run(0.3)
        assert first.consensus.commit < index
        cluster.kill(first.name)
        cluster.partition()
        second = cluster.start(second.name)
        cluster.run_until(lambda: second.consensus.commit >= index and third.consensus.commit >= index)

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

    def test_leader_that_sends_but_receives_nothing_steps_down(self) -> None:
        """Guards against a leader whose heartbeats prevent an election while it can't commit."""
        cluster = Cluster()
        old = cluster.elect()
        others = [name for name in cluster.bootstrap if name != old.name]
        cluster.cut_one_way = {(name, old.name) for name in (*others, CLIENT)}
        cluster.run_until(lambda: (cluster.leader() or old).name in others, limit=5)
        assert cluster.ask('one', claim(1)) == ClaimGranted()

    def test_candidate_counts_its_own_vote_once_it_is_synced(self) -> None:
        """Guards against a leader that votes for another candidate in the same term after a crash."""
        for position in range(2):
            cluster = Cluster()
            old = cluster.elect()
            cluster.kill(old.name)
            slow = [name for name in cluster.bootstrap if name != old.name][position]
            cluster.disks[slow].sync_time = 0.3
            cluster.elect()

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

    def test_resend_of_a_change_of_members_gets_the_first_answer(self) -> None:
        """Guards against a resend that is refused as already done when the first answer was lost."""
        cluster = Cluster(snapshot_after=10, kept=0)
        spare = NodeId('spare')
        cluster.add_host(spare)
        changes = {
            'refused': RemoveHost(spare, RequestId('refused')),
            'admit': AdmitHost(spare, RequestId('admit')),
            'remove': RemoveHost(spare, RequestId('remove')),
        }
        first = {name: cluster.ask(name, change) for name, change in changes.items()}
        assert first['admit'] == first['remove'] == MembersChanged()
        assert first['refused'] == CommandRefused('the host is not a member')
        for number in range(30):
            assert cluster.ask(f'p{number}', claim(number)) == ClaimGranted()
        cluster.kill(cluster.elect().name)
        for name in cluster.bootstrap:
            cluster.kill(name)
            cluster.start(name)
        again = {key: cluster.ask(f'{key} again', change) for key, change in changes.items()}
        assert again == first
        other = cluster.ask('other', AdmitHost(NodeId('spare-2'), RequestId('admit')))
        assert other == CommandRefused('the request id was used for another change')

    def test_resumed_leader_does_not_answer_a_read_from_stale_state(self) -> None:
        """Guards against a read that misses a change which was answered before the read began."""
        cluster = Cluster()
        old = cluster.elect()
        assert cluster.ask('first', apply_command('request-1', revision=0)) == DocumentApplied(Revision(1))
        old.is_frozen = True
        cluster.run_until(lambda: cluster.leader() is not None)
        assert cluster.ask('second', apply_command('request-2', revision=1)) == DocumentApplied(Revision(2))
        others = [name for name in cluster.bootstrap if name != old.name]
        cluster.cut = {frozenset((node, name)) for name in others for node in (CLIENT, old.name)}
        old.inbox.clear()
        cluster.query('read', ReadDocument(EnvironmentName('wandoo'), Stage.TRIAL))
        cluster.run(2)
        assert old.inbox
        cluster.thaw(old.name)
        cluster.run(0.05)
        cluster.partition()
        cluster.run_until(lambda: cluster.results['read'])
        answer = cluster.results['read'][0]
        assert isinstance(answer, QueryAnswered)
        assert isinstance(answer.answer, DocumentRead)
        assert answer.answer.revision == 2

    def test_long_isolated_member_catches_up_by_snapshot(self) -> None:
        """Guards against a member that never catches up once the log no longer has its next entry."""
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
