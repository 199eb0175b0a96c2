"""Serves each connection in a task that is cancelled with its server."""

import asyncio
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Acceptor:
    """Listens on an address and serves each connection in a task of its own."""

    def __init__(self, listen: str, serve: Serve) -> None:
        """Serve connections to ``host:port`` once set up."""
        self._listen = listen
        self._serve = serve
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def setup(self) -> None:
        """Accept connections."""
        host, _, port = self._listen.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def unload(self) -> None:
        """Stop accepting connections and close the open ones."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._run(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._serve(reader, writer)
