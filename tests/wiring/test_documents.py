from basilcove.core.events import Peer, Received
from basilcove.core.ids import NodeId, Revision, Role, Stage
from basilcove.distribution.const import HIGHEST_OFFER_WAIT_S, IDLE_OFFER_INTERVAL_S, LEADERLESS_AFTER_S
from basilcove.distribution.events import RevisionConfirmed
from basilcove.distribution.messages import Offer
from basilcove.distribution.models import DistributionState
from tests.consensus.cluster import CLIENT
from tests.consensus.oracle import ENVIRONMENT
from tests.wiring.deployment import Deployment

SPARES = (NodeId('host-4'), NodeId('host-5'))
# Less than the time after which a node considers itself cut off and no longer counts a majority.
BEFORE_CUT_OFF_S = 2.5


class TestVoters:
    def test_restarted_entry_counts_the_present_voters(self) -> None:
        """Guards against an entry that considers itself cut off because its settings name replaced hosts."""
        cluster = Deployment()
        cluster.accept(1)
        for former, spare in zip(cluster.bootstrap, SPARES, strict=False):
            cluster.replace(former, spare)
            cluster.kill(former)
        remaining = cluster.bootstrap[-1]
        cluster.run(3)
        entry = cluster.restart_entry(remaining, SPARES[0])
        cluster.run(BEFORE_CUT_OFF_S)
        assert entry.control_nodes == {remaining, *SPARES}
        assert entry.ready
        # The host need not send the voters again with each of its offers.
        cluster.run(IDLE_OFFER_INTERVAL_S * 2)
        view = cluster.hosts[remaining].node.part(DistributionState).peers[CLIENT]
        assert entry.voters_index
        assert view.voters_index == entry.voters_index

    def test_removed_hosts_that_still_run_are_no_majority(self) -> None:
        """Guards against a former majority that confirms a former revision."""
        cluster = Deployment()
        cluster.accept(1)
        for former, spare in zip(cluster.bootstrap, SPARES, strict=False):
            cluster.replace(former, spare)
        cluster.accept(2)
        cluster.run(3)
        entry = cluster.restart_entry(*cluster.bootstrap[:2])
        cluster.run(BEFORE_CUT_OFF_S)
        assert (entry.ready, entry.voters_index) == (False, 0)
        cluster.link(cluster.bootstrap[2], *SPARES)
        cluster.run(BEFORE_CUT_OFF_S)
        assert (entry.ready, entry.revision_in_effect) == (True, 2)

    def test_older_list_of_voters_replaces_no_newer_one(self) -> None:
        """Guards against a late offer of a former group, and against a list that no control host sent."""
        cluster = Deployment()
        entry = cluster.restart_entry(*cluster.bootstrap)
        sender = cluster.bootstrap[0]
        genuine = entry.peers[sender].peer
        other = Peer(genuine.node, (Role.ENTRY,), genuine.incarnation, genuine.zone)
        for peer, index, spare in ((genuine, 9, SPARES[0]), (genuine, 5, SPARES[1]), (other, 10, SPARES[1])):
            entry.peers[sender].peer = peer
            offer = Offer(ENVIRONMENT, Stage.TRIAL, Revision(0), b'', False, True, index, (sender, spare))
            cluster.apply(cluster.client, Received(peer, offer))
            assert entry.control_nodes == {sender, SPARES[0]}

    def test_host_that_returns_is_counted_again(self) -> None:
        """Guards against a replica whose offers never count again after a partition."""
        cluster = Deployment()
        cluster.accept(1)
        partitioned = cluster.bootstrap[0]
        cluster.partition(partitioned)
        cluster.run(5)
        cluster.accept(2)
        cluster.partition()
        cluster.run(5)
        entry = cluster.restart_entry(*cluster.bootstrap[:2])
        cluster.run(BEFORE_CUT_OFF_S)
        assert (entry.ready, entry.revision_in_effect) == (True, 2)


class TestAcceptedJustBefore:
    def test_entry_waits_for_a_revision_that_only_a_lost_leader_applied(self) -> None:
        """Guards against an entry that restarts with the document before the one that it had in effect.

        The followers have stored the document durably, but do not know that it is committed.
        """
        cluster = Deployment()
        followers = _accept_and_lose_leader(cluster)
        entry = cluster.restart_entry(*followers)
        revisions = [cluster.hosts[name].node.part(DistributionState).own.revision for name in followers]
        assert revisions == [1, 1]
        cluster.run_until(lambda: entry.ready, limit=10)
        assert entry.revision_in_effect == 2

    def test_entry_waits_for_a_late_election(self) -> None:
        """Guards against an entry that considers itself cut off while the group has no leader yet."""
        cluster = Deployment()
        followers = _accept_and_lose_leader(cluster)
        cluster.cut.add(frozenset(followers))
        entry = cluster.restart_entry(*followers)
        cluster.run(4)
        assert not entry.ready
        cluster.cut.discard(frozenset(followers))
        cluster.run_until(lambda: entry.ready, limit=10)
        assert entry.revision_in_effect == 2

    def test_entry_without_any_leader_becomes_ready(self) -> None:
        """Guards against an entry that never serves while the control group can't elect a leader."""
        cluster = Deployment()
        followers = _accept_and_lose_leader(cluster)
        cluster.cut.add(frozenset(followers))
        entry = cluster.restart_entry(*followers)
        cluster.run(LEADERLESS_AFTER_S + HIGHEST_OFFER_WAIT_S + 0.2)
        assert (entry.ready, entry.revision_in_effect) == (True, 1)

    def test_entry_is_not_ready_below_the_confirmed_revision(self) -> None:
        """Guards against an entry that is linked only to replicas which have not applied the change yet."""
        cluster = Deployment()
        cluster.accept(1)
        entry = cluster.restart_entry(*cluster.bootstrap)
        cluster.apply(cluster.client, RevisionConfirmed(Revision(2)))
        cluster.run(15)
        assert not entry.ready
        cluster.accept(2)
        cluster.run(1)
        assert (entry.ready, entry.revision_in_effect) == (True, 2)


def _accept_and_lose_leader(cluster: Deployment) -> list[NodeId]:
    """Have revision 2 accepted by a leader that dies before its followers apply it; return these."""
    cluster.accept(1)
    cluster.run(3)
    leader = cluster.elect()
    followers = [name for name in cluster.bootstrap if name != leader.name]
    cluster.propose('apply-2', cluster.build_command(2))
    cluster.run_until(lambda: cluster.results['apply-2'], step=0.0002)
    cluster.kill(leader.name)
    # The last messages of the leader are lost too.
    cluster.cut = {frozenset((leader.name, name)) for name in followers}
    return followers
