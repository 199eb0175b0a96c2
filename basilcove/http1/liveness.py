"""Tells whether the other end of a connection has closed it, before its end is read."""

import asyncio
import socket


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other end has closed or reset a connection; costs four system calls.

    Bytes that are not read yet hide the end behind them.
    """
    if transport.is_closing():
        return True
    sock = transport.get_extra_info('socket')
    if sock is None:
        return False
    try:
        with sock.dup() as peeking:
            return not peeking.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except ConnectionError:
        return True
    except OSError:
        # Nothing has arrived, or no descriptor is left to look.
        return False
