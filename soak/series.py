"""Evacuations, cold engines and clients without limits, each repeated beside the other faults."""

import asyncio
import random
import time
from collections.abc import Awaitable
from typing import Final

from soak.const import COLD_S, ENGINES, EVACUATE_S, GATEWAYS, HOST, MAX_PEAK_BYTES, READ_BYTES, ZONES
from soak.deployment import KEYS, Deployment, target_address
from soak.faults import inject
from soak.http import chunk
from soak.zones import ZoneOperator
from tests.harness.crowd import Crowd, peak_bytes

_PAUSES_S: Final = (0.0, 1.0, 3.0)
# Below the time after which an evacuation is in force, and long enough to outlast faults that may hide it.
_EVACUATIONS_S: Final = (1.0, 10.0, 10.0)
# From the start of the tool to the kill of the leader, around the time at which the tool gets its answer.
_KILLS_AFTER_S: Final = (0.2, 0.5, 0.8)
_WATCH_INTERVAL_S: Final = 0.5

_CLIENTS: Final = 60
_CROWD_S: Final = 2.0
_HEAD: Final = f'POST /look/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEYS["shire"]}\r\n'.encode()
_CHUNKED: Final = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Requests of legal size that stop short of their end; all clients with large chunks send 160 MB.
_PAYLOADS: Final = {
    'crowd_short_lines': (_HEAD, b'a:\r\n' * 3900),
    'crowd_large_chunks': (_CHUNKED, *(chunk(b'x' * READ_BYTES),) * 40),
    'crowd_small_chunks': (_CHUNKED, chunk(b'ab') * 20_000),
}


async def run_series(deployment: Deployment, operator: ZoneOperator, seed: int, end_at: float) -> None:
    """Repeat each kind until ``end_at`` (monotonic seconds)."""
    await asyncio.gather(
        _run_evacuations(deployment, operator, end_at),
        _run_cold_engines(deployment, random.Random(f'{seed} cold'), end_at),
        _run_crowds(deployment, random.Random(f'{seed} crowds'), end_at),
    )


async def _run_evacuations(deployment: Deployment, operator: ZoneOperator, end_at: float) -> None:
    """Evacuate and restore one zone after another; the last one may remain evacuated.

    In half of the cases the leader is killed during a change. A gateway restarts in the longer evacuations.
    """
    rng = operator.rng
    while time.monotonic() < end_at:
        await asyncio.sleep(rng.choice(_PAUSES_S))
        zone = rng.choice(ZONES)
        await _change(deployment, operator, operator.evacuate(zone))
        duration_s = rng.choice(_EVACUATIONS_S)
        if duration_s > EVACUATE_S:
            await _kill(
                deployment, rng.choice([name for name in GATEWAYS if name not in deployment.busy] or [''])
            )
        await asyncio.sleep(duration_s)
        if time.monotonic() < end_at or rng.choice((True, False)):
            await _change(deployment, operator, operator.restore(zone))


async def _change(deployment: Deployment, operator: ZoneOperator, change: Awaitable[None]) -> None:
    """Make a change; in half of the cases kill the leader meanwhile."""
    kills, after_s = operator.rng.choice((True, False)), operator.rng.choice(_KILLS_AFTER_S)
    leader = await operator.find_leader() if kills else ''
    changing = asyncio.ensure_future(change)
    await asyncio.sleep(after_s)
    await _kill(deployment, leader)
    await changing


async def _kill(deployment: Deployment, target: str) -> None:
    """Kill and restart a process, if one is named that no other fault affects."""
    if target and target not in deployment.busy:
        await inject(deployment, 'kill', target)


async def _run_cold_engines(deployment: Deployment, rng: random.Random, end_at: float) -> None:
    """Let one engine after another become cold in service."""
    while time.monotonic() < end_at:
        await asyncio.sleep(rng.choice(_PAUSES_S))
        target = rng.choice(ENGINES)
        if target not in deployment.busy:
            engine = deployment.engines[target]
            engine.chill()
            await engine.announce_once()
            await asyncio.sleep(COLD_S)


async def _run_crowds(deployment: Deployment, rng: random.Random, end_at: float) -> None:
    """Connect one crowd after another to the gateways, whether or not another fault affects them."""
    while time.monotonic() < end_at:
        await asyncio.sleep(rng.choice(_PAUSES_S))
        name = rng.choice(sorted(_PAYLOADS))
        address = target_address(f'{rng.choice(GATEWAYS)}:{deployment.processes.ports["http"]}')
        # Connecting blocks while a gateway is suspended.
        if await asyncio.to_thread(_hold_crowd, address, name):
            deployment.crowds[name] += 1


def _hold_crowd(address: str, name: str) -> bool:
    """Keep a crowd connected for a time; return False if the gateway refuses connections, as it restarts."""
    try:
        with Crowd(address, _CLIENTS, lambda: iter(_PAYLOADS[name])):
            time.sleep(_CROWD_S)
    except OSError:
        return False
    return True


async def watch_processes(deployment: Deployment) -> None:
    """Record a process that ends by itself and one whose memory exceeds its bound, until stopped."""
    reported: set[int] = set()
    while not deployment.is_stopped:
        for address, process in deployment.processes.processes.items():
            if process.pid not in reported and address not in deployment.busy:
                fault = _check_process(deployment, address)
                if fault:
                    reported.add(process.pid)
                    deployment.ledger.record_fault(fault)
        await asyncio.sleep(_WATCH_INTERVAL_S)


def _check_process(deployment: Deployment, address: str) -> str:
    process = deployment.processes.processes[address]
    status = process.poll()
    if status is not None:
        return f'{address} ended unexpectedly with status {status}'
    try:
        peak = peak_bytes(process.pid)
    except AssertionError:
        # It has just ended; the next check reports it.
        return ''
    deployment.peaks[address] = max(deployment.peaks[address], peak)
    return f'{address} took {peak / 1e6:.0f} MB of memory' if peak > MAX_PEAK_BYTES else ''
