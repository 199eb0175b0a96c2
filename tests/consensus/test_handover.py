from functools import partial

from basilcove.catalog.events import Proposed
from basilcove.catalog.outcomes import ClaimGranted
from basilcove.consensus.const import ELECTION_TIMEOUT_S
from tests.consensus.cluster import Cluster, claim


class TestPlannedStop:
    def test_stopping_leader_answers_and_hands_over(self) -> None:
        """Guards against a planned stop that delays proposals by an election timeout."""
        cluster = Cluster()
        old = cluster.elect()
        cluster.propose('early', claim(1))
        cluster.run_until(lambda: old.consensus.log.last_index > old.consensus.commit, step=0.0005)
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

    def test_stop_waits_for_pending_answers(self) -> None:
        """Guards against a handover that loses the answer to a proposal which only the old leader tracks."""
        cluster = Cluster()
        old = cluster.elect()
        cluster.run(1)
        cluster.cut_one_way = {(old.name, next(name for name in cluster.bootstrap if name != old.name))}
        cluster.disks[old.name].sync_time = 0.3
        cluster.propose('early', claim(1))
        cluster.run_until(lambda: old.consensus.log.last_index > old.consensus.commit, step=0.0005)
        cluster.stop(old.name)
        cluster.run_until(lambda: not old.is_leader)
        cluster.run(0.01)
        assert cluster.results['early'] == [Proposed('early', ClaimGranted())]

    def test_follower_that_lacks_entries_is_not_asked_to_lead(self) -> None:
        """Guards against a handover to a member that can't win, which costs an election timeout."""
        for seed in range(4):
            cluster = Cluster(seed=seed)
            old = cluster.elect()
            cluster.run(1)
            behind, current = [name for name in cluster.bootstrap if name != old.name]
            cluster.disks[behind].sync_time = 5
            assert cluster.ask('one', claim(1)) == ClaimGranted()
            cluster.run(1)
            cluster.stop(old.name)
            successor = cluster.hosts[current].consensus
            cluster.run_until(partial(getattr, successor, 'is_leader'), limit=0.2)
            cluster.run_until(partial(cluster.stopped.__contains__, old.name), limit=0.2)

    def test_stop_without_majority_ends(self) -> None:
        """Guards against a stop that waits for a successor that can't exist."""
        cluster = Cluster()
        old = cluster.elect()
        for name in cluster.bootstrap:
            if name != old.name:
                cluster.kill(name)
        cluster.stop(old.name)
        cluster.run_until(lambda: old.name in cluster.stopped, limit=3)
