import json
import threading

import pytest

from tests.harness.cluster import Cluster
from tests.harness.processes import wait_for
from tests.system.calls import (
    StreamReader,
    behave_all,
    book,
    bookings,
    chat,
    expected_tokens,
    running_engine,
    tokens_of,
)


def _start_slow_stream(cluster: Cluster, count: int = 40) -> StreamReader:
    behave_all(cluster, 'engine', token_s=0.02)
    reader = StreamReader(cluster, 'entry-1', count).start()
    wait_for(lambda: len(tokens_of(reader.text)) >= 3, 'the first tokens')
    return reader


class TestStreams:
    def test_broken_engine_stream_is_resumed_elsewhere(self, cluster: Cluster) -> None:
        """Guards against tokens that are lost or duplicated when an engine dies during a stream."""
        reader = _start_slow_stream(cluster)
        cluster.processes[running_engine(cluster)].kill()
        assert tokens_of(reader.join()) == expected_tokens(40)
        assert reader.text.endswith('data: [DONE]\n\n')

    def test_killed_agent_does_not_end_the_stream(self, cluster: Cluster) -> None:
        """Guards against a stream that is lost with the agent that relayed it."""
        reader = _start_slow_stream(cluster)
        cluster.processes[f'agent-{running_engine(cluster)}'].kill()
        assert tokens_of(reader.join()) == expected_tokens(40)
        assert reader.text.endswith('data: [DONE]\n\n')

    def test_frozen_agent_is_abandoned_and_its_late_tokens_are_dropped(self, cluster: Cluster) -> None:
        """Guards against late chunks of a process that is unfrozen while its stream is resumed elsewhere."""
        reader = _start_slow_stream(cluster, 150)
        agent = cluster.processes[f'agent-{running_engine(cluster)}']
        agent.freeze()
        wait_for(lambda: _have_both_run(cluster), 'a resume')
        agent.thaw()
        assert tokens_of(reader.join()) == expected_tokens(150)

    def test_stream_that_no_engine_can_finish_never_ends_in_done(self, cluster: Cluster) -> None:
        """Guards against a truncated answer that looks complete."""
        behave_all(cluster, 'engine', break_at=4)
        text = chat(cluster, 'entry-1', 10).data.decode()
        assert '[DONE]' not in text
        assert 'event: error' in text
        assert json.loads(text.strip().split('data: ')[-1])['error']['outcome'] == 'unknown'


class TestBookings:
    def test_keyed_booking_runs_once_when_the_agent_dies(self, cluster: Cluster) -> None:
        """Guards against a second charge after the first answer was lost."""
        behave_all(cluster, 'hire', delay_s=1)
        first = threading.Thread(target=book, args=(cluster, 'entry-1', 'k1'), daemon=True)
        first.start()
        wait_for(lambda: bookings(cluster), 'the call to reach the service')
        running = next(name for name in ('hire-1', 'hire-2') if cluster.state_of(name)['bookings'])
        cluster.processes[f'agent-{running}'].kill()
        first.join(30)
        second = book(cluster, 'entry-2', 'k1')
        assert second.json()['outcome'] == 'unknown'
        assert len(bookings(cluster)) == 1

    def test_keyed_booking_runs_once_when_the_entry_dies(self, cluster: Cluster) -> None:
        """Guards against a second charge when the caller retries through another entry."""
        behave_all(cluster, 'hire', delay_s=1)
        threading.Thread(target=_ignore_errors, args=(cluster,), daemon=True).start()
        wait_for(lambda: bookings(cluster), 'the call to reach the service')
        cluster.processes['entry-1'].kill()
        second = book(cluster, 'entry-2', 'k2')
        assert second.status in {502, 504}
        assert second.json()['outcome'] == 'unknown'
        assert len(bookings(cluster)) == 1

    def test_without_a_control_majority_keyed_bookings_are_refused(self, cluster: Cluster) -> None:
        """Guards against a charge that the other side of a partition may run again."""
        for name in ('control-1', 'control-2'):
            cluster.processes[name].freeze()
        refused = book(cluster, 'entry-1', 'k3')
        assert refused.status == 503
        assert refused.json()['outcome'] == 'not_run'
        assert not bookings(cluster)
        assert book(cluster, 'entry-1').status == 201
        assert cluster.call('entry-1', 'GET', '/services/hire/stock').status == 200
        assert chat(cluster, 'entry-1').status == 200
        for name in ('control-1', 'control-2'):
            cluster.processes[name].thaw()
        wait_for(lambda: book(cluster, 'entry-1', 'k3').status == 201, 'claims to work again')
        assert len(bookings(cluster)) == 2

    @pytest.mark.parametrize('victim', ['control-1', 'control-2', 'control-3'])
    def test_claims_survive_any_control_host(self, cluster: Cluster, victim: str) -> None:
        """Guards against a claim that was stored only by the leader."""
        first = book(cluster, 'entry-1', 'k4')
        assert first.status == 201
        cluster.processes[victim].kill()
        second = wait_for(lambda: _get_booking(cluster, 'k4'), 'an answer from the other control hosts')
        assert second == first.json()
        assert len(bookings(cluster)) == 1


def _have_both_run(cluster: Cluster) -> bool:
    return all(cluster.state_of(name)['runs'] for name in ('engine-1', 'engine-2'))


def _get_booking(cluster: Cluster, key: str) -> object:
    answer = book(cluster, 'entry-2', key)
    return answer.json() if answer.status == 201 else None


def _ignore_errors(cluster: Cluster) -> None:
    try:
        book(cluster, 'entry-1', 'k2')
    except OSError:
        return
    except Exception as exc:
        if 'onnection' not in str(exc):
            raise
