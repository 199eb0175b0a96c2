"""One engine of a model service answers streams with bodies without end; other requests go unanswered."""

import asyncio
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import deployment as dep

RECORD = Path(__file__).parent / 'record.txt'

TIMEOUT_MS = 1000
# Half a second after the timeout of its route, a request counts as one without an answer.
SLACK_S = 0.5
DEADLINE_MS = 4000
STREAM_DEADLINE_MS = 8050
BOOKING_INTERVAL_S = 0.1
OBSERVED_S = 20
MIN_UNANSWERED = 8


def _configuration() -> dict:
    return dep.configuration(
        1,
        [
            dep.route('chat', 'streaming', 'model', 8000, resumable=True, sticky=True, target_itl_ms=120),
            dep.route('book', 'unsafe', 'desk', TIMEOUT_MS),
        ],
    )


async def _start(system: dep.Deployment, engines: list[dep.Engine]) -> None:
    for address in (*dep.CONTROL, *system.gateways):
        system.start(address, first=True)
    if await system.put(_configuration(), dep.CONTROL) is None:
        raise dep.NotRunError('no configuration')
    for engine in engines:
        await engine.setup()
    await system.wait_until_ready()
    await asyncio.sleep(dep.CONTACT_S)


def _judge(record: dep.Record, bookings: dep.Client) -> int:
    """Of the requests still unanswered at the timeout, more than half have no answer 0.5 s later."""
    late = []
    for request_id, sent_at in bookings.sent_at.items():
        waited_s = bookings.answered_at.get(request_id, sent_at + DEADLINE_MS / 1000) - sent_at
        if waited_s > TIMEOUT_MS / 1000:
            late.append(waited_s)
            record.add(f'{request_id}: sent, not answered for {waited_s:.2f} s')
    broken = sum(waited_s > TIMEOUT_MS / 1000 + SLACK_S for waited_s in late)
    record.add(f'{len(bookings.sent_at)} bookings sent, answers by status {dict(bookings.statuses)}')
    record.add(f'{len(late)} unanswered after {TIMEOUT_MS} ms, {broken} of them {SLACK_S:g} s later')
    return dep.BROKEN if len(late) >= MIN_UNANSWERED and 2 * broken > len(late) else dep.HELD


async def _watch_readiness(record: dep.Record, system: dep.Deployment) -> None:
    while True:
        if not await system.is_ready(system.gateways[0]):
            record.add(f'{system.gateways[0]} did not answer that it is ready')
        await asyncio.sleep(1)


async def _observe(system: dep.Deployment) -> dep.Client:
    gateway = system.gateways[0]
    bookings = dep.Client(system, gateway, '/book/x', DEADLINE_MS)
    streams = dep.Client(system, gateway, '/chat/x', STREAM_DEADLINE_MS)
    tasks = [
        asyncio.create_task(bookings.send_steadily(BOOKING_INTERVAL_S)),
        asyncio.create_task(_watch_readiness(system.record, system)),
    ]
    await asyncio.sleep(2)
    if dep.has_trouble():
        system.record.add('a stream is sent')
        streams.send('stream-1')
    await asyncio.sleep(OBSERVED_S)
    for task in tasks:
        task.cancel()
    await bookings.join()
    await streams.join()
    system.record.add(f'streams: answers by status {dict(streams.statuses)}')
    return bookings


async def _case(record: dep.Record) -> int:
    system = dep.Deployment(record)
    desks = [dep.Engine(system, address, 'desk', f'i-{address}') for address in dep.ENGINES[:2]]
    troubled = dep.Engine(system, dep.ENGINES[2], 'model', 'i-trouble')
    program = Path(__file__).parent / 'endless.py'
    arguments = [sys.executable, str(program), troubled.address, str(troubled.port)]
    process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
    try:
        await _start(system, desks)
        beats = asyncio.create_task(_beat(troubled))
        await asyncio.sleep(2)
        bookings = await _observe(system)
        beats.cancel()
        return _judge(record, bookings)
    finally:
        for desk in desks:
            await desk.unload()
        system.stop()
        process.kill()
        for line in process.communicate()[0].splitlines():
            record.add(f'the engine in trouble wrote: {line}')


async def _beat(engine: dep.Engine) -> None:
    while True:
        await engine.beat_once(dep.CONTROL[0])
        await asyncio.sleep(dep.HEARTBEAT_S)


if __name__ == '__main__':
    sys.exit(dep.run(RECORD, _case))
