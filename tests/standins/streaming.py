"""Stand-in engines that serve streams, crash at a certain part of prompts, state a limit, or are cold."""

import asyncio
import contextlib
import json
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import count
from typing import Final

from basilcove.http1.resets import reset
from soak.calls import call
from soak.connections import Acceptor
from soak.http import BrokenError, Message, chunk, read_message, write_message

# Time from a crash to the next start of the engine.
DOWN_S: Final = 0.5
ANNOUNCE_INTERVAL_S: Final = 0.5
READING_S: Final = 0.02
EVENT_INTERVAL_S: Final = 0.005
EVENTS: Final = 5
SLOTS: Final = 4


@dataclass
class Arrivals:
    """What all engines have seen, ``limited`` and ``cold`` by address; times are monotonic seconds."""

    deadly: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    limited: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    cold: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))


@dataclass(frozen=True)
class Faults:
    """The part that crashes all engines once they have written so many events, and limits that some state."""

    deadly_part: str = ''
    deadly_events: int = 0
    limits_per_s: dict[str, float] = field(default_factory=dict)


class StreamingEngine:
    """An engine on one address that announces itself to control hosts and starts again after a crash."""

    def __init__(self, address: str, control: list[str], faults: Faults, arrivals: Arrivals) -> None:
        """Announce ``address`` to the first of the control hosts that answers."""
        self._address = address
        self._cold_until = 0.0
        self._has_news = asyncio.Event()
        self._control = control
        self._faults = faults
        self._arrivals = arrivals
        self._starts = count(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._crashed = asyncio.Event()

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return self._address

    def chill(self, duration_s: float) -> None:
        """Become cold for a time, and announce that at once."""
        self._cold_until = time.monotonic() + duration_s
        self._has_news.set()

    async def run(self) -> None:
        """Serve one start after the other until the task is cancelled."""
        while True:
            self._crashed.clear()
            acceptor = Acceptor(self._address, self._serve)
            await acceptor.setup()
            announcer = asyncio.create_task(self._announce(f'i-{self._address}-{next(self._starts)}'))
            try:
                await self._crashed.wait()
            finally:
                announcer.cancel()
                for writer in tuple(self._writers):
                    writer.transport.close()
                await acceptor.unload()
            await asyncio.sleep(DOWN_S)

    async def _announce(self, instance: str) -> None:
        born_ms = time.time_ns() // 1_000_000
        for sequence in count(1):
            content = {
                'service': 'desk',
                'address': self._address,
                'zone': 'a',
                'slots': SLOTS,
                'state': 'ready',
                'sequence': sequence,
                'born': born_ms,
                'cold_remaining_ms': max(0, round((self._cold_until - time.monotonic()) * 1000)),
            }
            self._has_news.clear()
            for host in self._control:
                answer = await call(host, 'PUT', f'/instances/{instance}', json.dumps(content).encode())
                if answer is not None and answer.status == 200:
                    break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANNOUNCE_INTERVAL_S):
                    await self._has_news.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._answer(await read_message(reader), writer)
        except (BrokenError, OSError):
            reset(writer.transport)
        finally:
            self._writers.discard(writer)

    async def _answer(self, req: Message, writer: asyncio.StreamWriter) -> None:
        deadly_part = self._faults.deadly_part
        is_deadly = bool(deadly_part) and f'{deadly_part}:' in req.header('x-basilcove-prefix-hash')
        limit_per_s = self._faults.limits_per_s.get(self._address.partition(':')[0])
        if limit_per_s:
            self._arrivals.limited[self._address].append(time.monotonic())
        if time.monotonic() < self._cold_until:
            self._arrivals.cold[self._address].append(time.monotonic())
        if is_deadly:
            self._arrivals.deadly.append(time.monotonic())
        await asyncio.sleep(READING_S)
        headers = {
            'X-Basilcove-Attempt-Id': req.header('x-basilcove-attempt-id'),
            'Transfer-Encoding': 'chunked',
        }
        if limit_per_s:
            headers['Server-Limit'] = f'{limit_per_s:g}'
        writer.write(write_message('HTTP/1.1 200 OK', headers, None))
        events = self._faults.deadly_events if is_deadly else EVENTS
        for number in range(1, events + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(chunk(f'id: {number}\ndata: x\n\n'.encode()))
        if is_deadly:
            await writer.drain()
            self._arrivals.crashes.append(time.monotonic())
            self._crashed.set()
            await asyncio.sleep(DOWN_S)
            return
        writer.write(chunk(b''))
        await writer.drain()


class StreamingEngines:
    """Engines on an event loop in a thread of their own."""

    def __init__(self, addresses: list[str], control: list[str], faults: Faults) -> None:
        """Start the engines."""
        self.arrivals = Arrivals()
        self._engines = [StreamingEngine(address, control, faults, self.arrivals) for address in addresses]
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def chill(self, address: str, duration_s: float) -> None:
        """Let an engine become cold."""
        for engine in self._engines:
            if engine.address == address:
                self._loop.call_soon_threadsafe(engine.chill, duration_s)

    def stop(self) -> None:
        """Stop all engines and their thread."""
        self._loop.call_soon_threadsafe(self._main.cancel)
        self._thread.join()

    def _run(self) -> None:
        self._main = self._loop.create_task(self._run_engines())
        with contextlib.suppress(asyncio.CancelledError):
            self._loop.run_until_complete(self._main)
        self._loop.close()

    async def _run_engines(self) -> None:
        async with asyncio.TaskGroup() as group:
            for engine in self._engines:
                group.create_task(engine.run())
