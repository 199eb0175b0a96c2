import asyncio

import pytest

from basilcove.http1.resets import reset


class TestReset:
    def test_peer_sees_no_orderly_end(self) -> None:
        """Guards against a broken answer that looks complete, and an error if the connection is closed."""

        async def check() -> None:
            accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
            server = await asyncio.start_server(lambda _, peer: accepted.put(peer), '127.0.0.1', 0)
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            peer = await accepted.get()
            reset(peer.transport)
            with pytest.raises(ConnectionResetError):
                await reader.read(1)
            reset(peer.transport)
            writer.close()
            server.close()

        asyncio.run(check())
