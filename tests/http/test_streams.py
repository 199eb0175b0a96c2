"""Answers whose callers read slowly or not at all, over real sockets."""

import contextlib
import queue
import socket
from collections.abc import Iterator
from functools import partial
from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilcove.core.events import Event
from basilcove.core.ids import RequestId
from basilcove.environment.keys import digest_of_secret
from basilcove.helpers.metrics import Metrics
from basilcove.helpers.traces import TraceConfig, Tracing
from basilcove.http.answers import AnswerQueue, AnswerTable, Body, Complete, CutOff, Head, Part
from basilcove.http.callers import CallerServer
from basilcove.http.config import HttpConfig
from basilcove.http.const import EVENT_STREAM
from basilcove.http1.account import ReceiveAccount
from basilcove.requests.events import CallerGone, RequestArrived
from tests.harness.processes import free_address, wait_for
from tests.requests.samples import make_environment

KEY: Final = 'k'
ACCOUNT_BYTES: Final = 2 * 1024 * 1024
RECEIVE_TIMEOUT_S: Final = 1.0
PATIENT_TIMEOUT_S: Final = 30.0
PART: Final = Body(b'data: %s\n\n' % (b'a' * 65536))
# More than the sockets' buffers hold, which take some MB.
UNREAD_PARTS: Final = 400
UNREAD_BYTES: Final = 16 * 1024 * 1024
STREAM: Final = Head(200, {'Content-Type': EVENT_STREAM})
REQUEST: Final = (
    b'POST /services/carts/book HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n'
    b'Authorization: Bearer %s\r\n\r\n{}' % KEY.encode()
)


class Entry:
    """A running entry with one thread for streams, whose upstream is the test."""

    def __init__(
        self, account_bytes: int = ACCOUNT_BYTES, receive_timeout_s: float = RECEIVE_TIMEOUT_S
    ) -> None:
        """Start to serve."""
        self.account = ReceiveAccount(account_bytes)
        self.answers = AnswerTable(self.account)
        self.metrics = Metrics()
        self.events: list[Event] = []
        self.cfg = HttpConfig(listen=free_address(), max_streams=1, receive_timeout_s=receive_timeout_s)
        self.server = CallerServer.from_config(
            self.cfg, self.answers, self.metrics, Tracing(TraceConfig(), 'e0'), self.account
        )
        self.server.change_environment(make_environment(key_digests=[digest_of_secret(KEY)]))
        self.server.setup(self.events.append, list)

    @contextlib.contextmanager
    def ask(self, head: Head) -> Iterator[tuple[socket.socket, RequestId]]:
        """Send a request and begin its answer; yield its connection."""
        host, _, port = self.cfg.listen.rpartition(':')
        self.events.clear()
        with socket.create_connection((host, int(port)), timeout=30) as conn:
            conn.sendall(REQUEST)
            wait_for(lambda: bool(self.events), 'a request')
            assert isinstance(self.events[0], RequestArrived)
            request_id = self.events[0].request.request_id
            self.answers.put(request_id, head)
            yield conn, request_id

    def feed(self, request_id: RequestId) -> None:
        """Add parts to a stream whose previous ones were sent, as far as the sockets' buffers take them."""
        if self.account.used_bytes < len(PART.content):
            for _ in range(ACCOUNT_BYTES // 2 // len(PART.content)):
                self.answers.put(request_id, PART)

    def is_released(self) -> bool:
        """Return whether the caller is gone and nothing is charged for it."""
        is_gone = any(isinstance(event, CallerGone) for event in self.events)
        return is_gone and not self.account.used_bytes and not self.server.open_answers

    def count(self, kind: str) -> float:
        """Return how many refusals of a kind were counted."""
        labels = {'listener': 'entry', 'kind': kind}
        return self.metrics.registry.get_sample_value('basilcove_refused_requests_total', labels) or 0


@pytest.fixture
def entry() -> Iterator[Entry]:
    """Yield an entry."""
    running = Entry()
    yield running
    running.server.unload()


@pytest.fixture
def roomy_entry() -> Iterator[Entry]:
    """Yield an entry that may hold a large answer, and lets its caller take long to read it."""
    running = Entry(4 * UNREAD_BYTES, PATIENT_TIMEOUT_S)
    yield running
    running.server.unload()


def read_until(conn: socket.socket, ending: bytes) -> bytes:
    """Return what is received up to some bytes, or up to the end of the connection."""
    received = b''
    while ending not in received[-len(PART.content) :]:
        part = conn.recv(1024 * 1024)
        if not part:
            break
        received += part
    return received


class TestStreams:
    def test_unread_parts_give_way(self, entry: Entry) -> None:
        """Guards against a caller that reads nothing and fills the memory of an entry with its stream."""
        with entry.ask(STREAM) as (conn, request_id):
            for _ in range(UNREAD_PARTS):
                entry.answers.put(request_id, PART)
                assert entry.account.used_bytes <= ACCOUNT_BYTES
            wait_for(entry.is_released, 'an aborted stream')
            assert b'[DONE]' not in read_until(conn, b'[DONE]')
        assert (entry.count('unread'), entry.count('stalled')) == (1, 0)
        with entry.ask(STREAM) as (conn, request_id):
            entry.answers.put(request_id, Complete())
            assert b'[DONE]' in read_until(conn, b'[DONE]')

    def test_stalled_caller(self, entry: Entry) -> None:
        """Guards against a caller that occupies a thread and memory inside the account for ever."""
        with entry.ask(STREAM) as (_, request_id):
            wait_for(lambda: entry.feed(request_id) or entry.count('stalled') == 1, 'a stalled caller')
            wait_for(entry.is_released, 'an aborted stream')
        assert entry.count('unread') == 0

    def test_reading_caller(self, entry: Entry) -> None:
        """Guards against a long stream that is cut off though its caller reads it."""
        with entry.ask(STREAM) as (conn, request_id):
            for _ in range(UNREAD_PARTS):
                entry.answers.put(request_id, PART)
                assert read_until(conn, PART.content[-4:]).count(b'data: ') == 1
            entry.answers.put(request_id, Complete())
            assert b'[DONE]' in read_until(conn, b'[DONE]')
        assert not entry.account.evictions

    def test_collected_answer_that_is_read_slowly(self, roomy_entry: Entry) -> None:
        """Guards against a planned stop that cuts off an answer which its caller is still reading."""
        entry, content = roomy_entry, b'a' * UNREAD_BYTES
        with entry.ask(Head(200, {})) as (conn, request_id):
            entry.answers.put(request_id, Body(content))
            entry.answers.put(request_id, Complete())
            wait_for(lambda: not len(entry.answers), 'a collected answer')
            # The thread that answers doesn't wait for the caller, but a stop does.
            wait_for(lambda: not entry.server.open_answers, 'a written answer')
            assert entry.server.has_unsent()
            received = len(conn.recv(1024 * 1024))
            while received < len(content):
                part = conn.recv(1024 * 1024)
                assert part
                received += len(part)
            wait_for(lambda: not entry.server.has_unsent(), 'an answer that was read')
        with entry.ask(Head(200, {})) as (_, request_id):
            entry.answers.put(request_id, Body(content))
            entry.answers.put(request_id, Complete())
            wait_for(lambda: not len(entry.answers), 'a collected answer')
        wait_for(lambda: not entry.server.has_unsent(), 'an answer whose caller has left')

    def test_collected_answer(self, entry: Entry) -> None:
        """Guards against an uncharged answer, and one that is cut off though its caller isn't waited for."""
        with entry.ask(Head(200, {})) as (conn, request_id):
            for _ in range(2 * ACCOUNT_BYTES // len(PART.content)):
                entry.answers.put(request_id, PART)
            assert entry.account.is_exceeded
            entry.answers.put(request_id, Complete())
            received = read_until(conn, PART.content[-4:])
        assert received.startswith(b'HTTP/1.1 200 ')
        wait_for(lambda: not entry.account.used_bytes, 'an account without the answer')


class TestAnswerQueue:
    @given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from(('put', 'get', 'close'))), max_size=60))
    def test_any_order(self, calls: list[tuple[int, str]]) -> None:
        """Guards against bytes that stay charged, and against parts that follow the end of an answer."""
        account = ReceiveAccount(4 * len(PART.content))
        aborted: list[int] = []
        queues = [AnswerQueue(account, partial(aborted.append, number)) for number in range(3)]
        taken: list[list[Part]] = [[], [], []]
        for each in queues:
            each.put(STREAM)
        for number, name in calls:
            if name == 'put':
                queues[number].put(PART)
            elif name == 'close':
                queues[number].close()
            else:
                with contextlib.suppress(queue.Empty):
                    taken[number].append(queues[number].get(0))
            assert account.used_bytes <= account.max_bytes
        for number, each in enumerate(queues):
            each.close()
            assert aborted.count(number) <= 1
            assert not any(isinstance(part, CutOff) for part in taken[number][:-1])
        assert account.used_bytes == 0
