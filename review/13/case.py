"""A part of prompts that crashes engines once they have written their first event is never found."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from loopback import BROKEN, HELD, Engine, World, configuration, main, route, wait_for  # noqa: E402

CONTACT_S = 3.0
DEADLY_PART = 'dead0001'
SHARED_PART = '5c1e07a2'
ENGINES = 4
DOWN_S = 3.0
CALM_S = 8.0
TROUBLE_S = 40.0
SOUND_INTERVAL_S = 0.1
DEADLY_INTERVAL_S = 0.5
EVENTS = 8
EVENT_INTERVAL_S = 0.03
MAX_LATE_ARRIVALS = 3
MIN_REQUESTS = 20


class Engines:
    """What all engines have seen; times are monotonic seconds."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self.deadly: list[float] = []
        self.crashes: list[float] = []


class StreamEngine(Engine):
    """Serves streams; it crashes when it begins to write an answer on the deadly part."""

    def __init__(self, world: World, seen: Engines) -> None:
        """Report to ``seen``."""
        super().__init__(world, 'llm')
        self._seen = seen
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> None:
        """Write a stream of events, each in a chunk."""
        is_deadly = f'{DEADLY_PART}:' in headers.get('x-basilcove-prefix-hash', '')
        if is_deadly:
            self._seen.deadly.append(time.monotonic())
        await asyncio.sleep(0.05)
        fields = {
            **self.own_headers(headers),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        head = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
        writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
        first = int(headers.get('last-event-id') or 0) + 1
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: {headers["x-basilcove-attempt-id"]} {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
            if is_deadly and self.is_up:
                self._seen.crashes.append(time.monotonic())
                self.world.record.add(f'{self.instance} crashes with {headers["x-basilcove-attempt-id"]}')
                task = asyncio.create_task(self.crash(DOWN_S))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                return
        writer.write(b'0\r\n\r\n')


class Load:
    """Requests at a fixed interval, at the gateways in turn."""

    def __init__(self, world: World, part: str, interval_s: float) -> None:
        """Send requests with this shared part besides the first one."""
        self._world, self._part, self._interval_s = world, part, interval_s
        self.outcomes: list[tuple[float, bool]] = []

    async def run(self, until: float) -> None:
        """Send until a moment, then wait for the last answers."""
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if time.monotonic() > until:
                    return
                group.create_task(self._send(number))
                await asyncio.sleep(self._interval_s)

    async def _send(self, number: int) -> None:
        at = time.monotonic()
        gateway = self._world.gateways[number % len(self._world.gateways)]
        own = f'{id(self) % 65536:04x}{number:06x}'
        extra = {
            'X-Basilcove-Model': 'm',
            'X-Basilcove-Token-Usage': '1460,80',
            'X-Basilcove-Prefix-Hash': f'{SHARED_PART}:800,{self._part}:410,{own}:250',
        }
        _, answer = await self._world.ask(gateway, '/chat/x', 'key-one', 4000, extra)
        self.outcomes.append((at, answer.status == 200))

    def share(self, begin: float, end: float) -> tuple[int, float]:
        """Return the number of requests of a span and the share that began at the first attempt."""
        begun = [has_begun for at, has_begun in self.outcomes if begin <= at < end]
        return len(begun), sum(begun) / max(1, len(begun))


async def case(world: World, has_trouble: bool) -> int:
    """Send sound requests, then requests with the deadly part beside them."""
    seen = Engines()
    engines: list[Engine] = [StreamEngine(world, seen) for _ in range(ENGINES)]
    streams = route('r-chat', '/chat/', 'llm', 'streaming', resumable=True, sticky=True, target_itl_ms=120)
    await world.set_up(configuration(3, [streams], [{'name': 'llm'}]), engines)

    async def is_served() -> bool:
        return (await world.ask(world.gateways[0], '/chat/x', 'key-one'))[1].status == 200

    await wait_for(is_served, 'a served request')
    began = time.monotonic()
    trouble_at, ended = began + CALM_S, began + CALM_S + TROUBLE_S
    sound = Load(world, '91bd3f06', SOUND_INTERVAL_S)
    deadly = Load(world, DEADLY_PART, DEADLY_INTERVAL_S)

    async def disturb() -> None:
        await asyncio.sleep(CALM_S)
        if has_trouble:
            await deadly.run(ended)

    await asyncio.gather(sound.run(ended), disturb())
    return judge(world, seen, sound, (began, trouble_at, ended))


def judge(world: World, seen: Engines, sound: Load, times: tuple[float, float, float]) -> int:
    """Compare what engines got and clients were served with the rules BUDGET and LOST of the letters."""
    began, trouble_at, ended = times
    calm_count, calm_share = sound.share(began, trouble_at)
    world.record.show(f'calm: {calm_count} sound requests, {calm_share:.2f} began at the first attempt')
    world.record.show(f'{len(seen.crashes)} crashes, {len(seen.deadly)} arrivals with the deadly part')
    if len(seen.crashes) < 5:
        count, share = sound.share(trouble_at, ended)
        world.record.show(f'later: {count} sound requests, {share:.2f} began at the first attempt')
        return HELD if share >= calm_share / 2 else BROKEN
    fifth = seen.crashes[4]
    late = sum(at > fifth + CONTACT_S for at in seen.deadly)
    world.record.show(
        f'arrivals later than {CONTACT_S:g} s after the fifth crash: {late}; {MAX_LATE_ARRIVALS} may'
    )
    count, share = sound.share(fifth + 2 * CONTACT_S, ended)
    text = f'from {2 * CONTACT_S:g} s after the fifth crash: {count} sound requests, {share:.2f} began'
    world.record.show(f'{text} at the first attempt; half of {calm_share:.2f} have to be')
    is_lost = min(count, calm_count) >= MIN_REQUESTS and share < calm_share / 2
    return BROKEN if is_lost else HELD


if __name__ == '__main__':
    sys.exit(main(case, FOLDER))
