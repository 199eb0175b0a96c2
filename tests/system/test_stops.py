import pytest

from tests.harness.cluster import Cluster
from tests.harness.processes import wait_for
from tests.system.calls import StreamReader, behave_all, chat, expected_tokens, running_engine, tokens_of


class TestPlannedStop:
    @pytest.mark.parametrize('role', ['entry', 'agent', 'control'])
    def test_stream_in_flight_is_completed(self, cluster: Cluster, role: str) -> None:
        """Guards against a planned stop that truncates an answer."""
        reader = _start_slow_stream(cluster)
        running = running_engine(cluster)
        victim = {'entry': 'entry-1', 'agent': f'agent-{running}', 'control': 'control-1'}[role]
        cluster.processes[victim].stop()
        if role != 'control':
            wait_for(lambda: not cluster.is_ready(victim), 'the node to be not ready')
            assert cluster.processes[victim].is_running
        assert tokens_of(reader.join()) == expected_tokens(100)
        assert cluster.processes[victim].wait() == 0
        assert sum(len(cluster.state_of(name)['runs']) for name in ('engine-1', 'engine-2')) == 1

    def test_stopping_agent_gets_no_new_work(self, cluster: Cluster) -> None:
        """Guards against requests that are sent to an upstream whose agent is stopping."""
        reader = _start_slow_stream(cluster)
        running = running_engine(cluster)
        cluster.processes[f'agent-{running}'].stop()
        wait_for(lambda: not cluster.is_ready(f'agent-{running}'), 'the agent to be not ready')
        for _ in range(6):
            assert chat(cluster, 'entry-2', 1).status == 200
        assert len(cluster.state_of(running)['runs']) == 1
        assert tokens_of(reader.join()) == expected_tokens(100)

    def test_drained_upstream_gets_no_new_work(self, cluster: Cluster) -> None:
        """Guards against a drain by an operator that doesn't reach the agent."""
        assert cluster.cli('drain', 'engine-1', '--request-id', 'd1')['exit'] == 0
        for _ in range(6):
            assert chat(cluster, 'entry-1', 1).status == 200
        assert cluster.state_of('engine-1')['runs'] == []
        assert len(cluster.state_of('engine-2')['runs']) == 6


def _start_slow_stream(cluster: Cluster) -> StreamReader:
    behave_all(cluster, 'engine', token_s=0.02)
    reader = StreamReader(cluster, 'entry-1', 100).start()
    wait_for(lambda: len(tokens_of(reader.text)) >= 3, 'the first tokens')
    return reader
