"""A core machine is replaced; 5 s after its successor's start, the disk of another core machine is lost."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import deployment as dep

RECORD = Path(__file__).parent / 'record.txt'

REPLACED, LOST, KEPT = dep.CONTROL
SUCCESSOR = dep.SPARE[0]
SEEDS = (LOST, KEPT, SUCCESSOR)
# More than ``catch_up_s``, after which the removed machine no longer counts as lost.
SETTLED_S = dep.CATCH_UP_S + 1
DISK_AWAY_S = 1.5
READ_BACK_S = 30


def _configuration(version: int) -> dict:
    return dep.configuration(version, [dep.route('book', 'unsafe', 'desk', 3000 + version)])


async def _replace(system: dep.Deployment) -> None:
    if not dep.has_trouble():
        await asyncio.sleep(SETTLED_S)
        return
    system.kill(REPLACED)
    await asyncio.sleep(0.5)
    system.start(SUCCESSOR, first=False, seeds=SEEDS)
    await asyncio.sleep(SETTLED_S)
    if await system.read_version(SUCCESSOR) != 1:
        raise dep.NotRunError('the successor did not join')


async def _lose_disk(system: dep.Deployment) -> None:
    if not dep.has_trouble():
        return
    system.kill(LOST)
    system.wipe(LOST)
    await asyncio.sleep(DISK_AWAY_S)
    system.start(LOST, first=False, seeds=SEEDS)


async def _read_back(system: dep.Deployment, hosts: tuple[str, ...]) -> int:
    """Read until a host answers with the newest acknowledged version or time is up."""
    deadline = time.monotonic() + READ_BACK_S
    while time.monotonic() < deadline:
        for host in hosts:
            if await system.read_version(host) == 2:
                return dep.HELD
        await asyncio.sleep(0.5)
    return dep.BROKEN


async def _case(record: dep.Record) -> int:
    system = dep.Deployment(record)
    try:
        for address in (*dep.CONTROL, *system.gateways):
            system.start(address, first=True)
        if await system.put(_configuration(1), dep.CONTROL) is None:
            raise dep.NotRunError('no first configuration')
        await system.wait_until_ready()
        await asyncio.sleep(dep.CONTACT_S)
        await _replace(system)
        if await system.put(_configuration(2), (LOST,)) is None:
            raise dep.NotRunError('no second configuration')
        await _lose_disk(system)
        return await _read_back(system, SEEDS if dep.has_trouble() else dep.CONTROL)
    finally:
        system.stop()


if __name__ == '__main__':
    sys.exit(dep.run(RECORD, _case))
