import asyncio
import socket
from collections.abc import Callable

import pytest

from basilcove.http1.liveness import has_peer_closed

REQUEST = b'DELETE /evacuations/a HTTP/1.1\r\n\r\n'


def _close_at_once(caller: socket.socket) -> None:
    caller.sendall(REQUEST)
    caller.close()


def _end_sending(caller: socket.socket) -> None:
    caller.sendall(REQUEST)
    caller.shutdown(socket.SHUT_WR)


def _reset(caller: socket.socket) -> None:
    caller.sendall(REQUEST)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
    caller.close()


def _wait(caller: socket.socket) -> None:
    caller.sendall(REQUEST)


class _Reader(asyncio.Protocol):
    """Looks at the connection as soon as the request is read."""

    def __init__(self) -> None:
        self.transport: asyncio.BaseTransport | None = None
        self.seen: list[bool] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.seen.append(has_peer_closed(self.transport))


async def _look(act: Callable[[socket.socket], None]) -> list[bool]:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        act(caller)
        accepted, _ = listener.accept()
        _, reader = await asyncio.get_running_loop().connect_accepted_socket(_Reader, accepted)
        for _ in range(100):
            if reader.seen or reader.transport is None or reader.transport.is_closing():
                break
            await asyncio.sleep(0.01)
        if reader.transport is not None:
            reader.transport.close()
        caller.close()
        return reader.seen


class TestHasPeerClosed:
    @pytest.mark.parametrize('act', [_close_at_once, _end_sending])
    def test_caller_that_has_closed(self, act: Callable[[socket.socket], None]) -> None:
        """Guards against a call that is carried out though its caller closed before it was read."""
        assert asyncio.run(_look(act)) == [True]

    def test_caller_that_has_reset(self) -> None:
        """Guards against the same; a reset may drop the call itself."""
        assert asyncio.run(_look(_reset)) in ([True], [])

    def test_caller_that_waits(self) -> None:
        assert asyncio.run(_look(_wait)) == [False]
