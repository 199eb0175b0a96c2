"""Faults that come from outside the processes, each of a random length, several at a time."""

import asyncio
import resource
import shutil
import signal
import time
from collections.abc import Awaitable, Callable, Sequence

from soak.const import CONTROL, ENGINES, GATEWAYS, GRACE_S
from soak.deployment import FaultSpan, World
from soak.proxy import Direction

Fault = Callable[[World, str], Awaitable[None]]

_FAULTS: dict[str, tuple[Fault, Sequence[str]]] = {}

# Below and above the 2 s after which a silent peer is given up.
_LENGTHS_S = (0.3, 1.0, 1.8, 2.3, 4.0)
_GAPS_S = (0.2, 1.0, 2.5)
_MAX_AT_ONCE = 3
_DELAYS_S = (0.05, 0.2, 0.6)
# Small enough that every file of a control host is full.
_FULL_DISK_BYTES = 1024
# A process that has not set its handlers yet is ended by SIGTERM at once, which breaks no request.
_STARTING_S = 4.0
_LOST_DISK = 'a lost disk'
# What the leader logs once a host that lost its disk counts again.
_REPAIRED = b'learner becomes a voter'
_REPAIR_PATIENCE_S = 20.0


def fault(targets: Sequence[str]) -> Callable[[Fault], Fault]:
    """Register a fault that happens to one of these."""

    def register(function: Fault) -> Fault:
        _FAULTS[function.__name__] = (function, targets)
        return function

    return register


async def play(world: World, end_at: float) -> None:
    """Begin one fault after another until a time, and wait for the last ones to end."""
    running: set[asyncio.Task[None]] = set()
    while time.monotonic() < end_at:
        if len(running) < _MAX_AT_ONCE:
            task = _begin(world)
            if task is not None:
                running.add(task)
                task.add_done_callback(running.discard)
        await asyncio.sleep(world.rng.choice(_GAPS_S))
    await asyncio.gather(*running)


def _begin(world: World) -> 'asyncio.Task[None] | None':
    name = world.rng.choice(sorted(_FAULTS))
    target = world.rng.choice(_FAULTS[name][1])
    return None if target in world.busy else asyncio.create_task(play_one(world, name, target))


async def play_one(world: World, name: str, target: str) -> None:
    """Play a fault by its name."""
    span = FaultSpan(name, (target,), time.monotonic())
    world.spans.append(span)
    world.busy.add(target)
    try:
        await _FAULTS[name][0](world, target)
    finally:
        world.busy.discard(target)
        span.ended_at = time.monotonic()


async def _last(world: World) -> None:
    await asyncio.sleep(world.rng.choice(_LENGTHS_S))


@fault((*CONTROL, *GATEWAYS))
async def kill(world: World, target: str) -> None:
    """Kill a process and start it again."""
    world.processes.processes[target].kill()
    world.processes.processes[target].wait()
    await _last(world)
    world.start(target)


@fault((*CONTROL, *GATEWAYS))
async def freeze(world: World, target: str) -> None:
    """Suspend a process for a time."""
    world.processes.processes[target].send_signal(signal.SIGSTOP)
    await _last(world)
    world.processes.processes[target].send_signal(signal.SIGCONT)


@fault((*CONTROL, *GATEWAYS))
async def hang_up(world: World, target: str) -> None:
    """Send SIGHUP, several times in a row."""
    for _ in range(3):
        world.processes.processes[target].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)


@fault((*CONTROL, *GATEWAYS))
async def terminate(world: World, target: str) -> None:
    """Stop a process as planned, and start it again."""
    process = world.processes.processes[target]
    is_starting = time.monotonic() - world.started_at[target] < _STARTING_S
    process.send_signal(signal.SIGTERM)
    give_up_at = time.monotonic() + GRACE_S
    while process.poll() is None and time.monotonic() < give_up_at:
        await asyncio.sleep(0.05)
    if process.poll() is None:
        world.ledger.note_fault(f'{target} did not end within {GRACE_S:g} s of SIGTERM')
        process.kill()
        process.wait()
    elif process.returncode and not (is_starting and process.returncode == -signal.SIGTERM):
        world.ledger.note_fault(f'{target} ended with status {process.returncode} after SIGTERM')
    world.start(target)


@fault(('all control hosts',))
async def lose_power(world: World, target: str) -> None:
    """Kill all control hosts that no other fault has, and start them in another order."""
    hosts = [host for host in CONTROL if host not in world.busy]
    world.busy.update(hosts)
    for host in hosts:
        world.processes.processes[host].kill()
        world.processes.processes[host].wait()
    await _last(world)
    world.rng.shuffle(hosts)
    for host in hosts:
        world.start(host)
    world.busy.difference_update(hosts)


@fault(CONTROL)
async def lose_disk(world: World, target: str) -> None:
    """Kill a control host and start it without its disk; no other loses its disk before that is repaired."""
    if _LOST_DISK in world.busy:
        return
    world.busy.add(_LOST_DISK)
    before = _repairs(world)
    world.processes.processes[target].kill()
    world.processes.processes[target].wait()
    await _last(world)
    shutil.rmtree(world.processes.folder / target, ignore_errors=True)
    world.start(target)
    give_up_at = time.monotonic() + _REPAIR_PATIENCE_S
    while time.monotonic() < give_up_at:
        await asyncio.sleep(1)
        if _repairs(world) > before:
            world.busy.discard(_LOST_DISK)
            return


def _repairs(world: World) -> int:
    logs = (world.processes.folder / f'{host}.log' for host in CONTROL)
    return sum(log.read_bytes().count(_REPAIRED) for log in logs)


@fault(CONTROL)
async def fill_disk(world: World, target: str) -> None:
    """Let a control host's files grow no further for a time."""
    pid = world.processes.processes[target].pid
    _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (_FULL_DISK_BYTES, hard))
    await _last(world)
    if world.processes.processes[target].poll() is None:
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
        return
    # A host whose disk is full may end itself; its service manager starts it again.
    world.start(target)


@fault((*CONTROL, *GATEWAYS, *ENGINES))
async def slow_down(world: World, target: str) -> None:
    """Delay what passes to and from a process."""
    world.proxies[target].delay_s = world.rng.choice(_DELAYS_S)
    await _last(world)
    world.proxies[target].mend()


@fault((*CONTROL, *GATEWAYS, *ENGINES))
async def reset_connections(world: World, target: str) -> None:
    """Reset the open connections to a process, several times in a row."""
    for _ in range(world.rng.randint(1, 4)):
        world.proxies[target].reset()
        await asyncio.sleep(0.2)


@fault((*CONTROL, *GATEWAYS, *ENGINES))
async def cut_one_way(world: World, target: str) -> None:
    """Let nothing pass to a process, or nothing from it."""
    world.proxies[target].cut(world.rng.choice(list(Direction)))
    await _last(world)
    world.proxies[target].mend()


@fault((*CONTROL, *GATEWAYS, *ENGINES))
async def silence(world: World, target: str) -> None:
    """Let nothing pass to or from a process."""
    world.proxies[target].cut(*Direction)
    await _last(world)
    world.proxies[target].mend()


@fault(ENGINES)
async def crash_engine(world: World, target: str) -> None:
    """End an engine and start it as a new incarnation at the same address."""
    await world.engines[target].unload()
    await _last(world)
    await world.engines[target].setup()


@fault(ENGINES)
async def drain_engine(world: World, target: str) -> None:
    """Let an engine announce that it leaves, and come back."""
    engine = world.engines[target]
    engine.state = 'draining'
    await _last(world)
    engine.state = 'ready'
