"""A control machine is killed while it stores the first snapshot of its new disk; later it never starts."""

import asyncio
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import deployment as dep

RECORD = Path(__file__).parent / 'record.txt'

FIRST, SECOND, JOINER = dep.CONTROL
# A snapshot is taken after 64 entries of the log.
CHANGES = 80
ATTEMPTS = 3
JOIN_TIMEOUT_S = 8
SETTLED_S = dep.CATCH_UP_S + dep.CONTACT_S
READ_BACK_S = 20
RESTART_DELAY_S = 1


class _Changes:
    """Sends configurations with growing versions."""

    def __init__(self, system: dep.Deployment) -> None:
        self._system = system
        self.version = 0

    async def send(self, hosts: tuple[str, ...]) -> None:
        self.version += 1
        content = dep.configuration(self.version, [dep.route('book', 'unsafe', 'desk', 3000 + self.version)])
        if await self._system.put(content, hosts) is None:
            raise dep.NotRunError(f'version {self.version} was not acknowledged')


def _kill_at_snapshot(system: dep.Deployment, started: threading.Event) -> bool:
    """Kill the joining process once its snapshot file exists; return whether that was in time."""
    folder = system.folder / f'data-{JOINER}'
    deadline = time.monotonic() + JOIN_TIMEOUT_S
    started.set()
    while time.monotonic() < deadline:
        if any(folder.glob('*.snapshot')):
            system.kill(JOINER)
            journals = sorted(folder.glob('*.journal'))
            system.record.add(
                f'files: {sorted((each.name, each.stat().st_size) for each in folder.iterdir())}'
            )
            return len(journals) == 1 or not journals[-1].stat().st_size
    return False


async def _join_and_kill(system: dep.Deployment) -> bool:
    """Lose the disk of a machine, and kill it again while it receives the state."""
    system.kill(JOINER)
    system.wipe(JOINER)
    await asyncio.sleep(1)
    started = threading.Event()
    watching = asyncio.create_task(asyncio.to_thread(_kill_at_snapshot, system, started))
    await asyncio.to_thread(started.wait)
    system.start(JOINER, first=False)
    return await watching


async def _join_until_hit(system: dep.Deployment) -> None:
    """Repeat the loss until the kill comes between the two files of a snapshot."""
    for attempt in range(1, ATTEMPTS + 1):
        is_hit = await _join_and_kill(system)
        system.record.add(f'attempt {attempt}: killed between the files: {is_hit}')
        if JOINER not in system.processes:
            system.start(JOINER, first=False)
        await asyncio.sleep(SETTLED_S)
        if is_hit:
            return
    raise dep.NotRunError('no kill came between the files')


async def _keep_running(system: dep.Deployment) -> None:
    """Restart a process that has ended, as the platform does."""
    while True:
        await asyncio.sleep(RESTART_DELAY_S)
        process = system.processes.get(JOINER)
        if process is not None and process.poll() is not None:
            system.record.add(f'{JOINER} ended by itself with {process.returncode}')
            system.start(JOINER, first=False)


async def _lose_disk(system: dep.Deployment) -> None:
    system.kill(SECOND)
    system.wipe(SECOND)
    await asyncio.sleep(1.5)
    system.start(SECOND, first=False)


async def _read_back(system: dep.Deployment, version: int) -> int:
    """Read until a host answers with the newest acknowledged version or time is up."""
    deadline = time.monotonic() + READ_BACK_S
    while time.monotonic() < deadline:
        for host in dep.CONTROL:
            if await system.read_version(host) == version:
                return dep.HELD
        await asyncio.sleep(0.5)
    return dep.BROKEN


async def _case(record: dep.Record) -> int:
    system = dep.Deployment(record)
    changes = _Changes(system)
    try:
        for address in (*dep.CONTROL, *system.gateways):
            system.start(address, first=True)
        for _ in range(CHANGES):
            await changes.send(dep.CONTROL)
        for address in dep.CONTROL:
            await system.restart(address)
            await asyncio.sleep(dep.CATCH_UP_S)
        if dep.has_trouble():
            await _join_until_hit(system)
        await changes.send((JOINER,))
        await system.restart(JOINER)
        keeping = asyncio.create_task(_keep_running(system))
        await asyncio.sleep(SETTLED_S)
        await changes.send((SECOND,))
        if dep.has_trouble():
            await _lose_disk(system)
        status = await _read_back(system, changes.version)
        keeping.cancel()
        return status
    finally:
        system.stop()


if __name__ == '__main__':
    sys.exit(dep.run(RECORD, _case))
