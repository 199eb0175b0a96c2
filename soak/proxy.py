"""Loopback proxy whose connections can be delayed, reset, or cut in one or both directions."""

import asyncio
import enum
from dataclasses import dataclass, field

from basilcove.http1.resets import reset
from soak.connections import Acceptor
from soak.const import READ_BYTES


class Direction(enum.Enum):
    """Direction of bytes, seen from the side that opened the connection."""

    OUTBOUND = 'outbound'
    INBOUND = 'inbound'


@dataclass(slots=True)
class _Copy:
    """One direction of one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    direction: Direction


@dataclass(slots=True)
class Proxy:
    """Forwards connections from one address to another; both are ``host:port``.

    Bytes of a direction that is cut are delayed until the cut ends, as TCP would retransmit them.
    """

    listen: str
    target: str
    delay_s: float = 0
    _cut: set[Direction] = field(default_factory=set)
    _restored: asyncio.Event = field(default_factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _acceptor: Acceptor | None = None

    async def setup(self) -> None:
        """Accept connections."""
        self._acceptor = Acceptor(self.listen, self._accept)
        await self._acceptor.setup()

    async def unload(self) -> None:
        """Close all connections."""
        self.reset()
        if self._acceptor is not None:
            await self._acceptor.unload()

    def cut(self, *directions: Direction) -> None:
        """Block these directions on open and new connections."""
        self._cut = set(directions)
        self._restored.clear()

    def restore(self) -> None:
        """Unblock all directions and remove the delay."""
        self.delay_s = 0
        self._cut = set()
        self._restored.set()

    def reset(self) -> None:
        """Reset all open connections on both sides."""
        for writer in tuple(self._writers):
            reset(writer.transport)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer.transport)
            return
        self._writers |= {writer, target_writer}
        outbound = _Copy(reader, target_writer, Direction.OUTBOUND)
        inbound = _Copy(target_reader, writer, Direction.INBOUND)
        await asyncio.gather(self._copy(outbound), self._copy(inbound))
        self._writers -= {writer, target_writer}

    async def _copy(self, copy: _Copy) -> None:
        try:
            while content := await copy.reader.read(READ_BYTES):
                await self._wait_until_open(copy.direction)
                copy.writer.write(content)
                await copy.writer.drain()
        except OSError:
            # Reset the other side, too, so that it sees the same kind of end.
            reset(copy.writer.transport)
            return
        await self._wait_until_open(copy.direction)
        copy.writer.close()

    async def _wait_until_open(self, direction: Direction) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while direction in self._cut:
            await self._restored.wait()
