import shutil
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.harness import documents
from tests.harness.cluster import Cluster
from tests.harness.processes import wait_for
from tests.system.calls import chat
from tests.system.conftest import UPSTREAMS


def _document(folder: Path, name: str, rate: int) -> Path:
    content = documents.document(UPSTREAMS)
    content['teams']['kiosk']['rate'] = rate
    return documents.write(folder, content, name)


def _apply(cluster: Cluster, path: Path, revision: int, request_id: str, node: str | None = None) -> dict:
    arguments = ('apply', str(path), '--expected-revision', str(revision), '--request-id', request_id)
    return cluster.cli(*arguments, check=False, node=node)


def _revision(cluster: Cluster, node: str) -> int:
    reply = cluster.cli('status', check=False, node=node)
    return int(reply['content'].get('revision', 0)) if reply['exit'] == 0 else 0


class TestOperators:
    def test_one_of_two_racing_operators_wins(self, cluster: Cluster, tmp_path: Path) -> None:
        """Guards against two documents that are both accepted for the same revision."""
        paths = [_document(tmp_path, f'{rate}.yaml', rate) for rate in (50, 60)]
        with ThreadPoolExecutor(2) as pool:
            jobs = [
                pool.submit(_apply, cluster, path, 1, f'race-{number}', f'entry-{number + 1}')
                for number, path in enumerate(paths)
            ]
            exits = sorted(job.result()['exit'] for job in jobs)
        assert exits == [0, 1]
        assert cluster.cli('show', 'demo', '--stage', 'trial')['content']['revision'] == 2

    def test_retry_after_a_leader_change_gets_the_first_answer(
        self, cluster: Cluster, tmp_path: Path
    ) -> None:
        """Guards against a change that is refused or applied twice when its answer was lost."""
        path = _document(tmp_path, 'next.yaml', 70)
        first = _apply(cluster, path, 1, 'lost-answer')
        leader = cluster.cli('status', node='control-1')['content']['leader']
        cluster.processes[leader or 'control-1'].kill()
        second = _apply(cluster, path, 1, 'lost-answer')
        assert first['content']['revision'] == second['content']['revision'] == 2

    def test_promotion_waits_for_evidence(self, cluster: Cluster) -> None:
        """Guards against a document that reaches production without having served a request."""
        arguments = ('promote', 'demo', '--expected-revision', '1', '--request-id')
        refused = cluster.cli(*arguments, 'p1', check=False)
        assert refused['exit'] == 1
        assert any('requests' in reason for reason in refused['content']['reasons'])
        for _ in range(4):
            assert chat(cluster, 'entry-1').status == 200
        tries = iter(range(1000))
        wait_for(
            lambda: cluster.cli(*arguments, f'p2-{next(tries)}', check=False)['exit'] == 0,
            'the evidence to reach the leader',
        )
        assert cluster.cli('show', 'demo', '--stage', 'production')['exit'] == 0


class TestDisks:
    def test_lost_disk_then_second_host_lost(self, cluster: Cluster, tmp_path: Path) -> None:
        """Guards against a repaired host that votes before it has all committed entries."""
        cluster.processes['control-1'].kill()
        shutil.rmtree(tmp_path / 'control-1')
        assert _apply(cluster, _document(tmp_path, 'a.yaml', 70), 1, 'while-lost')['exit'] == 0
        cluster.start('control-1')
        wait_for(lambda: 'control-1' in cluster.voters('control-1'), 'control-1 to vote again')
        cluster.processes['control-2'].kill()
        assert _apply(cluster, _document(tmp_path, 'b.yaml', 80), 2, 'after-repair')['exit'] == 0
        assert cluster.cli('show', 'demo', '--stage', 'trial')['content']['revision'] == 3

    def test_control_hosts_killed_simultaneously_lose_nothing(self, cluster: Cluster, tmp_path: Path) -> None:
        """Guards against an answer that is sent before its record is synced to disk."""
        assert _apply(cluster, _document(tmp_path, 'a.yaml', 70), 1, 'before')['exit'] == 0
        for name in cluster.control:
            cluster.processes[name].kill()
        _tear_tail(tmp_path / 'control-1')
        for name in cluster.control:
            cluster.start(name)
        shown = wait_for(lambda: _show(cluster), 'a leader')
        assert shown['revision'] == 2


class TestReplacement:
    def test_restarted_entry_uses_the_voters_that_replaced_others(
        self, cluster: Cluster, tmp_path: Path
    ) -> None:
        """Guards against an entry that relies on hosts in its settings that are no longer voters."""
        cluster.replace_control('control-2', 'control-4')
        cluster.replace_control('control-3', 'control-5')
        former = [f'control-{number}' for number in (2, 3)]
        assert _apply(cluster, _document(tmp_path, 'next.yaml', 70), 1, 'replaced')['exit'] == 0
        cluster.processes['entry-1'].kill()
        cluster.refresh_seeds('entry-1')
        cluster.start('entry-1')
        wait_for(lambda: cluster.is_ready('entry-1'), 'entry-1 to be ready')
        status = cluster.cli('status', node='entry-1')['content']
        assert status['control_nodes'] == ['control-1', 'control-4', 'control-5']
        assert status['revision'] == 2
        for name in (*former, 'control-1'):
            cluster.processes[name].kill()
        assert _apply(cluster, _document(tmp_path, 'last.yaml', 80), 2, 'without')['exit'] == 0
        wait_for(lambda: _revision(cluster, 'entry-1') == 3, 'entry-1 to have the change')


class TestDistribution:
    def test_restarted_entry_takes_the_newest_document(self, cluster: Cluster, tmp_path: Path) -> None:
        """Guards against an entry that has an older document after a restart."""
        cluster.processes['entry-1'].kill()
        for revision in range(1, 6):
            path = _document(tmp_path, f'{revision}.yaml', 70 + revision)
            assert _apply(cluster, path, revision, f'change-{revision}', 'entry-2')['exit'] == 0
        cluster.start('entry-1')
        wait_for(lambda: cluster.is_ready('entry-1'), 'entry-1 to be ready')
        assert _revision(cluster, 'entry-1') == 6

    def test_restarted_entry_of_a_cut_off_zone_is_served_by_its_peers(
        self, cluster: Cluster, tmp_path: Path
    ) -> None:
        """Guards against a zone that can't restart its entries while the control hosts are unreachable."""
        path = _document(tmp_path, 'next.yaml', 70)
        assert _apply(cluster, path, 1, 'change')['exit'] == 0
        wait_for(lambda: _revision(cluster, 'agent-engine-1') == 2, 'the agent to have the change')
        for name in cluster.control:
            cluster.processes[name].freeze()
        cluster.processes['entry-1'].kill()
        cluster.start('entry-1')
        wait_for(lambda: cluster.is_ready('entry-1'), 'entry-1 to be ready')
        assert _revision(cluster, 'entry-1') == 2
        wait_for(lambda: chat(cluster, 'entry-1').status == 200, 'a request to be served')


def _show(cluster: Cluster) -> dict | None:
    shown = cluster.cli('show', 'demo', '--stage', 'trial', check=False)
    return shown['content'] if shown['exit'] == 0 else None


def _tear_tail(folder: Path) -> None:
    segment = sorted(path for path in folder.iterdir() if path.stat().st_size)[-1]
    with segment.open('ab') as output:
        output.write(b'\x07torn')
