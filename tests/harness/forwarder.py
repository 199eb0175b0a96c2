"""TCP forwarder between two nodes that can fall silent without closing connections."""

import asyncio
import threading
from typing import Self


class Forwarder:
    """Copies bytes between a listening address and a target, unless it is silent.

    Connections that are open when it is silenced stay silent permanently, even after ``resume``; ``keep_new``
    lets connections work that are opened later.
    """

    def __init__(self, listen: str, target: str) -> None:
        """Prepare a forwarder; entering its context starts it."""
        self.listen = listen
        self._target = target
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._is_blocked = False
        self._generation = 0
        self._listening = threading.Event()

    def __enter__(self) -> Self:
        """Start forwarding."""
        self._thread.start()
        self._listening.wait()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop forwarding."""
        asyncio.run_coroutine_threadsafe(self._end_copies(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def silence(self, keep_new: bool = False) -> None:
        """Stop copying on all open connections and, unless ``keep_new``, on new ones."""
        self._generation += 1
        self._is_blocked = not keep_new

    def resume(self) -> None:
        """Let new connections work again."""
        self._is_blocked = False

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        host, _, port = self.listen.rpartition(':')
        self._loop.run_until_complete(asyncio.start_server(self._accept, host, int(port)))
        self._listening.set()
        self._loop.run_forever()

    async def _end_copies(self) -> None:
        copies = asyncio.all_tasks() - {asyncio.current_task()}
        for copy in copies:
            copy.cancel()
        await asyncio.gather(*copies, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self._generation
        host, _, port = self._target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, target_writer, generation),
            self._copy(target_reader, writer, generation),
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, generation: int
    ) -> None:
        try:
            while received := await reader.read(65536):
                if self._is_blocked or generation != self._generation:
                    continue
                writer.write(received)
                await writer.drain()
        except OSError:
            pass
        if generation == self._generation and not self._is_blocked:
            writer.close()
