"""Bounds on what all connections of a server take together."""

import asyncio
import io
import resource
import threading
from collections.abc import Awaitable, Callable

import pytest
from pydantic import ValidationError

from basilcove.const import MAX_RECEIVE_BYTES
from basilcove.helpers.metrics import Metrics
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.config import ConnectionLimits, ReceiveConfig, find_max_connections
from basilcove.http1.connection import CallerConnection
from basilcove.http1.headers import HttpRequest
from basilcove.http1.refusals import RefusalKind, Refusals
from basilcove.http1.server import HttpServer

TIMEOUT_S = 8
CHUNKED = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
GET = b'GET / HTTP/1.1\r\n\r\n'
ANSWER = b'y' * 400_000


class Answering:
    """Answers GET with a large body and POST with the request's; the path /wait waits."""

    def __init__(self) -> None:
        """Start without requests."""
        self.requests: list[HttpRequest] = []
        self.waiting: list[CallerConnection] = []

    def on_request(self, conn: CallerConnection, request: HttpRequest) -> None:
        """Answer a request."""
        self.requests.append(request)
        if request.path == '/wait':
            self.waiting.append(conn)
            return
        conn.answer(200, [], ANSWER if request.method == b'GET' else request.body)

    def on_closed(self, conn: CallerConnection) -> None:
        """Nothing is in progress after an answer."""


class RecordedRefusals(Refusals):
    """Refusals that are also listed."""

    def __init__(self) -> None:
        """Start without refusals."""
        super().__init__('gateway', Metrics())
        self.kinds: list[RefusalKind] = []

    def add(self, kind: RefusalKind, reason: str) -> bool:
        """List a refusal."""
        self.kinds.append(kind)
        return super().add(kind, reason)


class Running:
    """A running server and its clients."""

    def __init__(self, account: ReceiveAccount, cfg: ReceiveConfig, limits: ConnectionLimits) -> None:
        """Prepare the server."""
        self.handler = Answering()
        refusals = RecordedRefusals()
        self.refused = refusals.kinds
        self.server = HttpServer('127.0.0.1:0', self.handler, account, refusals, cfg)
        self.server.limits = limits
        self.writers: list[asyncio.StreamWriter] = []

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.server.port)
        self.writers.append(writer)
        return reader, writer

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(0.01)


def run(
    check: Callable[[Running], Awaitable[None]],
    limits: ConnectionLimits | None = None,
    max_bytes: int = MAX_RECEIVE_BYTES,
    **cfg: int,
) -> None:
    """Run a check against a server; afterwards nothing may be charged any more."""

    async def serve() -> None:
        running = Running(
            ReceiveAccount(max_bytes), ReceiveConfig.model_validate(cfg), limits or ConnectionLimits()
        )
        await running.server.setup()
        try:
            await asyncio.wait_for(check(running), TIMEOUT_S)
        finally:
            for writer in running.writers:
                writer.close()
        await asyncio.wait_for(running.until(lambda: not running.server.connections), TIMEOUT_S)
        assert running.server.account.used_bytes == 0
        await running.server.unload()

    asyncio.run(serve())


class TestMemory:
    """The account of requests and answers."""

    def test_largest_unfinished(self) -> None:
        """Guards against refusing an ordinary caller while others fill the account."""

        async def check(running: Running) -> None:
            large, large_writer = await running.connect()
            large_writer.write(CHUNKED + b'10000\r\n' + b'x' * 60_000)
            await running.until(lambda: running.server.account.used_bytes > 60_000)
            other, other_writer = await running.connect()
            other_writer.write(CHUNKED + b'c000\r\n' + b'x' * 0xC000 + b'\r\n0\r\n\r\n')
            assert b' 200 ' in await other.readline()
            assert b' 503 ' in await large.readline()
            assert b'retry-after: 1' in (await large.readuntil(b'\r\n\r\n')).lower()
            assert running.refused == [RefusalKind.MEMORY]
            assert len(running.handler.requests) == 1

        run(check, max_bytes=150_000)

    def test_eviction_by_another_thread(self) -> None:
        """Guards against a connection that a thread of another listener uses beside the event loop."""

        async def check(running: Running) -> None:
            reader, writer = await running.connect()
            writer.write(CHUNKED + b'10000\r\n' + b'x' * 60_000)
            account = running.server.account
            await running.until(lambda: account.used_bytes > 60_000)
            refused_by: list[int] = []
            running.server.refusals.add = lambda *_: refused_by.append(threading.get_ident())
            other = account.open(lambda: None)
            await asyncio.to_thread(other.resize, 50_000)
            assert b' 503 ' in await reader.readline()
            assert refused_by == [threading.get_ident()]
            other.close()

        run(check, max_bytes=100_000)

    def test_request_passed_on_before_the_eviction(self) -> None:
        """Guards against a refusal of the next request, if the loop learns late of an eviction."""

        async def check(running: Running) -> None:
            reader, writer = await running.connect()
            writer.write(CHUNKED + b'8000\r\n' + b'x' * 0x8000)
            account = running.server.account
            await running.until(lambda: account.used_bytes > 0x8000)
            other = account.open(lambda: None)
            other.complete()
            evicting = threading.Thread(target=other.resize, args=(90_000,))
            # The rest of the request is parsed in the same iteration, before the thread's call to the loop.
            conn = next(iter(running.server.connections))
            evicting.start()
            evicting.join()
            assert account.evictions == 1
            other.close()
            rest = b'\r\n0\r\n\r\n'
            io.BytesIO(rest).readinto(conn.get_buffer(-1))
            conn.buffer_updated(len(rest))
            assert b' 200 ' in await reader.readline()
            await reader.readuntil(b'x' * 0x8000)
            writer.write(CHUNKED + b'1\r\na\r\n0\r\n\r\n')
            assert b' 200 ' in await reader.readline()
            assert not running.refused

        run(check, max_bytes=100_000)

    def test_nothing_into_an_answer(self) -> None:
        """Guards against a refusal that a caller reads as a part of the answer in progress."""

        async def check(running: Running) -> None:
            reader, writer = await running.connect()
            writer.write(b'GET /wait HTTP/1.1\r\n\r\n' + CHUNKED + b'10000\r\n' + b'x' * 60_000)
            await running.until(lambda: RefusalKind.MEMORY in running.refused)
            running.handler.waiting[0].answer(200, [], b'whole')
            assert (await reader.readuntil(b'whole')).count(b'HTTP/1.1') == 1
            assert await reader.read() == b''

        run(check, max_bytes=50_000)

    def test_unread_answers(self) -> None:
        """Guards against answers that are made for a caller which reads none of them."""

        async def check(running: Running) -> None:
            _, writer = await running.connect()
            writer.write(GET * 500)
            await running.until(lambda: len(running.handler.requests) > 1)
            await asyncio.sleep(0.2)
            assert len(running.handler.requests) < 100
            assert running.server.account.used_bytes < 2 * len(ANSWER)

        run(check)


class TestConnections:
    """Connections, and what comes before a request."""

    def test_full(self) -> None:
        """Guards against connections without number, and a server that never accepts again."""

        async def check(running: Running) -> None:
            for _ in range(8):
                await running.connect()
            reader, writer = await running.connect()
            writer.write(CHUNKED + b'0\r\n\r\n')
            await running.until(lambda: RefusalKind.CONNECTIONS in running.refused)
            assert len(running.server.connections) <= 4
            assert b' 200 ' in await reader.readline()

        run(check, max_connections=4)

    def test_empty_lines(self) -> None:
        """Guards against empty lines that keep a connection open for ever."""

        async def check(running: Running) -> None:
            reader, writer = await running.connect()
            writer.write(b'\r\n' * 400)
            assert b' 400 ' in await reader.readline()
            idle, idle_writer = await running.connect()
            ended = asyncio.create_task(idle.read())
            while not ended.done():
                idle_writer.write(b'\r\n')
                await asyncio.sleep(0.1)
            assert running.refused == [RefusalKind.LEADING_BYTES]

        run(check, ConnectionLimits(idle_timeout_s=0.5), max_leading_bytes=500)

    def test_lingering(self) -> None:
        """Guards against refused connections that stay open without number."""

        async def check(running: Running) -> None:
            readers = []
            for _ in range(4):
                reader, writer = await running.connect()
                writer.write(b'no request\r\n\r\n')
                readers.append(reader)
            for reader in readers:
                assert b' 400 ' in await reader.readline()
            await running.until(lambda: len(running.server.connections) <= 1)

        run(check, max_lingering=1)

    def test_tiny_chunks(self) -> None:
        """Guards against a body that is refused because its many chunks wait for their turn."""

        async def check(running: Running) -> None:
            reader, writer = await running.connect()
            writer.write(CHUNKED + b'2\r\nab\r\n' * 60_000 + b'0\r\n\r\n')
            assert b' 200 ' in await reader.readline()
            assert running.handler.requests[0].body == b'ab' * 60_000

        run(check, ConnectionLimits(header_timeout_s=3))


class TestRefusals:
    """Log lines and counts of refusals."""

    def test_rate(self) -> None:
        """Guards against a log line for each refused request."""
        now = [0.0]
        metrics = Metrics()
        refusals = Refusals('gateway', metrics, lambda: now[0])
        lines = [refusals.add(RefusalKind.LATE, 'late') for _ in range(50)]
        now[0] = 2.0
        lines.append(refusals.add(RefusalKind.LATE, 'late'))
        assert lines.count(True) == 2
        assert 'refused_requests_total{kind="late",listener="gateway"} 51.0' in metrics.render().decode()


class TestSettings:
    """Validation of the limits."""

    @pytest.mark.parametrize('name', ['max_connections', 'max_leading_bytes'])
    def test_zero(self, name: str) -> None:
        """Guards against settings with which no request is ever served."""
        with pytest.raises(ValidationError):
            ReceiveConfig.model_validate({name: 0})

    def test_descriptors(self) -> None:
        """Guards against connections that leave no descriptors for links and upstreams."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        cfg = ReceiveConfig(max_connections=10**9, reserved_descriptors=100)
        assert find_max_connections(cfg) == (soft - 100) // 2
        assert find_max_connections(ReceiveConfig(max_connections=7)) == 7
