"""Deployment of the soak: real processes, engines and callers with proxies between them."""

import asyncio
import itertools
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import ClassVar

import yaml

from soak.callers import Callers
from soak.const import BUDGET_BASE, BUDGET_RATIO, BUDGET_WINDOW_S, CONTROL, ENGINES, GATEWAYS, ZONE_OF
from soak.engines import Engine
from soak.ledger import Ledger
from soak.proxy import Proxy
from tests.harness.platform import PlatformProcesses

# Teams' keys by name.
KEYS = {'shire': 'k-shire', 'pizarra': 'k-pizarra', 'minor': 'k-minor'}


def target_address(address: str) -> str:
    """Return the address that a proxy forwards to."""
    return address.replace('127.77.', '127.78.')


class SoakProcesses(PlatformProcesses):
    """Three control hosts and three gateways behind proxies; only the control API is reached directly."""

    gateways = GATEWAYS
    bounds: ClassVar[dict[str, float]] = {
        'retry_budget_ratio': BUDGET_RATIO,
        'retry_min_extra': BUDGET_BASE,
        'retry_window_s': BUDGET_WINDOW_S,
    }

    def settings(self, address: str, *, first: bool) -> str:
        """Return settings in which links and gateways listen on the addresses behind the proxies."""
        content = yaml.safe_load(super().settings(address, first=first))
        content['zone'] = ZONE_OF[address]
        for name, section in content.items():
            if name in {'rpc', 'gateway'}:
                section['listen'] = target_address(section['listen'])
        return yaml.safe_dump(content)


@dataclass(slots=True)
class Deployment:
    """All parts of a run; ``busy`` has the addresses that a fault affects at the moment."""

    processes: SoakProcesses
    ledger: Ledger
    callers: Callers
    engines: dict[str, Engine]
    proxies: dict[str, Proxy]
    rng: random.Random
    busy: set[str] = field(default_factory=set)
    # All faults of the run, also those that have not ended.
    spans: 'list[FaultSpan]' = field(default_factory=list)
    # Number of starts of each process.
    starts: Counter[str] = field(default_factory=Counter)
    started_at: dict[str, float] = field(default_factory=dict)
    # Number of crowds that were connected, by kind.
    crowds: Counter[str] = field(default_factory=Counter)
    # Peak of the resident memory of each process over all its starts, in bytes.
    peaks: Counter[str] = field(default_factory=Counter)
    tasks: list['asyncio.Task[None]'] = field(default_factory=list)
    is_stopped: bool = False

    @classmethod
    def from_seed(cls, folder: Path, seed: int) -> 'Deployment':
        """Return a deployment with the random generators of a seed; nothing is started."""
        processes = SoakProcesses(folder)
        ledger = Ledger()
        ports = processes.ports
        owners: dict[str, str] = {}
        callers = Callers(ledger, KEYS, owners, ports['http'], itertools.count(1))
        engines = {
            address: Engine(
                f'{target_address(address)}:{ports["ready"]}',
                f'{address}:{ports["ready"]}',
                ports['api'],
                ledger,
                owners,
                random.Random(f'{seed} {address}'),
            )
            for address in ENGINES
        }
        listens = {
            **{address: f'{address}:{ports["rpc"]}' for address in CONTROL},
            **{address: f'{address}:{ports["http"]}' for address in GATEWAYS},
            **{address: f'{address}:{ports["ready"]}' for address in ENGINES},
        }
        proxies = {address: Proxy(listen, target_address(listen)) for address, listen in listens.items()}
        return cls(processes, ledger, callers, engines, proxies, random.Random(seed))

    async def setup(self) -> None:
        """Start everything except the callers."""
        for proxy in self.proxies.values():
            await proxy.setup()
        for address in (*CONTROL, *GATEWAYS):
            self.start(address, first=True)
        for engine in self.engines.values():
            await engine.setup()

    def start(self, address: str, *, first: bool = False) -> None:
        """Start a process."""
        self.starts[address] += 1
        self.started_at[address] = time.monotonic()
        self.processes.start(address, first=first)

    async def unload(self) -> None:
        """Stop everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.processes.stop()
        for engine in self.engines.values():
            await engine.unload()
        for proxy in self.proxies.values():
            await proxy.unload()


@dataclass(slots=True)
class FaultSpan:
    """A fault with its begin and end in monotonic seconds; ``ended_at`` is None while it is active."""

    name: str
    targets: tuple[str, ...]
    begun_at: float
    ended_at: float | None = None
