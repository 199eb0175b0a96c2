"""A configuration with a host name that is no text is acknowledged, and then neither obeyed nor read back."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from loopback import BROKEN, HELD, Engine, World, configuration, main, route, send, wait_for  # noqa: E402

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
# As a program writes that cuts a text of UTF-16 in the middle of a character.
CUT_NAME = 'desk\ud83d.example'
WHOLE_NAME = 'desk-b.example'


async def case(world: World, has_trouble: bool) -> int:
    """Withdraw a key by a configuration that has such a host name, and see what comes of it."""
    engine = Engine(world, 'app')
    first = configuration(3, [route('r-a', '/book/', 'app', 'unsafe')], [{'name': 'app'}])
    await world.set_up(first, [engine])

    async def is_served() -> bool:
        return (await world.ask(world.gateways[0], '/book/1', 'key-two'))[1].status == 200

    await wait_for(is_served, 'a served request')
    name = CUT_NAME if has_trouble else WHOLE_NAME
    second_route = route('r-b', '/look/', 'app', 'safe', hostname=name)
    second = configuration(7, [*first['routes'], second_route], [{'name': 'app'}])
    second['tenants'][0]['api_keys'] = ['key-one']
    status, acked_at = await world.put_config(second)
    world.record.show(f'configuration 7, which withdraws key-two: {status}')
    if status // 100 == 4:
        world.record.show('refused, as an invalid configuration has to be')
        return HELD
    if status != 200:
        world.record.show('not acknowledged')
        return HELD

    await asyncio.sleep(max(0, acked_at + CONFIG_APPLY_S + 0.5 - time.monotonic()))
    stale = await use_withdrawn_key(world, engine)
    world.record.show(
        f'requests with the withdrawn key that ran {CONFIG_APPLY_S} s after the 200: {stale} of 20'
    )
    versions = await read_back(world)
    world.record.show(f'configuration read back for {CONTACT_S} s: {sorted(set(versions))}')
    is_back = await restart(world)
    world.record.show(f'a gateway that was stopped and started is ready again within 15 s: {is_back}')
    is_broken = stale > 0 or versions[-1] != '7' or not is_back
    return BROKEN if is_broken else HELD


async def use_withdrawn_key(world: World, engine: Engine) -> int:
    """Return how many requests with the withdrawn key ran."""
    ran = 0
    for number in range(20):
        gateway = world.gateways[number % len(world.gateways)]
        request_id, _ = await world.ask(gateway, f'/book/{number}', 'key-two')
        ran += any(run.request_id == request_id for run in engine.runs)
    return ran


async def read_back(world: World) -> list[str]:
    """Read the configuration as the operator does at the end of a day; return versions or statuses."""
    seen = []
    until = time.monotonic() + CONTACT_S
    while time.monotonic() < until:
        for host in world.control:
            answer = await send(world.api(host), 'GET', '/config')
            found = (
                str(json.loads(answer.body)['version']) if answer.status == 200 else f'status {answer.status}'
            )
            world.record.add(f'GET /config at {host}: {found}')
            seen.append(found)
        await asyncio.sleep(0.2)
    return seen


async def restart(world: World) -> bool:
    """Stop a gateway as planned and start it again; return whether it becomes ready."""
    gateway = world.gateways[0]
    world.signal(gateway, signal.SIGTERM)
    await asyncio.to_thread(world.processes[gateway].wait)
    world.start(gateway, first=False)
    until = time.monotonic() + 15
    while time.monotonic() < until:
        if await world.is_ready(gateway):
            return True
        await asyncio.sleep(0.2)
    return False


if __name__ == '__main__':
    sys.exit(main(case, FOLDER))
