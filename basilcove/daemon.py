"""One process: its roles, their drivers, and their start and stop."""

import asyncio
import importlib
import signal
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, Self

from loguru import logger

from basilcove.const import VERSION
from basilcove.core.events import StopRequested
from basilcove.core.ids import Incarnation, Role
from basilcove.core.reducer import Node
from basilcove.core.runtime import Runtime, carries_out
from basilcove.helpers.logs import LogDriver
from basilcove.helpers.metrics import Metrics
from basilcove.helpers.traces import Tracing
from basilcove.http1.account import ReceiveAccount
from basilcove.requests.events import StopCompleted
from basilcove.rpc.dialer import Dialer
from basilcove.rpc.envelopes import Identity
from basilcove.rpc.links import LinkTable
from basilcove.rpc.server import OperatorServicer, RpcServer
from basilcove.settings import Settings, SettingsError, load_settings, new_incarnation

_POLL_INTERVAL_S: Final = 0.05

# A step of the setup or unloading; an asynchronous step returns an awaitable.
Step = Callable[[], Awaitable[None] | None]


@dataclass
class Assembly:
    """Parts of one process, which its roles share and add to while it is assembled."""

    settings: Settings
    identity: Identity
    runtime: Runtime
    links: LinkTable
    metrics: Metrics
    tracing: Tracing
    account: ReceiveAccount
    setups: list[Step] = field(default_factory=list)
    unloads: list[Step] = field(default_factory=list)
    readiness: list[Callable[[], str | None]] = field(default_factory=list)
    idle_checks: list[Callable[[], bool]] = field(default_factory=list)

    def not_ready(self) -> list[str]:
        """Return the reasons why the process accepts no work; none if it is ready."""
        reasons = (check() for check in self.readiness)
        return [reason for reason in reasons if reason is not None]


Builder = Callable[[Assembly], None]

_BUILDERS: dict[Role, Builder] = {}


def builds(role: Role) -> Callable[[Builder], Builder]:
    """Register the function that adds a role's states and drivers to a process."""

    def register(builder: Builder) -> Builder:
        _BUILDERS[role] = builder
        return builder

    return register


@dataclass
class StopTracker:
    """Roles that have ended their work; the driver of ``StopCompleted``."""

    completed: set[Role] = field(default_factory=set)


@carries_out(StopCompleted, StopTracker)
def record_stop(tracker: StopTracker, effect: StopCompleted) -> None:
    """Record that a role has ended its work."""
    tracker.completed.add(effect.role)


class Daemon:
    """Runs the roles of one node until it is asked to stop."""

    def __init__(self, settings: Settings, path: Path | None = None) -> None:
        """Assemble the process without starting it; a reload reads the settings from ``path``."""
        incarnation = Incarnation(new_incarnation())
        identity = Identity(settings.node, settings.roles, incarnation, settings.zone)
        self._settings = settings
        self._path = path
        self._stopping = asyncio.Event()
        self._tracker = StopTracker()
        self._logs = LogDriver(settings.node, settings.log_level)
        runtime = Runtime(Node())
        links = LinkTable(identity, runtime.apply)
        self._operators = OperatorServicer(links, runtime.apply)
        self._server = RpcServer.from_config(settings.rpc, links, self._operators)
        self._dialer = Dialer.from_config(settings.rpc, links)
        tracing = Tracing(settings.traces, settings.node)
        account = ReceiveAccount(settings.max_receive_bytes)
        self._assembly = Assembly(settings, identity, runtime, links, Metrics(), tracing, account)

    @classmethod
    def from_config(cls, settings: Settings, path: Path | None = None) -> Self:
        """Build the process with the roles of these settings."""
        # Only the modules of the named roles are loaded, which keeps memory within a node's budget.
        for role in settings.roles:
            importlib.import_module(f'basilcove.roles.{role.value}')
        return cls(settings, path)

    async def run(self) -> int:
        """Run until SIGTERM or SIGINT and a graceful stop; return the exit status."""
        self._logs.setup()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._setup()
        roles = ' '.join(role.value for role in self._settings.roles)
        logger.bind(roles=roles, zone=self._settings.zone, version=VERSION).info('started')
        await self._stopping.wait()
        await self._stop_gracefully()
        await self._unload()
        return 0

    async def _setup(self) -> None:
        assembly = self._assembly
        runtime = assembly.runtime
        for driver in (assembly.links, self._dialer, self._operators, assembly.metrics, assembly.tracing):
            runtime.add_driver(driver)
        runtime.add_driver(self._logs)
        runtime.add_driver(self._tracker)
        _add_link_gauges(assembly.metrics, assembly.links)
        assembly.metrics.gauge('log_lines_lost', 'Lines that a blocked output cost.', lambda: self._logs.lost)
        account = assembly.account
        assembly.metrics.gauge('receive_bytes', 'Held for requests and answers.', lambda: account.used_bytes)
        for role in self._settings.roles:
            _BUILDERS[role](assembly)
        adapter = self._settings.adapter
        if adapter is not None:
            importlib.import_module(adapter.module).build(assembly, adapter.listen)
        await runtime.start()
        await _run_steps(assembly.setups)
        await self._server.setup()
        await self._dialer.setup()

    def _reload(self) -> None:
        """Apply the addresses of control hosts from the settings file; other changes need a restart."""
        if self._path is None:
            logger.info('no settings file to reload')
            return
        try:
            settings = load_settings(self._path)
        except SettingsError as exc:
            logger.error('settings not taken: {}', exc)
            return
        self._dialer.set_seeds(settings.rpc.seeds)
        logger.bind(seeds=settings.rpc.seeds).info('settings read anew')

    async def _stop_gracefully(self) -> None:
        """Accept no new work and let work in flight end, within the timeout of the settings."""
        logger.info('stopping')
        self._assembly.readiness.append(lambda: 'the process is stopping')
        self._assembly.runtime.apply(StopRequested())
        try:
            async with asyncio.timeout(self._settings.stop_timeout_s):
                while not self._is_idle():
                    await asyncio.sleep(_POLL_INTERVAL_S)
        except TimeoutError:
            logger.warning('work in flight did not end within {} s', self._settings.stop_timeout_s)

    def _is_idle(self) -> bool:
        if not set(self._settings.roles) <= self._tracker.completed:
            return False
        return all(check() for check in self._assembly.idle_checks)

    async def _unload(self) -> None:
        await self._dialer.unload()
        await self._server.unload()
        await _run_steps(reversed(self._assembly.unloads))
        await self._assembly.runtime.stop()
        self._assembly.tracing.unload()
        logger.info('stopped')
        self._logs.unload()


async def _run_steps(steps: Iterable[Step]) -> None:
    """Run all steps in order, then wait for the asynchronous ones."""
    started = [step() for step in steps]
    await asyncio.gather(*(awaitable for awaitable in started if awaitable is not None))


def _add_link_gauges(metrics: Metrics, links: LinkTable) -> None:
    metrics.gauge('links', 'Nodes that are linked.', lambda: len(links.nodes))
    metrics.gauge('link_bytes_sent', 'Bytes sent to peers.', lambda: links.sent.size_bytes)
    metrics.gauge('link_messages_sent', 'Messages sent to peers.', lambda: links.sent.messages)
    metrics.gauge('link_bytes_received', 'Bytes received from peers.', lambda: links.received.size_bytes)
    metrics.gauge('link_messages_received', 'Messages received from peers.', lambda: links.received.messages)
