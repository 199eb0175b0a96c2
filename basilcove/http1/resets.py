"""Ends a connection with a TCP reset, which no peer mistakes for the regular end of an answer."""

import asyncio
import socket
import struct
from typing import Final

# Linger enabled with a time of 0 s: the kernel discards unsent bytes and resets the connection.
_RESET: Final = struct.pack('ii', 1, 0)


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection; nothing more is read or sent. No effect if it is already closed."""
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
