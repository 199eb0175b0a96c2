import json
import resource
import shutil
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.harness import documents
from tests.harness.cluster import Cluster
from tests.harness.processes import wait_for
from tests.system.calls import book, bookings, chat
from tests.system.conftest import UPSTREAMS

LARGE_DOCUMENT_TEAMS = 4000
LOG_HEADROOM_BYTES = 64 * 1024
ZONE_PEERS = {'control-1', 'agent-engine-1', 'agent-hire-1'}


def _document(folder: Path, name: str, rate: int, teams: int = 0) -> Path:
    content = documents.document(UPSTREAMS)
    content['teams']['kiosk']['rate'] = rate
    for number in range(teams):
        digest = documents.digest(f'key of team {number}')
        content['teams'][f'team-{number}'] = {'key_digests': [digest], 'priorities': ['drafting']}
    return documents.write(folder, content, name)


def _apply(cluster: Cluster, folder: Path, revision: int, node: str | None = None, teams: int = 0) -> dict:
    path = _document(folder, f'{revision}.yaml', 50 + revision, teams)
    arguments = ('apply', str(path), '--expected-revision', str(revision))
    return cluster.cli(*arguments, '--request-id', f'change-{revision}', check=False, node=node)


def _status(cluster: Cluster, node: str) -> dict:
    reply = cluster.cli('status', check=False, node=node)
    return reply['content'] if reply['exit'] == 0 else {}


def _leader(cluster: Cluster, node: str = 'control-1') -> str:
    return str(wait_for(lambda: _status(cluster, node).get('leader'), 'a leader to be known'))


def _revision(cluster: Cluster, node: str) -> int:
    return int(_status(cluster, node).get('revision', 0))


class TestFrozenLeader:
    def test_frozen_leader_is_replaced_and_resumes_without_effect(
        self, cluster: Cluster, tmp_path: Path
    ) -> None:
        """Guards against a leader that acts on a decision from before it was frozen."""
        leader = _leader(cluster)
        other = next(name for name in cluster.control if name != leader)
        cluster.processes[leader].freeze()
        wait_for(lambda: _leader(cluster, other) != leader, 'another leader')
        assert _apply(cluster, tmp_path, 1, 'entry-1')['exit'] == 0
        assert book(cluster, 'entry-1', 'frozen').status == 201
        cluster.processes[leader].thaw()
        wait_for(lambda: _revision(cluster, leader) == 2, 'the former leader to catch up')
        wait_for(lambda: _leader(cluster, leader) != leader, 'the former leader to follow')
        assert _apply(cluster, tmp_path, 2, leader)['exit'] == 0
        assert book(cluster, 'entry-2', 'frozen').status == 201
        assert len(bookings(cluster)) == 1


def _fill_disk(cluster: Cluster, folder: Path, victim: str) -> None:
    """Limit the file sizes of a control host to slightly more than its log; wait until it reports this."""
    limit = (folder / f'{victim}.log').stat().st_size + LOG_HEADROOM_BYTES
    pid = cluster.processes[victim].pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))
    assert _apply(cluster, folder, 1, 'entry-1', LARGE_DOCUMENT_TEAMS)['exit'] == 0
    wait_for(lambda: not cluster.is_ready(victim), 'the replica to report that it is not ready')


class TestFullDisk:
    def test_full_disk_is_reported_and_stops_only_that_replica(
        self, cluster: Cluster, tmp_path: Path
    ) -> None:
        """Guards against a replica that still acknowledges entries that its disk refused."""
        victim = _leader(cluster)
        _fill_disk(cluster, tmp_path, victim)
        assert cluster.processes[victim].is_running
        assert any('storage failed' in reason for reason in cluster.get(victim, '/readyz').json()['reasons'])
        metrics = cluster.get(victim, '/metrics').data.decode()
        assert 'basilcove_storage_failed 1.0' in metrics
        assert 'basilcove_storage_failures_total 1.0' in metrics
        assert any('storage failed' in reason for reason in _status(cluster, victim)['reasons'])
        assert _apply(cluster, tmp_path, 2, 'entry-1')['exit'] == 0
        cluster.processes[victim].kill()
        cluster.start(victim)
        wait_for(lambda: cluster.is_ready(victim), 'the replica to be ready once its disk takes writes')
        wait_for(lambda: _revision(cluster, victim) == 3, 'the replica to catch up')

    def test_replica_takes_part_again_without_a_restart(self, cluster: Cluster, tmp_path: Path) -> None:
        """Guards against a replica or its log that stops for good at the first write without space."""
        victim = _leader(cluster)
        _fill_disk(cluster, tmp_path, victim)
        pid = cluster.processes[victim].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        wait_for(lambda: cluster.is_ready(victim), 'the replica to be ready again')
        wait_for(lambda: _revision(cluster, victim) == 2, 'the replica to catch up')
        wait_for(
            lambda: 'storage takes writes again' in cluster.processes[victim].log.read_text(),
            'the log line about it',
        )


class TestLostDisk:
    def test_leader_that_loses_its_disk_rejoins_as_a_learner(self, cluster: Cluster, tmp_path: Path) -> None:
        """Guards against a former leader that votes under its old identity with an empty log."""
        victim = _leader(cluster)
        cluster.processes[victim].kill()
        shutil.rmtree(tmp_path / victim)
        assert _apply(cluster, tmp_path, 1, 'entry-1')['exit'] == 0
        cluster.start(victim)
        wait_for(lambda: victim in _status(cluster, victim).get('voters', ()), 'the host to vote again')
        other = _leader(cluster, victim)
        assert other != victim
        cluster.processes[other].kill()
        shutil.rmtree(tmp_path / other)
        assert _apply(cluster, tmp_path, 2, 'entry-1')['exit'] == 0


class TestPlannedStop:
    def test_stopping_leader_hands_over_and_answers_all(self, cluster: Cluster) -> None:
        """Guards against a planned stop of a control host that fails or runs a booking twice."""
        leader = _leader(cluster)
        with ThreadPoolExecutor(4) as pool:
            jobs = [
                pool.submit(book, cluster, f'entry-{1 + number % 2}', f'stop-{number}')
                for number in range(40)
            ]
            cluster.processes[leader].stop()
            answers = [job.result() for job in jobs]
        refusals = [answer.data for answer in answers if answer.status != 201]
        assert not refusals
        assert cluster.processes[leader].wait() == 0
        assert len(bookings(cluster)) == 40
        logs = ''.join(cluster.processes[name].log.read_text() for name in cluster.control)
        assert 'taking over from the leader' in logs


class TestIsolation:
    def test_isolated_zone_serves_requests_that_need_no_majority(
        self, partitioned: Cluster, tmp_path: Path
    ) -> None:
        """Guards against an isolated zone that refuses requests it can serve, or serves those it must not."""
        partitioned.cut()
        wait_for(lambda: _peers(partitioned, 'entry-1') == ZONE_PEERS, 'the links across zones to be lost')
        wait_for(lambda: not _status(partitioned, 'control-1')['leader'], 'control-1 to know no leader')
        promote = ('promote', 'demo', '--expected-revision', '1', '--request-id', 'cut-promote')
        with ThreadPoolExecutor(2) as pool:
            jobs = [
                pool.submit(_apply, partitioned, tmp_path, 1, 'entry-1'),
                pool.submit(partitioned.cli, *promote, check=False, node='entry-1'),
            ]
            assert chat(partitioned, 'entry-1').status == 200
            assert partitioned.call('entry-1', 'GET', '/services/hire/stock').status == 200
            assert book(partitioned, 'entry-1').status == 201
            refused = book(partitioned, 'entry-1', 'cut')
            assert (refused.status, refused.json()['outcome']) == (503, 'not_run')
            assert len(bookings(partitioned)) == 1
        for job in jobs:
            assert job.result()['exit']
            assert '(not run)' in json.dumps(job.result()['content'])
        assert _apply(partitioned, tmp_path, 1, 'entry-2')['exit'] == 0
        assert book(partitioned, 'entry-2', 'cut').status == 201
        partitioned.heal()
        wait_for(lambda: _revision(partitioned, 'entry-1') == 2, 'the zone to take the change')
        wait_for(lambda: book(partitioned, 'entry-1', 'cut').status == 201, 'claims to work again')
        assert len(bookings(partitioned)) == 2

    def test_long_isolated_control_host_catches_up_by_snapshot(
        self, partitioned: Cluster, tmp_path: Path
    ) -> None:
        """Guards against a member that can't rejoin after the others compacted the entries that it lacks."""
        partitioned.cut()
        wait_for(lambda: _leader(partitioned, 'control-2') != 'control-1', 'a leader of the majority')
        with ThreadPoolExecutor(4) as pool:
            jobs = [pool.submit(book, partitioned, 'entry-2', f'long-{number}') for number in range(150)]
            assert {job.result().status for job in jobs} == {201}
        assert _apply(partitioned, tmp_path, 1, 'entry-2')['exit'] == 0
        partitioned.heal()
        log = partitioned.processes['control-1'].log
        wait_for(lambda: 'snapshot installed' in log.read_text(), 'control-1 to catch up by snapshot')
        partitioned.processes['control-2'].kill()
        wait_for(lambda: book(partitioned, 'entry-1', 'long-0').status == 201, 'control-1 to form a majority')
        assert len(bookings(partitioned)) == 150


def _peers(cluster: Cluster, node: str) -> set[str]:
    return set(_status(cluster, node).get('peers', ()))
