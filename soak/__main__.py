"""Runs deployments of real processes under random faults, one for each seed; see ``script/soak --help``."""

import argparse
import asyncio
import json
import random
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path

from soak.checks import check_all
from soak.const import CALLERS, CALM_S, FIRST_SERVED_S, GATEWAYS, RECOVERY_S
from soak.deployment import World
from soak.faults import play
from soak.kinds import Kind
from soak.operators import Operator

_POLL_S = 0.2


@dataclass(slots=True)
class Outcome:
    """What one run found."""

    faults: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    disruptions: Counter[str] = field(default_factory=Counter)


async def run(folder: Path, seed: int, seconds: float) -> Outcome:
    """Run one deployment with the faults of a seed for some seconds, and check it."""
    task = asyncio.current_task()
    assert task is not None
    # So that the processes are ended, too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    world = World.from_seed(folder, seed)
    operator = Operator(world)
    try:
        await world.setup()
        found = await _play(world, operator, seed, seconds)
    finally:
        await world.unload()
    ledger = world.ledger
    outcome = Outcome([*ledger.faults, *found, *check_all(ledger, world.spans)])
    for asked in ledger.asked.values():
        outcome.answers[f'{asked.kind} {_told(asked.status, asked.is_whole)}'] += 1
    outcome.disruptions.update(span.name for span in world.spans)
    return outcome


async def _play(world: World, operator: Operator, seed: int, seconds: float) -> list[str]:
    if not await operator.change() or not await _all_serve(world, FIRST_SERVED_S):
        return ['nothing was served at first']
    jobs = [world.callers.run(random.Random(f'{seed} caller {number}')) for number in range(CALLERS)]
    jobs.extend((operator.change_on(), operator.read_on(), operator.probe_on()))
    world.tasks.extend(asyncio.create_task(job) for job in jobs)
    await asyncio.sleep(CALM_S)
    await play(world, time.monotonic() + seconds)
    ended_at = time.monotonic()
    operator.is_stopped = True
    found = [] if await _all_serve(world, RECOVERY_S) else ['not all serve again']
    await asyncio.sleep(max(0, ended_at + RECOVERY_S / 2 - time.monotonic()))
    world.callers.is_stopped = True
    for task in world.tasks:
        await task
    return [*found, *await operator.check_end()]


async def _all_serve(world: World, patience_s: float) -> bool:
    """Wait until each gateway has served a request."""
    give_up_at = time.monotonic() + patience_s
    waiting = set(GATEWAYS)
    while waiting and time.monotonic() < give_up_at:
        for gateway in tuple(waiting):
            asked = await world.callers.once(gateway, Kind.LOOKUP, key='k-shire', team='shire')
            if asked.status == HTTPStatus.OK:
                waiting.discard(gateway)
        await asyncio.sleep(_POLL_S)
    return not waiting


def _told(status: int, is_whole: bool) -> str:
    if not status:
        return 'without an answer'
    return str(status) if is_whole else f'{status}, cut'


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main(argv: list[str] | None = None) -> int:
    """Run a deployment for each seed; returns 1 if anything that must hold did not."""
    parser = argparse.ArgumentParser(prog='script/soak', description=__doc__)
    parser.add_argument('--seconds', type=float, default=30, help='begin no new fault after this time')
    parser.add_argument('--seed', type=int, default=1, help='seed of the faults and of the callers')
    parser.add_argument('--count', type=int, default=1, help='run as many seeds, one after another')
    parser.add_argument('--logs', type=Path, help='keep settings and logs of runs that fail here')
    args = parser.parse_args(argv)
    has_failed = False
    for seed in range(args.seed, args.seed + args.count):
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(run(Path(folder), seed, args.seconds))
            if outcome.faults and args.logs:
                shutil.copytree(folder, args.logs / str(seed), dirs_exist_ok=True)
        _print(json.dumps({'seed': seed, **outcome.answers}, sort_keys=True))
        _print(json.dumps({'seed': seed, **outcome.disruptions}, sort_keys=True))
        _print('\n'.join((*outcome.faults, f'{len(outcome.faults)} faults, seed {seed}')))
        has_failed = has_failed or bool(outcome.faults)
    return int(has_failed)


if __name__ == '__main__':
    sys.exit(main())
