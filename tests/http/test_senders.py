"""Tests with slow senders and malformed body framing, over real sockets."""

import contextlib
import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

import pytest

from basilcove.core.events import Event
from basilcove.environment.keys import digest_of_secret
from basilcove.helpers.metrics import Metrics
from basilcove.helpers.traces import TraceConfig, Tracing
from basilcove.http.announcements import AnnouncementServer
from basilcove.http.answers import AnswerTable, Complete, Head
from basilcove.http.callers import CallerServer
from basilcove.http.config import AnnounceConfig, HttpConfig
from basilcove.http1.account import ReceiveAccount
from basilcove.requests.events import RequestArrived
from tests.harness.processes import free_address
from tests.requests.samples import make_environment

KEY = 'k'
ACCOUNT_BYTES = 1024 * 1024
SOCKET_TIMEOUT_S, RECEIVE_TIMEOUT_S, PACE_S = 5, 0.6, 0.1
ANNOUNCEMENT = {'name': 'u0', 'url': 'http://127.0.0.1:9', 'credential': 'c', 'incarnation': 1}


@dataclass
class Target:
    """A running server, the head and body of a valid request, and the events that requests caused."""

    listen: str
    head: bytes
    body: bytes
    listener: str = 'entry'
    metrics: Metrics = field(default_factory=Metrics)
    events: list[Event] = field(default_factory=list)

    def connect(self) -> socket.socket:
        host, _, port = self.listen.rpartition(':')
        return socket.create_connection((host, int(port)), timeout=30)

    def send_request(self, *content: bytes) -> bytes:
        """Send a request and close the sending side; return all received bytes."""
        with self.connect() as conn:
            conn.sendall(self.head + b''.join(content))
            with contextlib.suppress(OSError):  # The server may already have closed the connection.
                conn.shutdown(socket.SHUT_WR)
            return read_all(conn)


def read_all(conn: socket.socket) -> bytes:
    return b''.join(iter(lambda: conn.recv(65536), b''))


def chunked(*chunks: bytes) -> bytes:
    sizes = (b'%x\r\n%s\r\n' % (len(chunk), chunk) for chunk in chunks)
    return b'Transfer-Encoding: chunked\r\n\r\n' + b''.join(sizes)


@pytest.fixture(scope='module')
def entry_server() -> Iterator[Target]:
    """An entry that answers each request immediately with status 200."""
    account = ReceiveAccount(ACCOUNT_BYTES)
    answers = AnswerTable(account)
    cfg = HttpConfig(
        listen=free_address(), socket_timeout_s=SOCKET_TIMEOUT_S, receive_timeout_s=RECEIVE_TIMEOUT_S
    )
    target = Target(
        cfg.listen, b'POST /services/carts/book HTTP/1.1\r\nHost: a\r\n', b'{"cart": "A7"}', 'entry'
    )
    target.head += b'Authorization: Bearer %s\r\n' % KEY.encode()

    def post(event: Event) -> None:
        target.events.append(event)
        if isinstance(event, RequestArrived):
            answers.put(event.request.request_id, Head(200, {}))
            answers.put(event.request.request_id, Complete())

    server = CallerServer.from_config(cfg, answers, target.metrics, Tracing(TraceConfig(), 'e0'), account)
    server.change_environment(make_environment(key_digests=[digest_of_secret(KEY)]))
    server.setup(post, list)
    yield target
    server.unload()


@pytest.fixture(scope='module')
def agent_server() -> Iterator[Target]:
    """An agent's server for announcements."""
    cfg = AnnounceConfig(listen=free_address(), receive_timeout_s=RECEIVE_TIMEOUT_S)
    body = json.dumps(ANNOUNCEMENT).encode()
    target = Target(cfg.listen, b'PUT /announce HTTP/1.1\r\nHost: a\r\n', body, 'agent')
    server = AnnouncementServer.from_config(cfg, target.metrics, ReceiveAccount(ACCOUNT_BYTES))
    server.setup(target.events.append, list)
    yield target
    server.unload()


@pytest.fixture
def entry(entry_server: Target) -> Target:
    """The entry, without events of earlier tests."""
    entry_server.events.clear()
    return entry_server


@pytest.fixture(params=['entry_server', 'agent_server'])
def target(request: pytest.FixtureRequest) -> Target:
    """Each of the two servers in turn, without events of earlier tests."""
    target: Target = request.getfixturevalue(request.param)
    target.events.clear()
    return target


class TestRefusals:
    @pytest.mark.parametrize(
        ('content', 'kind'),
        [
            (b'X: %s\r\n\r\n' % (b'a' * 40_000), 'headers_too_large'),
            (b'Content-Length: two\r\n\r\n', 'malformed'),
            (b'Transfer-Encoding: chunked\r\n\r\nzz\r\n', 'malformed'),
            (b'Transfer-Encoding: chunked\r\n\r\nfffffff\r\n', 'body_too_large'),
            (b'Content-Length: 99999999\r\n\r\n', 'body_too_large'),
        ],
    )
    def test_refusals_are_counted(self, target: Target, content: bytes, kind: str) -> None:
        """Guards against kinds of refusal that only one of the HTTP packages counts."""
        labels = {'listener': target.listener, 'kind': kind}
        read = partial(target.metrics.registry.get_sample_value, 'basilcove_refused_requests_total', labels)
        before = read() or 0
        assert target.send_request(content).startswith(b'HTTP/1.1 4')
        assert read() == before + 1


class TestSlowSenders:
    @pytest.mark.parametrize('make', [lambda sent: b'X-Slow: ', lambda sent: b'Content-Length: 200\r\n\r\n'])
    def test_trickling_sender_gets_408(self, target: Target, make: Callable[[bytes], bytes]) -> None:
        """Guards against a sender that occupies a thread by sending one byte at a time."""
        with target.connect() as conn:
            conn.sendall(target.head + make(target.body))
            conn.settimeout(PACE_S)
            received, sent = b'', 0
            while not received and sent < 200:
                sent += 1
                with contextlib.suppress(OSError):
                    conn.sendall(b'a')
                with contextlib.suppress(TimeoutError):
                    received = conn.recv(65536)
        assert received.startswith(b'HTTP/1.1 408 '), (received, sent)
        assert not target.events

    def test_bound_covers_one_request_of_a_connection(self, entry: Target) -> None:
        """Guards against a timeout for the whole connection, which would cut off long-lived ones."""
        content = entry.head + b'Content-Length: 2\r\n\r\n{}'
        with entry.connect() as conn:
            conn.settimeout(2 * RECEIVE_TIMEOUT_S)
            for _ in range(2):
                conn.sendall(content)
                assert conn.recv(65536).startswith(b'HTTP/1.1 200 ')
                with pytest.raises(TimeoutError):
                    conn.recv(65536)


class TestFraming:
    @pytest.mark.parametrize(
        'content',
        [
            b'zz\r\n{}\r\n0\r\n\r\n',
            b'\r\n',
            b'-2\r\n{}\r\n0\r\n\r\n',
            b'0x2\r\n{}\r\n0\r\n\r\n',
            b'2\r\n{}a\r\n0\r\n\r\n',
            b'2\r\n{}\r\n',
            b'9\r\n{}',
            b'2\r\n{}\r\n0\r\nno trailer\r\n\r\n',
            b'2\r\n{}\r\n0\r\n',
            b'1' * 5000,
        ],
    )
    def test_malformed_chunks_get_400(self, target: Target, content: bytes) -> None:
        """Guards against a body that ends a server thread, and against a call with a partial body."""
        received = target.send_request(b'Transfer-Encoding: chunked\r\n\r\n', content)
        assert received.startswith(b'HTTP/1.1 400 '), received
        assert not target.events

    def test_shortened_body_gets_400(self, target: Target) -> None:
        """Guards against a call with the partial body of a sender that was cut off."""
        received = target.send_request(b'Content-Length: %d\r\n\r\n' % (len(target.body) + 1), target.body)
        assert received.startswith(b'HTTP/1.1 400 '), received
        assert not target.events

    @pytest.mark.parametrize('length', [b'-1', b'+2', b'2_0', b'two'])
    def test_malformed_length_gets_400(self, target: Target, length: bytes) -> None:
        """Guards against a body that is read without a limit, and against a request smuggled in a body."""
        received = target.send_request(b'Content-Length: %s\r\n\r\n' % length, target.body)
        assert received.startswith(b'HTTP/1.1 400 '), received
        assert received.count(b'HTTP/1.1 ') == 1
        assert not target.events

    def test_valid_chunked_bodies_are_accepted(self, target: Target) -> None:
        """Guards against checks that refuse extensions and trailers, or lose the next request."""
        body = target.body
        first = chunked(body[:3]) + b'%x;a=b\r\n%s\r\n0\r\nX-Trailer: a\r\n\r\n' % (len(body) - 3, body[3:])
        received = target.send_request(first, target.head, chunked(body), b'0\r\n\r\n')
        assert received.count(b'HTTP/1.1 20') == 2, received
        assert len(target.events) == 2

    @pytest.mark.parametrize(
        'head', [b'GET /healthz HTTP/1.1\r\n', b'POST /services/carts/book HTTP/1.1\r\n']
    )
    def test_unread_chunks_are_not_parsed_as_the_next_request(self, entry: Target, head: bytes) -> None:
        """Guards against a request smuggled in a chunked body that the server didn't read to its end."""
        smuggled = entry.head + b'Content-Length: 0\r\n\r\n'
        bare = Target(entry.listen, head + b'Host: a\r\n', b'')
        received = bare.send_request(b'Transfer-Encoding: chunked\r\n\r\n', smuggled)
        assert received.count(b'HTTP/1.1 ') == 1, received
        assert not entry.events
