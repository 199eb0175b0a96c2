"""The reader of requests: bytes split at any place, and connections in any order."""

import asyncio
import itertools
from http import HTTPStatus
from io import BytesIO
from unittest.mock import Mock

from hypothesis import given
from hypothesis import strategies as st

from basilcove.helpers.metrics import Metrics
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.config import ConnectionLimits
from basilcove.http1.connection import CallerConnection
from basilcove.http1.headers import HttpRequest
from basilcove.http1.reading import RequestReader
from basilcove.http1.refusals import RefusalKind, Refusals
from basilcove.http1.server import HttpServer

MAX_LEADING = 64
LIMITS = ConnectionLimits(max_header_bytes=400, max_body_bytes=600)
HEAD = b'POST /x HTTP/1.1\r\nHost: a\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'

NAMES = st.text('abcXYZ-', min_size=1, max_size=40).map(str.encode)
LINES = st.builds(
    lambda name, text: b'q%s:%s\r\n' % (name, text), NAMES, st.sampled_from((b'', b' v', b'  w '))
)
CHUNKS = st.lists(st.binary(min_size=1, max_size=90), max_size=30)


class Reading:
    """A reader, and what it passes on."""

    def __init__(self) -> None:
        """Start to read."""
        self.requests: list[HttpRequest] = []
        self.costs: list[int] = []
        self.faults: list[RefusalKind] = []
        self.expectations = 0
        self.reader = RequestReader(MAX_LEADING, self._add, self._expect, self._fail)

    def feed(self, content: bytes, cuts: list[int]) -> None:
        """Feed content that is cut at some places."""
        places = sorted({0, len(content), *(cut % (len(content) + 1) for cut in cuts)})
        for start, end in itertools.pairwise(places):
            if not self.faults:
                self.reader.feed(memoryview(content)[start:end], LIMITS)

    def _add(self, request: HttpRequest, cost_bytes: int) -> None:
        self.requests.append(request)
        self.costs.append(cost_bytes)

    def _expect(self) -> None:
        self.expectations += 1

    def _fail(self, status: HTTPStatus, kind: RefusalKind, reason: str) -> None:
        self.faults.append(kind)


def chunk(part: bytes) -> bytes:
    """Return a part of a body as a chunk."""
    return b'%x\r\n%s\r\n' % (len(part), part)


class TestSplits:
    """Bytes split at any place."""

    @given(st.lists(LINES, max_size=8), CHUNKS, st.lists(st.integers(0, 5000), max_size=20))
    def test_request(self, lines: list[bytes], parts: list[bytes], cuts: list[int]) -> None:
        """Guards against bodies or headers that depend on how the network cuts a request."""
        body = b''.join(parts)
        head = HEAD + b''.join(lines) + b'Transfer-Encoding: chunked\r\n\r\n'
        reading = Reading()
        reading.feed(head + b''.join(map(chunk, parts)) + b'0\r\n\r\n', cuts)
        if len(head) > LIMITS.max_header_bytes:
            # Heads over the limit by their framing alone may pass, since only their content is kept.
            assert reading.faults in ([], [RefusalKind.HEADERS_TOO_LARGE])
        elif len(body) > LIMITS.max_body_bytes:
            assert reading.faults == [RefusalKind.BODY_TOO_LARGE]
        else:
            assert [request.body for request in reading.requests] == [body]
            assert len(reading.requests[0].headers) == len(lines) + 2
            assert reading.costs[0] >= len(body) + sum(map(len, lines)) / 2
        assert reading.reader.cost_bytes == 0

    @given(CHUNKS, st.lists(st.integers(0, 5000), max_size=20))
    def test_cost_of_unfinished(self, parts: list[bytes], cuts: list[int]) -> None:
        """Guards against an unfinished request that is charged less than what has arrived of it."""
        reading = Reading()
        reading.feed(CHUNKED + b''.join(map(chunk, parts)), cuts)
        if not reading.faults:
            assert reading.reader.cost_bytes >= sum(map(len, parts))
            reading.reader.drop()
        assert reading.reader.cost_bytes == 0

    @given(st.integers(0, 40), st.lists(st.integers(0, 400), max_size=20))
    def test_empty_lines(self, lines: int, cuts: list[int]) -> None:
        """Guards against empty lines without end, and against refusing the few that RFC 9112 allows."""
        reading = Reading()
        reading.feed(b'\r\n' * lines, cuts)
        assert bool(reading.faults) == (lines * 2 > MAX_LEADING)

    @given(st.sampled_from((b'a: b\r\n', b'a:\r\n')), st.lists(st.integers(0, 5000), max_size=20))
    def test_trailers_without_end(self, line: bytes, cuts: list[int]) -> None:
        """Guards against trailers that never end, which are dropped but must not go on for ever."""
        reading = Reading()
        reading.feed(CHUNKED + b'0\r\n' + line * 200, [len(CHUNKED) + 3, *range(200, 1400, 60), *cuts])
        assert reading.faults == [RefusalKind.HEADERS_TOO_LARGE]


class TestConnections:
    """Several connections of one server, in any order."""

    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.sampled_from((CHUNKED, chunk(b'y' * 50), b'z'))), max_size=60
        )
    )
    def test_account(self, segments: list[tuple[int, bytes]]) -> None:
        """Guards against bytes that stay charged after their connections have ended."""

        async def check() -> None:
            server = HttpServer('127.0.0.1:0', Mock(), ReceiveAccount(2000), Refusals('gateway', Metrics()))
            conns = [CallerConnection(server) for _ in range(5)]
            for conn in conns:
                transport = Mock(spec=asyncio.Transport)
                transport.get_write_buffer_size.return_value = 0
                transport.is_closing.return_value = False
                conn.connection_made(transport)
            for index, segment in segments:
                BytesIO(segment).readinto(conns[index].get_buffer(-1))
                conns[index].buffer_updated(len(segment))
                assert server.account.used_bytes <= server.account.max_bytes
            for conn in conns:
                conn.connection_lost(None)
            assert server.account.used_bytes == 0
            assert not server.connections

        asyncio.run(check())


OFFERS = st.sampled_from(
    (
        b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n',
        b'Upgrade: websocket\r\nconnection: keep-alive, upgrade\r\nSec-WebSocket-Key: x\r\n',
        b'Expect: 100-continue\r\nConnection: upgrade\r\nUPGRADE: TLS/1.0\r\nUpgrade: h2c\r\n',
    )
)


class TestOffers:
    """Requests that offer another protocol, which is not spoken."""

    @given(OFFERS, CHUNKS, st.booleans(), st.lists(st.integers(0, 5000), max_size=20))
    def test_body_is_read(self, offer: bytes, parts: list[bytes], is_chunked: bool, cuts: list[int]) -> None:
        """Guards against a request that runs without its body, which is taken for the other protocol."""
        body = b''.join(parts)[: LIMITS.max_body_bytes]
        framing = b'Transfer-Encoding: chunked' if is_chunked else b'Content-Length: %d' % len(body)
        chunks = [chunk(body), chunk(b'')] if body else [chunk(b'')]
        sent = b''.join(chunks) if is_chunked else body
        reading = Reading()
        reading.feed((HEAD + offer + framing + b'\r\n\r\n' + sent) * 2, cuts)
        assert not reading.faults
        assert [request.body for request in reading.requests] == [body, body]
        assert all(request.keeps_alive for request in reading.requests)
        assert reading.expectations == 2 * offer.startswith(b'Expect')
        assert not reading.reader.is_reading

    @given(st.lists(st.integers(0, 200), max_size=5))
    def test_tunnel_is_refused(self, cuts: list[int]) -> None:
        """Guards against a CONNECT that runs as a request without a body, and against what follows it."""
        reading = Reading()
        reading.feed(b'CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\nGET /x HTTP/1.1\r\n\r\n', cuts)
        assert (reading.faults, reading.requests) == ([RefusalKind.MALFORMED], [])

    def test_framing_is_checked(self) -> None:
        """Guards against a request that is smuggled in by a second length beside an offer."""
        for lines in (
            b'Content-Length: 3\r\nContent-Length: 4',
            b'Content-Length: 3\r\nTransfer-Encoding: chunked',
        ):
            reading = Reading()
            reading.feed(HEAD + b'Connection: upgrade\r\nUpgrade: h2c\r\n' + lines + b'\r\n\r\nabcd', [])
            assert (reading.faults, reading.requests) == ([RefusalKind.MALFORMED], [])
