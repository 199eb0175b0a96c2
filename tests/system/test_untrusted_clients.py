"""Crowds of clients without limits against the servers based on cheroot.

The crowd, the bounds and the limits below were fixed before the servers were changed.
"""

from collections.abc import Iterator
from dataclasses import dataclass

import pytest
import urllib3

from tests.harness import documents
from tests.harness.cluster import ZONES, Cluster, UpstreamSpec
from tests.harness.crowd import Crowd, Payload, count_descriptors, peak_bytes, reset_peak, resident_bytes
from tests.system.conftest import ENGINE, change_settings

CLIENTS = 120
# Growth of the process while the crowd is connected.
MAX_GROWTH_BYTES = 24 * 1024 * 1024
# Descriptors in addition to those before. An entry allows 64 streams besides MAX_CONNECTIONS.
MAX_DESCRIPTORS = 128
ANSWER_S = 8
MAX_CONNECTIONS = 32
MAX_RECEIVE_BYTES = 4 * 1024 * 1024
# Half of MAX_RECEIVE_BYTES, the most that the settings allow; no body of the crowd reaches it.
MAX_BODY_BYTES = MAX_RECEIVE_BYTES // 2
# No client of the crowd is disconnected for its silence while a test runs.
LONG_S = 120
UPSTREAMS = (UpstreamSpec('engine-1', ENGINE, ZONES[0], models='rider-assistant'),)


@dataclass(frozen=True)
class Listener:
    """Where a node listens, the first line of a request, and an ordinary request with its status."""

    node: str
    first_line: bytes
    method: str
    path: str
    status: int


ENTRY = Listener('entry-1', b'POST /v1/completions HTTP/1.1\r\n', 'GET', '/v1/models', 401)
AGENT = Listener('agent-engine-1', b'PUT /announce HTTP/1.1\r\n', 'PUT', '/announce', 400)
STATUS = Listener('control-1', b'GET /metrics HTTP/1.1\r\n', 'GET', '/healthz', 200)
LISTENERS = pytest.mark.parametrize('listener', [ENTRY, AGENT, STATUS], ids=['entry', 'agent', 'status'])


@pytest.fixture(scope='module')
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Return a deployment whose listeners have low limits and long timeouts."""
    folder = tmp_path_factory.mktemp('untrusted')
    with Cluster(folder, entries=1, upstreams=UPSTREAMS) as running:
        limits = {'receive_timeout_s': LONG_S, 'max_connections': MAX_CONNECTIONS}
        entry_limits = {'socket_timeout_s': LONG_S, 'max_body_bytes': MAX_BODY_BYTES, **limits}
        change_settings(folder / 'entry-1.yaml', 'http', **entry_limits)
        change_settings(folder / 'agent-engine-1.yaml', 'agent', **limits)
        change_settings(folder / 'control-1.yaml', 'status', max_connections=MAX_CONNECTIONS)
        for node in ('entry-1', 'agent-engine-1', 'control-1'):
            change_settings(folder / f'{node}.yaml', '', max_receive_bytes=MAX_RECEIVE_BYTES)
        running.start_all(documents.write(folder, documents.document(UPSTREAMS)))
        yield running


def check(cluster: Cluster, listener: Listener, payload: Payload) -> None:
    """Load a listener with the crowd; its process lives within bounds and answers an ordinary request."""
    process = cluster.processes[listener.node]
    reset_peak(process.pid)
    before, descriptors = resident_bytes(process.pid), count_descriptors(process.pid)
    with Crowd(cluster.addresses[listener.node].http, CLIENTS, payload) as crowd:
        crowd.settle()
        opened = count_descriptors(process.pid) - descriptors
        statuses = [ask(cluster, listener)]
        growth = peak_bytes(process.pid) - before
    statuses.append(ask(cluster, listener))
    assert process.is_running
    assert (statuses, growth < MAX_GROWTH_BYTES, opened < MAX_DESCRIPTORS) == (
        [listener.status, listener.status],
        True,
        True,
    ), f'{statuses}, grew by {growth / 1e6:.1f} MB, {opened} descriptors'


def ask(cluster: Cluster, listener: Listener) -> int:
    """Return the status of an ordinary request on a connection of its own; 0 without an answer."""
    url = f'http://{cluster.addresses[listener.node].http}{listener.path}'
    try:
        return urllib3.request(listener.method, url, body=b'{}', retries=False, timeout=ANSWER_S).status
    except urllib3.exceptions.HTTPError:
        return 0


@LISTENERS
class TestHeads:
    def test_head_of_thousands_of_short_lines(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against header lines that take a multiple of their size in memory."""
        lines = b''.join(b'%x:\r\n' % number for number in range(4000))
        check(cluster, listener, lambda: iter((listener.first_line, lines)))

    def test_head_of_odd_lines(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against folded, duplicate, empty and long header lines that occupy threads or memory."""
        lines = b'a:\r\na:\r\n b\r\n' + b'n' * 8000 + b':\r\n' + b'Accept: x\r\n' * 1000
        check(cluster, listener, lambda: iter((listener.first_line, lines)))

    def test_head_without_end(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against a head over the limit that is stored or awaited."""
        check(cluster, listener, lambda: iter((listener.first_line, *(b'a: b\r\n' * 1000,) * 100)))

    def test_line_without_end(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against a first line over the limit that is stored or awaited."""
        check(cluster, listener, lambda: iter((b'GET /', *(b'a' * 8000,) * 100)))

    def test_empty_lines_without_end(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against work and connections spent on bytes before a request."""
        check(cluster, listener, lambda: iter((b'\r\n' * 8000,) * 100))

    def test_silent_connections(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against threads taken by connections that send nothing."""
        check(cluster, listener, lambda: iter(()))

    def test_bytes_one_at_a_time(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against threads taken by requests that arrive byte by byte."""
        head = listener.first_line + b'x-slow: ' + b'a' * 200
        check(cluster, listener, lambda: (head[at : at + 1] for at in range(len(head))))


@LISTENERS
class TestBodies:
    def test_large_chunks_that_stop_short(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against unfinished bodies that together exceed the memory, and threads that wait."""
        check(cluster, listener, lambda: chunked(listener, b'10000\r\n' + b'a' * 65536 + b'\r\n', 10))

    def test_small_chunks_that_stop_short(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against chunks that each take an object or a copy of the body."""
        check(cluster, listener, lambda: chunked(listener, b'2\r\nab\r\n' * 5000, 10))

    def test_sized_body_that_stops_short(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against threads that wait for the rest of a body with a length."""
        head = b'Host: x\r\nContent-Length: 1000\r\n\r\n'
        check(cluster, listener, lambda: iter((listener.first_line + head, b'a' * 900)))

    def test_chunk_extension_without_end(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against the size line of a chunk that is stored or awaited."""
        check(cluster, listener, lambda: chunked(listener, b'2;' + b'a' * 8000, 100))

    def test_trailers_without_end(self, cluster: Cluster, listener: Listener) -> None:
        """Guards against trailers that are stored or awaited."""
        check(
            cluster,
            listener,
            lambda: chunked(listener, b'0\r\n' + b't: a\r\n' * 1000, 100, b't: a\r\n' * 1000),
        )


@LISTENERS
class TestAnswers:
    def test_pipelined_requests_whose_answers_are_not_read(
        self, cluster: Cluster, listener: Listener
    ) -> None:
        """Guards against threads and memory held by answers that nobody reads."""
        requests = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n' * 2000
        check(cluster, listener, lambda: iter((requests,) * 10))


def chunked(listener: Listener, part: bytes, count: int, rest: bytes | None = None) -> Iterator[bytes]:
    """Yield a request with a chunked body: ``part`` first, then ``rest`` or ``part`` again."""
    yield listener.first_line + b'Host: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    yield part
    for _ in range(count - 1):
        yield part if rest is None else rest
