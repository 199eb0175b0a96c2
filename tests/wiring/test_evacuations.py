import itertools

import pytest

from basilcove.catalog.commands import EvacuateZone, RestoreZone
from basilcove.catalog.outcomes import ZoneChanged
from basilcove.core.events import Received
from basilcove.core.ids import NodeId, Revision, Stage, Zone
from basilcove.distribution.events import RevisionConfirmed
from basilcove.distribution.messages import Offer
from basilcove.distribution.models import DistributionState
from basilcove.zones.models import Evacuation, Evacuations
from tests.consensus.cluster import CLIENT, Cluster, claim
from tests.consensus.oracle import ENVIRONMENT
from tests.wiring.deployment import Deployment

FAR, NEAR = Zone('far'), Zone('near')
# From the acknowledgement of an evacuation until it is in force (`evacuate_ms`).
IN_FORCE_S = 5.0


def evacuate(cluster: Cluster, name: str, zone: Zone = FAR) -> None:
    assert isinstance(cluster.ask(name, EvacuateZone(zone, 'operator')), ZoneChanged)


def zones_of(cluster: Deployment, name: NodeId) -> frozenset[Zone]:
    return cluster.hosts[name].node.part(DistributionState).evacuations.zones


class TestDurability:
    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('torn', [False, True])
    def test_power_loss_on_all_hosts_at_the_acknowledgement(self, seed: int, torn: bool) -> None:
        """Guards against an acknowledged change that only the memory of the hosts had."""
        cluster = Cluster(seed=seed, snapshot_after=8, kept=2)
        cluster.elect()
        evacuate(cluster, 'first', NEAR)
        cluster.ask('restore', RestoreZone(NEAR, 'operator'))
        for number in range(10 * (seed % 2)):
            cluster.ask(f'p{number}', claim(number))
        evacuate(cluster, 'second')
        for name in cluster.bootstrap:
            cluster.kill(name, torn)
        for name in cluster.bootstrap:
            cluster.start(name)
        assert cluster.ask('again', EvacuateZone(FAR, 'operator')) == ZoneChanged(3)
        assert cluster.elect().catalog.evacuations.zones == {FAR}

    def test_lost_disk_and_installed_snapshot(self) -> None:
        """Guards against an evacuation that a repaired host doesn't get with its snapshot."""
        cluster = Cluster(snapshot_after=8, kept=0)
        leader = cluster.elect()
        evacuate(cluster, 'evacuate')
        for number in range(20):
            cluster.ask(f'p{number}', claim(number))
        repaired = next(name for name in cluster.bootstrap if name != leader.name)
        cluster.lose_disk(repaired)
        cluster.start(repaired)
        cluster.run_until(lambda: cluster.hosts[repaired].catalog == leader.catalog)
        assert cluster.hosts[repaired].catalog.evacuations.zones == {FAR}

    def test_leader_dies_before_its_answer(self) -> None:
        """Guards against a call that is refused, or counted twice, when it is sent again."""
        cluster = Cluster()
        first = cluster.elect()
        cluster.cut_one_way = {(first.name, CLIENT)}
        cluster.propose('lost', EvacuateZone(FAR, 'operator'), 0.3)
        cluster.run(0.4)
        cluster.kill(first.name)
        assert cluster.ask('again', EvacuateZone(FAR, 'operator')) == ZoneChanged(1)


class TestSpread:
    def test_changes_reach_all_nodes_in_time(self) -> None:
        """Guards against gateways that go on sending to an evacuated zone, or never return to it."""
        cluster = Deployment()
        cluster.accept(1)
        entry = cluster.restart_entry(*cluster.bootstrap)
        cluster.run(1)
        evacuate(cluster, 'evacuate')
        cluster.run(IN_FORCE_S / 10)
        assert entry.ready
        assert entry.evacuations_in_effect == 1
        assert {zones_of(cluster, name) for name in cluster.bootstrap} == {frozenset((FAR,))}
        cluster.ask('restore', RestoreZone(FAR, 'operator'))
        cluster.run(IN_FORCE_S / 10)
        assert entry.evacuations_in_effect == 2
        assert not entry.evacuations.zones

    def test_restarted_control_hosts_offer_the_zones_of_their_snapshots(self) -> None:
        """Guards against an evacuation that all hosts hold but none passes on after a restart."""
        cluster = Deployment(snapshot_after=4, kept=0)
        cluster.accept(1)
        evacuate(cluster, 'evacuate')
        for number in range(20):
            cluster.ask(f'p{number}', claim(number))
        for name in cluster.bootstrap:
            cluster.kill(name)
        for name in cluster.bootstrap:
            cluster.start(name)
        entry = cluster.restart_entry(*cluster.bootstrap)
        cluster.run_until(lambda: entry.ready, limit=10)
        assert entry.evacuations.zones == {FAR}

    def test_version_never_goes_back(self) -> None:
        """Guards against a late offer that takes a newer change back."""
        cluster = Deployment()
        entry = cluster.restart_entry(*cluster.bootstrap)
        peer = entry.peers[cluster.bootstrap[0]].peer
        rows = (Evacuation(FAR, 1, 'operator'),)
        sets = {1: Evacuations(1, rows), 2: Evacuations(2), 3: Evacuations(3, rows)}
        for order in itertools.permutations(sets):
            entry.evacuations = Evacuations()
            for known, version in enumerate(order):
                offer = Offer(
                    ENVIRONMENT,
                    Stage.TRIAL,
                    Revision(0),
                    b'',
                    ask=False,
                    caught_up=False,
                    evacuations_version=version,
                    evacuations=sets[version],
                )
                cluster.apply(cluster.client, Received(peer, offer))
                assert entry.evacuations == sets[max(order[: known + 1])]


class TestReadiness:
    def test_node_waits_for_a_change_that_only_a_lost_leader_applied(self) -> None:
        """Guards against a gateway that restarts and sends to a zone whose evacuation was acknowledged."""
        cluster = Deployment()
        cluster.accept(1)
        cluster.run(3)
        leader = cluster.elect()
        followers = [name for name in cluster.bootstrap if name != leader.name]
        # The followers have the change on disk, but the offers of the leader are lost.
        leader.node.part(DistributionState).peers.clear()
        cluster.propose('evacuate', EvacuateZone(FAR, 'operator'))
        cluster.run_until(lambda: cluster.results['evacuate'], step=0.0002)
        cluster.kill(leader.name)
        cluster.cut = {frozenset((leader.name, name)) for name in followers}
        entry = cluster.restart_entry(*followers)
        assert not any(zones_of(cluster, name) for name in followers)
        cluster.run_until(lambda: entry.ready, limit=10)
        assert entry.evacuations.zones == {FAR}

    def test_node_is_not_ready_below_the_confirmed_version(self) -> None:
        """Guards against a gateway that is linked only to replicas which have not applied the change yet."""
        cluster = Deployment()
        cluster.accept(1)
        entry = cluster.restart_entry(*cluster.bootstrap)
        cluster.apply(cluster.client, RevisionConfirmed(Revision(1), 1))
        cluster.run(15)
        assert not entry.ready
        evacuate(cluster, 'evacuate')
        cluster.run(1)
        assert (entry.ready, entry.evacuations_in_effect) == (True, 1)
