import asyncio
from collections.abc import Awaitable, Callable

import pytest

from soak.connections import Acceptor
from soak.proxy import Direction, Proxy
from tests.harness.processes import free_address

SHORT_S = 0.15
TIMEOUT_S = 5

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while content := await reader.read(100):
        writer.write(content)
    writer.close()


def run(check: Callable[[Proxy, Streams], Awaitable[None]]) -> None:
    async def whole() -> None:
        target, listen = free_address(), free_address()
        acceptor, proxy = Acceptor(target, echo), Proxy(listen, target)
        await acceptor.setup()
        await proxy.setup()
        host, _, port = listen.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(b'1')
            assert await reader.read(1) == b'1'
            await check(proxy, (reader, writer))
        finally:
            writer.close()
            await proxy.unload()
            await acceptor.unload()

    asyncio.run(asyncio.wait_for(whole(), TIMEOUT_S))


class TestProxy:
    @pytest.mark.parametrize('directions', [(Direction.OUTBOUND,), (Direction.INBOUND,), tuple(Direction)])
    def test_cut_bytes_arrive_after_the_cut(self, directions: tuple[Direction, ...]) -> None:
        """Guards against a cut that lets bytes pass or loses bytes of a connection that stays open."""

        async def check(proxy: Proxy, streams: Streams) -> None:
            reader, writer = streams
            proxy.cut(*directions)
            writer.write(b'2')
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), SHORT_S)
            proxy.restore()
            assert await reader.read(1) == b'2'

        run(check)

    def test_delay(self) -> None:
        """Guards against a delay without effect."""

        async def check(proxy: Proxy, streams: Streams) -> None:
            reader, writer = streams
            proxy.delay_s = SHORT_S
            begun_at = asyncio.get_running_loop().time()
            writer.write(b'2')
            assert await reader.read(1) == b'2'
            assert asyncio.get_running_loop().time() - begun_at >= 2 * SHORT_S

        run(check)

    def test_reset(self) -> None:
        """Guards against a reset that looks like an orderly close."""

        async def check(proxy: Proxy, streams: Streams) -> None:
            proxy.reset()
            with pytest.raises(ConnectionError):
                await streams[0].read(1)

        run(check)

    def test_orderly_close_is_forwarded(self) -> None:
        """Guards against a closed connection of which the other side is never notified."""

        async def check(proxy: Proxy, streams: Streams) -> None:
            reader, writer = streams
            writer.write_eof()
            assert await reader.read(1) == b''

        run(check)
