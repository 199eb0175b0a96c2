"""Runs a deployment of real processes under random faults for each seed; see ``script/soak --help``."""

import argparse
import asyncio
import itertools
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
from soak.const import CALLERS, GATEWAYS, RECOVERY_S, STARTUP_TIMEOUT_S, WARM_UP_S
from soak.deployment import Deployment
from soak.faults import inject_faults
from soak.kinds import Kind
from soak.operators import Operator
from soak.series import run_series, watch_processes
from soak.zones import ZoneOperator

_POLL_S = 0.2


@dataclass(slots=True)
class Outcome:
    """Result of one run: failed checks, and the answers and injected faults counted by kind.

    ``disruptions`` also has ``peak_mb``, the highest memory of any process.
    """

    faults: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    disruptions: Counter[str] = field(default_factory=Counter)


async def run(folder: Path, seed: int, seconds: float) -> Outcome:
    """Run one deployment for ``seconds`` with the faults of a seed, and check the results."""
    task = asyncio.current_task()
    assert task is not None
    # Cancellation runs the cleanup below, which ends the processes.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    deployment = Deployment.from_seed(folder, seed)
    operator = Operator(deployment)
    try:
        await deployment.setup()
        faults = await _run_phases(deployment, operator, seed, seconds)
    finally:
        await deployment.unload()
    ledger = deployment.ledger
    outcome = Outcome([*ledger.faults, *faults, *check_all(ledger, deployment.spans)])
    for record in ledger.requests.values():
        outcome.answers[f'{record.kind} {_describe_answer(record.status, record.is_whole)}'] += 1
    outcome.disruptions.update(span.name for span in deployment.spans)
    outcome.disruptions.update(deployment.crowds)
    outcome.disruptions.update(evacuate=len(ledger.evacuations), cold=len(ledger.cold))
    outcome.disruptions['peak_mb'] = max(deployment.peaks.values(), default=0) // 1_000_000
    return outcome


async def _run_phases(deployment: Deployment, operator: Operator, seed: int, seconds: float) -> list[str]:
    if not await operator.change() or not await _all_serve(deployment, STARTUP_TIMEOUT_S):
        return ['no first configuration was acknowledged, or not every gateway served a request']
    jobs = [deployment.callers.run(random.Random(f'{seed} caller {number}')) for number in range(CALLERS)]
    jobs.extend((operator.run_changes(), operator.run_reads(), operator.run_probes()))
    jobs.append(watch_processes(deployment))
    deployment.tasks.extend(asyncio.create_task(job) for job in jobs)
    await asyncio.sleep(WARM_UP_S)
    end_at = time.monotonic() + seconds
    zones = ZoneOperator(deployment, random.Random(f'{seed} zones'))
    await asyncio.gather(inject_faults(deployment, end_at), run_series(deployment, zones, seed, end_at))
    ended_at = time.monotonic()
    operator.is_stopped = True
    faults = (
        []
        if await _all_serve(deployment, RECOVERY_S)
        else ['not every gateway served a request after the last fault']
    )
    await asyncio.sleep(max(0, ended_at + RECOVERY_S / 2 - time.monotonic()))
    deployment.callers.is_stopped = True
    deployment.is_stopped = True
    for task in deployment.tasks:
        await task
    ends = await asyncio.gather(operator.check_end(), zones.check_end())
    return list(itertools.chain(faults, *ends))


async def _all_serve(deployment: Deployment, timeout_s: float) -> bool:
    """Wait until each gateway has served a request."""
    deadline = time.monotonic() + timeout_s
    waiting = set(GATEWAYS)
    while waiting and time.monotonic() < deadline:
        for gateway in tuple(waiting):
            record = await deployment.callers.send_once(gateway, Kind.LOOKUP, key='k-shire', team='shire')
            if record.status == HTTPStatus.OK:
                waiting.discard(gateway)
        await asyncio.sleep(_POLL_S)
    return not waiting


def _describe_answer(status: int, is_whole: bool) -> str:
    if not status:
        return 'without an answer'
    return str(status) if is_whole else f'{status}, cut'


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main(argv: list[str] | None = None) -> int:
    """Run a deployment for each seed; return 1 if any check failed."""
    parser = argparse.ArgumentParser(prog='script/soak', description=__doc__)
    parser.add_argument('--seconds', type=float, default=30, help='start no new fault after this time')
    parser.add_argument('--seed', type=int, default=1, help='seed of the faults and of the callers')
    parser.add_argument('--count', type=int, default=1, help='number of seeds to run, one after another')
    parser.add_argument('--logs', type=Path, help='folder for the settings and logs of failed runs')
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
