"""Faults injected from outside the processes, of random duration and several at a time."""

import asyncio
import resource
import shutil
import signal
import time
from collections.abc import Awaitable, Callable, Sequence

from soak.const import CONTROL, ENGINES, GATEWAYS, GRACE_S
from soak.deployment import Deployment, FaultSpan
from soak.proxy import Direction

Fault = Callable[[Deployment, str], Awaitable[None]]

_FAULTS: dict[str, tuple[Fault, Sequence[str]]] = {}

# Below and above the 2 s after which a silent peer is considered lost.
_DURATIONS_S = (0.3, 1.0, 1.8, 2.3, 4.0)
_INTERVALS_S = (0.2, 1.0, 2.5)
_MAX_CONCURRENT = 3
_DELAYS_S = (0.05, 0.2, 0.6)
# Less than the size of any file of a control host, so that none can grow.
_FULL_DISK_BYTES = 1024
# SIGTERM kills a process that has not set its handlers yet, which breaks no request.
_STARTING_S = 4.0
_LOST_DISK = 'a lost disk'
# Logged by the leader when a host that lost its disk becomes a voter again.
_REPAIRED = b'learner becomes a voter'
_REPAIR_TIMEOUT_S = 20.0


def fault(targets: Sequence[str]) -> Callable[[Fault], Fault]:
    """Register a fault that is injected into one of the targets."""

    def register(function: Fault) -> Fault:
        _FAULTS[function.__name__] = (function, targets)
        return function

    return register


async def inject_faults(deployment: Deployment, end_at: float) -> None:
    """Start one fault after another until ``end_at`` (monotonic seconds), and wait until all have ended."""
    running: set[asyncio.Task[None]] = set()
    while time.monotonic() < end_at:
        if len(running) < _MAX_CONCURRENT:
            task = _start_fault(deployment)
            if task is not None:
                running.add(task)
                task.add_done_callback(running.discard)
        await asyncio.sleep(deployment.rng.choice(_INTERVALS_S))
    await asyncio.gather(*running)


def _start_fault(deployment: Deployment) -> 'asyncio.Task[None] | None':
    name = deployment.rng.choice(sorted(_FAULTS))
    target = deployment.rng.choice(_FAULTS[name][1])
    return None if target in deployment.busy else asyncio.create_task(inject(deployment, name, target))


async def inject(deployment: Deployment, name: str, target: str) -> None:
    """Inject a fault by its name and record its span."""
    span = FaultSpan(name, (target,), time.monotonic())
    deployment.spans.append(span)
    deployment.busy.add(target)
    try:
        await _FAULTS[name][0](deployment, target)
    finally:
        deployment.busy.discard(target)
        span.ended_at = time.monotonic()


async def _wait_random_time(deployment: Deployment) -> None:
    await asyncio.sleep(deployment.rng.choice(_DURATIONS_S))


@fault((*CONTROL, *GATEWAYS))
async def kill(deployment: Deployment, target: str) -> None:
    """Kill a process and restart it."""
    deployment.processes.processes[target].kill()
    deployment.processes.processes[target].wait()
    await _wait_random_time(deployment)
    deployment.start(target)


@fault((*CONTROL, *GATEWAYS))
async def freeze(deployment: Deployment, target: str) -> None:
    """Suspend a process for a time."""
    deployment.processes.processes[target].send_signal(signal.SIGSTOP)
    await _wait_random_time(deployment)
    deployment.processes.processes[target].send_signal(signal.SIGCONT)


@fault((*CONTROL, *GATEWAYS))
async def hang_up(deployment: Deployment, target: str) -> None:
    """Send SIGHUP, several times in a row."""
    for _ in range(3):
        deployment.processes.processes[target].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)


@fault((*CONTROL, *GATEWAYS))
async def terminate(deployment: Deployment, target: str) -> None:
    """Stop a process with SIGTERM and restart it."""
    process = deployment.processes.processes[target]
    is_starting = time.monotonic() - deployment.started_at[target] < _STARTING_S
    process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + GRACE_S
    while process.poll() is None and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    if process.poll() is None:
        deployment.ledger.record_fault(f'{target} did not end within {GRACE_S:g} s of SIGTERM')
        process.kill()
        process.wait()
    elif process.returncode and not (is_starting and process.returncode == -signal.SIGTERM):
        deployment.ledger.record_fault(f'{target} ended with status {process.returncode} after SIGTERM')
    deployment.start(target)


@fault(('all control hosts',))
async def lose_power(deployment: Deployment, target: str) -> None:
    """Kill all control hosts that no other fault affects, and restart them in random order."""
    hosts = [host for host in CONTROL if host not in deployment.busy]
    # The span that has just been recorded for this fault.
    deployment.spans[-1].targets = tuple(hosts)
    deployment.busy.update(hosts)
    for host in hosts:
        deployment.processes.processes[host].kill()
        deployment.processes.processes[host].wait()
    await _wait_random_time(deployment)
    deployment.rng.shuffle(hosts)
    for host in hosts:
        deployment.start(host)
    deployment.busy.difference_update(hosts)


@fault(CONTROL)
async def lose_disk(deployment: Deployment, target: str) -> None:
    """Kill a control host and restart it without its data; only one disk is lost until it is repaired."""
    if _LOST_DISK in deployment.busy:
        return
    deployment.busy.add(_LOST_DISK)
    before = _count_repairs(deployment)
    deployment.processes.processes[target].kill()
    deployment.processes.processes[target].wait()
    await _wait_random_time(deployment)
    shutil.rmtree(deployment.processes.folder / target, ignore_errors=True)
    deployment.start(target)
    deadline = time.monotonic() + _REPAIR_TIMEOUT_S
    while time.monotonic() < deadline:
        await asyncio.sleep(1)
        if _count_repairs(deployment) > before:
            deployment.busy.discard(_LOST_DISK)
            return


def _count_repairs(deployment: Deployment) -> int:
    logs = (deployment.processes.folder / f'{host}.log' for host in CONTROL)
    return sum(log.read_bytes().count(_REPAIRED) for log in logs)


@fault(CONTROL)
async def fill_disk(deployment: Deployment, target: str) -> None:
    """Prevent the files of a control host from growing for a time."""
    pid = deployment.processes.processes[target].pid
    _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (_FULL_DISK_BYTES, hard))
    await _wait_random_time(deployment)
    if deployment.processes.processes[target].poll() is None:
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (hard, hard))
        return
    # A host whose disk is full may exit; its service manager would restart it.
    deployment.start(target)


@fault((*CONTROL, *GATEWAYS, *ENGINES))
async def slow_down(deployment: Deployment, target: str) -> None:
    """Delay all bytes to and from a process."""
    deployment.proxies[target].delay_s = deployment.rng.choice(_DELAYS_S)
    await _wait_random_time(deployment)
    deployment.proxies[target].restore()


@fault((*CONTROL, *GATEWAYS, *ENGINES))
async def reset_connections(deployment: Deployment, target: str) -> None:
    """Reset the open connections to a process, several times in a row."""
    for _ in range(deployment.rng.randint(1, 4)):
        deployment.proxies[target].reset()
        await asyncio.sleep(0.2)


@fault((*CONTROL, *GATEWAYS, *ENGINES))
async def cut_one_way(deployment: Deployment, target: str) -> None:
    """Block all bytes to a process, or all bytes from it."""
    deployment.proxies[target].cut(deployment.rng.choice(list(Direction)))
    await _wait_random_time(deployment)
    deployment.proxies[target].restore()


@fault((*CONTROL, *GATEWAYS, *ENGINES))
async def silence(deployment: Deployment, target: str) -> None:
    """Block all bytes to and from a process."""
    deployment.proxies[target].cut(*Direction)
    await _wait_random_time(deployment)
    deployment.proxies[target].restore()


@fault(ENGINES)
async def crash_engine(deployment: Deployment, target: str) -> None:
    """Crash an engine and start it as a new, cold incarnation at the same address."""
    await deployment.engines[target].unload()
    await _wait_random_time(deployment)
    await deployment.engines[target].setup()
    deployment.engines[target].chill()


@fault(ENGINES)
async def drain_engine(deployment: Deployment, target: str) -> None:
    """Have an engine announce that it is draining, and then that it is ready again."""
    engine = deployment.engines[target]
    engine.state = 'draining'
    await _wait_random_time(deployment)
    engine.state = 'ready'
