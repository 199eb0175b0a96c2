"""A configuration that removes the last tenant opens all routes to everybody."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from loopback import BROKEN, HELD, Engine, World, configuration, main, route, wait_for  # noqa: E402

CONFIG_APPLY_S = 2.0
REQUESTS = 20
# No configuration ever held it.
STRANGE_KEY = 'a-strangers-key'


async def case(world: World, has_trouble: bool) -> int:
    """Remove the only tenant, and send requests with its former key and with one that was never held."""
    engine = Engine(world, 'app', slots=32)
    first = configuration(3, [route('r-a', '/book/', 'app', 'unsafe')], [{'name': 'app'}])
    await world.set_up(first, [engine])

    async def is_served() -> bool:
        return (await world.ask(world.gateways[0], '/book/1', 'key-two'))[1].status == 200

    await wait_for(is_served, 'a served request')
    before = await count_runs(world, engine, STRANGE_KEY)
    world.record.show(f'while there is a tenant: {before} of {REQUESTS} requests with a strange key ran')
    tenants = [] if has_trouble else [{'name': 't-1', 'api_keys': [], 'priority': 0}]
    status, acked_at = await world.put_config({**first, 'version': 7, 'tenants': tenants})
    world.record.show(f'configuration 7 with {len(tenants)} tenants and no key: {status}')
    if status != 200:
        world.record.show('not acknowledged')
        return HELD
    await asyncio.sleep(max(0, acked_at + CONFIG_APPLY_S + 0.5 - time.monotonic()))
    withdrawn = await count_runs(world, engine, 'key-two')
    world.record.show(
        f'with a key that was withdrawn {CONFIG_APPLY_S} s before: {withdrawn} of {REQUESTS} ran'
    )
    strange = await count_runs(world, engine, STRANGE_KEY)
    world.record.show(f'with a key that no configuration ever held: {strange} of {REQUESTS} ran')
    return BROKEN if before or withdrawn or strange else HELD


async def count_runs(world: World, engine: Engine, key: str) -> int:
    """Return how many requests with a key ran."""
    ran = 0
    for number in range(REQUESTS):
        gateway = world.gateways[number % len(world.gateways)]
        request_id, _ = await world.ask(gateway, f'/book/{number}', key)
        ran += any(run.request_id == request_id for run in engine.runs)
    return ran


if __name__ == '__main__':
    sys.exit(main(case, FOLDER))
