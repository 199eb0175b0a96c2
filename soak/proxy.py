"""Loopback proxy whose connections can be delayed, reset, or cut in one or both directions."""

import asyncio
import enum
from dataclasses import dataclass, field

from basilcove.http1.resets import reset
from soak.connections import Acceptor
from soak.const import READ_BYTES


class Direction(enum.Enum):
    """Way of bytes, seen from the side that opened the connection."""

    THERE = 'there'
    BACK = 'back'


@dataclass(slots=True)
class _Copy:
    """One direction of one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    direction: Direction


@dataclass(slots=True)
class Proxy:
    """Forwards connections from one address to another; both are ``host:port``.

    Bytes of a direction that is cut wait, as TCP would send them again, and arrive after the cut.
    """

    listen: str
    target: str
    delay_s: float = 0
    _cut: set[Direction] = field(default_factory=set)
    _mended: asyncio.Event = field(default_factory=asyncio.Event)
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
        """Let nothing pass in these directions, on open and on new connections."""
        self._cut = set(directions)
        self._mended.clear()

    def mend(self) -> None:
        """Let everything pass again without delay."""
        self.delay_s = 0
        self._cut = set()
        self._mended.set()

    def reset(self) -> None:
        """Reset all open connections on both sides."""
        for writer in tuple(self._writers):
            reset(writer.transport)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer.transport)
            return
        self._writers |= {writer, far_writer}
        there = _Copy(reader, far_writer, Direction.THERE)
        back = _Copy(far_reader, writer, Direction.BACK)
        await asyncio.gather(self._copy(there), self._copy(back))
        self._writers -= {writer, far_writer}

    async def _copy(self, copy: _Copy) -> None:
        try:
            while content := await copy.reader.read(READ_BYTES):
                await self._pass(copy.direction)
                copy.writer.write(content)
                await copy.writer.drain()
        except OSError:
            # The other side is told in the way in which this one ended.
            reset(copy.writer.transport)
            return
        await self._pass(copy.direction)
        copy.writer.close()

    async def _pass(self, direction: Direction) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while direction in self._cut:
            await self._mended.wait()
