"""Listens for callers, within limits on what all their connections take together."""

import asyncio
import time
from collections import deque
from typing import Protocol

from basilcove.http1.accepting import Acceptor
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.config import ConnectionLimits, ReceiveConfig, find_max_connections
from basilcove.http1.connection import CallerConnection
from basilcove.http1.const import HEAD_READ_BYTES, READ_BYTES, SWEEP_INTERVAL_S
from basilcove.http1.headers import HttpRequest
from basilcove.http1.refusals import RefusalKind, Refusals


class RequestHandler(Protocol):
    """Handles requests; both methods run on the loop's thread."""

    def on_request(self, conn: CallerConnection, request: HttpRequest) -> None:
        """Handle a request; the connection passes no other one until its answer ends."""

    def on_closed(self, conn: CallerConnection) -> None:
        """Handle the disconnection of a caller before its answer ended."""


class HttpServer:
    """Listens for callers."""

    def __init__(
        self,
        listen: str,
        handler: RequestHandler,
        account: ReceiveAccount,
        refusals: Refusals,
        cfg: ReceiveConfig | None = None,
    ) -> None:
        """Store the address as ``host:port``; ``setup`` binds it.

        The listeners of a process share an account.
        """
        self._listen = listen
        self.handler = handler
        self.cfg = cfg or ReceiveConfig()
        self.account = account
        self.refusals = refusals
        self.limits = ConnectionLimits()
        self.connections: set[CallerConnection] = set()
        self.is_stopping = False
        # Segments of all connections are read into one buffer.
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.head_buffer = self.buffer[:HEAD_READ_BYTES]
        self._max_connections = find_max_connections(self.cfg)
        self._lingering: set[CallerConnection] = set()
        self._throttled: deque[CallerConnection] = deque()
        self._acceptor: Acceptor | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def setup(self) -> None:
        """Bind and serve."""
        host, _, port = self._listen.rpartition(':')
        self._acceptor = Acceptor(lambda: CallerConnection(self), self._has_room, self._on_accept_error)
        self._acceptor.bind(host, int(port))
        self._sweeper = asyncio.create_task(self._sweep())

    def close_after_answers(self) -> None:
        """Close each connection after its next answer; new connections are still accepted."""
        self.is_stopping = True

    def close_idle(self) -> None:
        """Close all idle connections."""
        for conn in tuple(self.connections):
            conn.close_if_idle()

    def has_unsent(self) -> bool:
        """Return whether bytes of answers wait for their callers; looks at all connections."""
        transports = (conn.transport for conn in self.connections)
        return any(each is not None and each.get_write_buffer_size() > 0 for each in transports)

    async def unload(self) -> None:
        """Stop listening and close all idle connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._acceptor is not None:
            self._acceptor.close()
        self.close_idle()

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        assert self._acceptor is not None
        return self._acceptor.port

    # For connections.

    def remove(self, conn: CallerConnection) -> None:
        """Forget a lost connection, which makes room for another one."""
        self.connections.discard(conn)
        self._lingering.discard(conn)
        if self._acceptor is not None:
            self._acceptor.resume()

    def may_linger(self, conn: CallerConnection) -> bool:
        """Return whether a refused connection may stay open until its caller has read the refusal."""
        if len(self._lingering) >= self.cfg.max_lingering:
            return False
        self._lingering.add(conn)
        return True

    def throttle(self, conn: CallerConnection) -> None:
        """Let a connection continue after those that wait already, one in each iteration of the loop."""
        self._throttled.append(conn)
        if len(self._throttled) == 1:
            asyncio.get_running_loop().call_soon(self._resume_throttled)

    def _resume_throttled(self) -> None:
        self._throttled.popleft().take_turn()
        if self._throttled:
            asyncio.get_running_loop().call_soon(self._resume_throttled)

    def _has_room(self, connecting: int) -> bool:
        if len(self.connections) + connecting < self._max_connections:
            return True
        self.refusals.add(RefusalKind.CONNECTIONS, f'{self._max_connections} connections are open')
        return False

    def _on_accept_error(self, reason: str) -> None:
        self.refusals.add(RefusalKind.DESCRIPTORS, reason)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            is_full = self._acceptor is not None and self._acceptor.is_paused
            for conn in tuple(self.connections):
                conn.sweep(now, is_full=is_full)
