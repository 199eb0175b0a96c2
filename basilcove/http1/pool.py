"""Idle connections to upstreams, kept for reuse while their state is certain."""

import asyncio
import time
from collections import deque

from basilcove.http1.client import ClientConfig, UpstreamConnection


class UpstreamConnections:
    """Idle connections by address, for reuse."""

    def __init__(self, cfg: ClientConfig) -> None:
        """Start without connections."""
        self._cfg = cfg
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self.opened = 0

    def pop_idle(self, address: str) -> UpstreamConnection | None:
        """Remove and return a reusable connection, the most recently used first; None if there is none."""
        idle = self._idle.get(address)
        now = time.monotonic()
        while idle:
            conn = idle.pop()
            if conn.is_reusable(now):
                return conn
            conn.close()
        return None

    async def open(self, address: str) -> UpstreamConnection:
        """Open a connection; OSError or TimeoutError if the upstream is unreachable."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened += 1
        async with asyncio.timeout(self._cfg.connect_timeout_s):
            _, conn = await loop.create_connection(lambda: UpstreamConnection(self._cfg), host, int(port))
        conn.on_idle = lambda idle: self._store_idle(address, idle)
        return conn

    def close_all(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()

    def _store_idle(self, address: str, conn: UpstreamConnection) -> None:
        if not conn.is_reusable(time.monotonic()):
            conn.close()
            return
        idle = self._idle.setdefault(address, deque())
        idle.append(conn)
        if len(idle) > self._cfg.max_idle_connections:
            idle.popleft().close()
