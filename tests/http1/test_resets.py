import asyncio

import pytest

from basilcove.http1.resets import reset


class TestReset:
    def test_peer_sees_no_orderly_end(self) -> None:
        """Guards against a broken answer that looks complete, and an error where the connection is closed."""

        async def check() -> None:
            accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
            server = await asyncio.start_server(lambda _, far: accepted.put(far), '127.0.0.1', 0)
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            far = await accepted.get()
            reset(far.transport)
            with pytest.raises(ConnectionResetError):
                await reader.read(1)
            reset(far.transport)
            writer.close()
            server.close()

        asyncio.run(check())
