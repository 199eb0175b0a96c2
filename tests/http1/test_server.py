import asyncio
import time
from collections.abc import Awaitable, Callable

from basilcove.const import MAX_RECEIVE_BYTES
from basilcove.helpers.metrics import Metrics
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.config import ConnectionLimits
from basilcove.http1.connection import CallerConnection
from basilcove.http1.headers import HttpRequest
from basilcove.http1.refusals import Refusals
from basilcove.http1.server import HttpServer

TIMEOUT_S = 5


class Echo:
    """Answers with the body of the request; the path /bad raises an error."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []

    def on_request(self, conn: CallerConnection, request: HttpRequest) -> None:
        self.requests.append(request)
        if request.path == '/bad':
            raise KeyError('injected')
        conn.answer(200, [], request.body)

    def on_closed(self, conn: CallerConnection) -> None:
        """Nothing is in progress after an answer."""


Check = Callable[[asyncio.StreamReader, asyncio.StreamWriter, Echo], Awaitable[None]]


def run(check: Check, limits: ConnectionLimits | None = None) -> None:
    async def serve() -> None:
        echo = Echo()
        server = HttpServer(
            '127.0.0.1:0', echo, ReceiveAccount(MAX_RECEIVE_BYTES), Refusals('gateway', Metrics())
        )
        server.limits = limits or ConnectionLimits()
        await server.setup()
        reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
        try:
            await asyncio.wait_for(check(reader, writer, echo), TIMEOUT_S)
        finally:
            writer.close()
            await server.unload()

    asyncio.run(serve())


class TestEndlessRequests:
    def test_head_with_a_byte_now_and_then(self) -> None:
        """Guards against a caller that holds a connection for ever with a head that never ends."""

        async def check(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, echo: Echo) -> None:
            writer.write(b'GET / HTTP/1.1\r\nX: ')
            started_at = time.monotonic()
            answered = asyncio.create_task(reader.readline())
            while not answered.done():
                writer.write(b'x')
                await asyncio.sleep(0.05)
            assert b' 408 ' in await answered
            assert time.monotonic() - started_at < 2

        run(check, ConnectionLimits(header_timeout_s=0.4))

    def test_body_with_a_byte_now_and_then(self) -> None:
        """Guards against a caller whose body never ends."""

        async def check(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, echo: Echo) -> None:
            writer.write(b'POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n')
            answered = asyncio.create_task(reader.readline())
            while not answered.done():
                writer.write(b'x')
                await asyncio.sleep(0.05)
            assert b' 408 ' in await answered

        run(check, ConnectionLimits(header_timeout_s=0.4))

    def test_slow_but_sound_body(self) -> None:
        """Guards against an upload that is cut off although it arrives steadily."""

        async def check(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, echo: Echo) -> None:
            writer.write(b'POST / HTTP/1.1\r\nContent-Length: 6000\r\n\r\n')
            for _ in range(15):
                writer.write(b'x' * 400)
                await asyncio.sleep(0.1)
            assert b' 200 ' in await reader.readline()

        run(check, ConnectionLimits(header_timeout_s=0.4))

    def test_trailers_and_chunk_extensions_without_end(self) -> None:
        """Guards against memory that fills after the body, and trailers that count as headers."""

        async def send_endlessly(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes
        ) -> bytes:
            answered = asyncio.create_task(reader.readline())
            for _ in range(500):
                writer.write(line)
                await asyncio.sleep(0)
                if answered.done():
                    break
            return await answered

        def check_with(beginning: bytes, line: bytes) -> Check:
            async def check(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, echo: Echo) -> None:
                writer.write(b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n' + beginning)
                assert b' 431 ' in await send_endlessly(reader, writer, line)
                assert not echo.requests

            return check

        run(check_with(b'2\r\nab\r\n0\r\n', b'X-Filler: ' + b'x' * 1000 + b'\r\n'))
        run(check_with(b'2;name=', b'x' * 1000))

    def test_trailer_is_no_header(self) -> None:
        """Guards against a header that a caller adds after the checks of the head."""

        async def check(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, echo: Echo) -> None:
            writer.write(
                b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Own: 1\r\n\r\n'
            )
            assert b' 200 ' in await reader.readline()
            assert not echo.requests[0].header(b'x-own')

        run(check)


class TestFailingHandler:
    def test_caller_gets_an_answer(self) -> None:
        """Guards against a caller that waits for ever after an error in the handler."""

        async def check(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, echo: Echo) -> None:
            writer.write(b'GET /bad HTTP/1.1\r\n\r\n')
            assert b' 500 ' in await reader.readline()
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'GET /good HTTP/1.1\r\n\r\n')
            assert b' 200 ' in await reader.readline()

        run(check)
