"""Ends a connection by a reset, which no peer takes for the orderly end of an answer."""

import asyncio
import socket
import struct
from typing import Final

# On, with a linger time of 0 s: the kernel discards what it has not sent, and resets.
_RESET: Final = struct.pack('ii', 1, 0)


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection; nothing more is read or sent. One that is closed already stays so."""
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
