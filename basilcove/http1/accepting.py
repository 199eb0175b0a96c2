"""Accepts the connections of a listener while there is room for them."""

import asyncio
import socket
from collections.abc import Callable

from loguru import logger

from basilcove.http1.const import ACCEPT_RETRY_S, BACKLOG, MAX_ACCEPTS


class Acceptor:
    """Accepts connections as long as ``has_room`` says so; it pauses when it doesn't, until ``resume``."""

    def __init__(
        self,
        factory: Callable[[], asyncio.BaseProtocol],
        has_room: Callable[[int], bool],
        on_error: Callable[[str], None],
    ) -> None:
        """Create a protocol for each connection; ``has_room`` is given the number of unfinished accepts.

        ``on_error`` is given the reason why the operating system accepts no connection.
        """
        self._factory = factory
        self._has_room = has_room
        self._on_error = on_error
        self._loop = asyncio.get_running_loop()
        self._sock: socket.socket | None = None
        self._is_paused = True
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port that is bound."""
        assert self._sock is not None
        return int(self._sock.getsockname()[1])

    @property
    def is_paused(self) -> bool:
        """Return whether connections wait in the backlog."""
        return self._is_paused

    def bind(self, host: str, port: int) -> None:
        """Bind and listen."""
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self._sock = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._sock.setblocking(False)
        self.resume()

    def resume(self) -> None:
        """Accept again."""
        if self._sock is not None and self._is_paused:
            self._is_paused = False
            self._loop.add_reader(self._sock.fileno(), self._accept)

    def close(self) -> None:
        """Stop listening."""
        self._pause()
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _pause(self) -> None:
        if self._sock is not None and not self._is_paused:
            self._is_paused = True
            self._loop.remove_reader(self._sock.fileno())

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS):
            if self._sock is None:
                return
            if not self._has_room(len(self._tasks)):
                self._pause()
                return
            try:
                accepted, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                # The process has no descriptors or memory left; some are returned as connections end.
                self._on_error(f'no connection can be accepted: {exc}')
                self._pause()
                self._loop.call_later(ACCEPT_RETRY_S, self.resume)
                return
            accepted.setblocking(False)
            task = self._loop.create_task(self._connect(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, accepted)
        except OSError as exc:
            logger.warning('an accepted connection was lost: {}', exc)
            accepted.close()
