"""A small deployment on loopback addresses, with stand-ins for the operator, the engines and the clients.

The processes are started with the commands of the deploy file and the settings that the platform writes.
"""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from tests.harness.templates import render  # noqa: E402

CONTROL = ('127.91.0.1', '127.91.0.2', '127.91.0.3')
# Successors of control machines.
SPARE = ('127.91.0.4', '127.91.0.5')
GATEWAYS = ('127.91.1.1', '127.91.1.2')
ENGINES = ('127.91.2.1', '127.91.2.2', '127.91.2.3')
# Bounds of the deployments in the folder sites.
BOUNDS = {'retry_budget_ratio': 0.2, 'retry_min_extra': 90, 'retry_window_s': 10}
CONTACT_S = 3.0
CATCH_UP_S = 4.0
DRAIN_S = 2.0
GRACE_S = 8.0
HEARTBEAT_S = 1.2
HOST = 'desk.example'
KEY = 'k-1'

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port() -> int:
    """Return a port that no process uses."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes what is sent, answered and run, and what else happens, to the record of a case."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open('w')
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f'{time.monotonic() - self._started_at:8.3f} {text}\n')
        self._file.flush()


@dataclass
class Answer:
    """Status, headers with lower-case names, and body."""

    status: int
    headers: dict[str, str]
    body: bytes


async def exchange(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes = b''
) -> Answer:
    """Send a request on a new connection and return its complete answer; OSError or EOFError without one."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f'{method} {path} HTTP/1.1', *(f'{name}: {text}' for name, text in headers.items())]
        lines += [f'Content-Length: {len(body)}', 'Connection: close']
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        return await _read_answer(reader)
    finally:
        writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    status_line, received = await read_head(reader)
    if received.get('transfer-encoding') == 'chunked':
        parts = []
        while size := int(await reader.readuntil(b'\r\n'), 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        return Answer(int(status_line.split()[1]), received, b''.join(parts))
    content = await reader.readexactly(int(received.get('content-length', 0)))
    return Answer(int(status_line.split()[1]), received, content)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    return first, {name.strip().lower(): text.strip() for name, _, text in pairs}


@dataclass
class Deployment:
    """Processes of the system by address."""

    record: Record
    gateways: tuple[str, ...] = GATEWAYS[:1]
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix='review-')))
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Choose ports, which are the same on all machines."""
        self.ports = {name: free_port() for name in ('api', 'rpc', 'status', 'http', 'ready')}
        roles = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']
        self._roles = {role['on']: role for role in roles.values()}

    def start(self, address: str, *, first: bool, seeds: tuple[str, ...] = CONTROL) -> None:
        """Start the process of a machine; ``first`` if the whole system starts for the first time."""
        role = self._roles['edge' if address in self.gateways else 'core']
        fields = {
            'ip': address,
            'zone': f'zone-{address.rpartition(".")[2]}',
            'seed_nodes': [f'{seed}:{self.ports["api"]}' for seed in seeds],
            'internal_ports': [self.ports['rpc'], self.ports['status']],
            'bootstrap': first,
            'data_dir': str(self.folder / f'data-{address}'),
            'listen': {
                'control_plane': f'{address}:{self.ports["api"]}',
                'frontend': f'{address}:{self.ports["http"]}',
                'readiness': f'{address}:{self.ports["ready"]}',
            },
            'bounds': BOUNDS,
        }
        path = self.folder / f'{address}.yaml'
        path.write_text(render(ROOT / role['template'], fields))
        # The platform passes no other variables, and puts target/deps on the path of Python.
        environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environment |= {'BASILCOVE_CONFIG': str(path), 'PYTHONPATH': str(ROOT / 'target' / 'deps')}
        with (self.folder / f'{address}.log').open('ab') as log:
            self.processes[address] = subprocess.Popen(
                role['run'].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f'start {address}')

    def kill(self, address: str) -> None:
        """Kill a process of this deployment."""
        process = self.processes.pop(address)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.add(f'kill {address}')

    async def restart(self, address: str) -> None:
        """Stop a process with SIGTERM, as for planned work, and start it again."""
        process = self.processes.pop(address)
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_S
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()
        self.record.add(f'SIGTERM {address}, ended with {process.returncode}')
        self.start(address, first=False)

    def wipe(self, address: str) -> None:
        """Empty the disk of a machine."""
        shutil.rmtree(self.folder / f'data-{address}')
        self.record.add(f'disk of {address} lost')

    def stop(self) -> None:
        """End all processes."""
        for address in tuple(self.processes):
            self.kill(address)
        shutil.rmtree(self.folder)

    async def call(
        self, address: str, method: str, path: str, content: Any = None, timeout_s: float = 1.5
    ) -> Answer | None:
        """Call a control host; None without an answer."""
        body = b'' if content is None else json.dumps(content).encode()
        try:
            async with asyncio.timeout(timeout_s):
                target = f'{address}:{self.ports["api"]}'
                return await exchange(target, method, path, {'Host': target}, body)
        except (OSError, EOFError, TimeoutError, ValueError):
            return None

    async def put(self, content: dict[str, Any], hosts: tuple[str, ...], timeout_s: float = 30) -> str | None:
        """Send a configuration to one host after another; return the host that acknowledged it."""
        deadline = time.monotonic() + timeout_s
        for host in itertools.cycle(hosts):
            self.record.add(f'version {content["version"]} sent to {host}')
            answer = await self.call(host, 'PUT', '/config', content)
            self.record.add(f'{host} answered: {answer.status if answer else "nothing"}')
            if answer is not None and answer.status == 200:
                self.record.add(f'version {content["version"]} acknowledged by {host}')
                return host
            if time.monotonic() > deadline:
                self.record.add(f'version {content["version"]} not acknowledged within {timeout_s:g} s')
                return None
            await asyncio.sleep(0.1)
        return None

    async def read_version(self, host: str) -> int | None:
        """Return the version that a host reads back; None without a clear answer."""
        answer = await self.call(host, 'GET', '/config')
        if answer is None or answer.status != 200:
            self.record.add(f'read at {host}: {answer.status if answer else "no answer"}')
            return None
        version = int(json.loads(answer.body)['version'])
        self.record.add(f'read at {host}: version {version}')
        return version

    async def wait_until_ready(self, timeout_s: float = 30) -> None:
        """Wait until all gateways say that they are ready."""
        deadline = time.monotonic() + timeout_s
        for gateway in self.gateways:
            while not await self.is_ready(gateway):
                if time.monotonic() > deadline:
                    raise NotRunError(f'{gateway} is not ready')
                await asyncio.sleep(0.1)

    async def is_ready(self, gateway: str) -> bool:
        """Ask a gateway whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1):
                target = f'{gateway}:{self.ports["ready"]}'
                return (await exchange(target, 'GET', '/readyz', {'Host': target})).status == 200
        except (OSError, EOFError, TimeoutError, ValueError):
            return False


@dataclass
class Engine:
    """A sound engine; it serves one request at a time on a connection, and records those that it runs."""

    deployment: Deployment
    address: str
    service: str
    instance: str
    work_s: float = 0.02
    slots: int = 6
    # Requests that it ran: their ids with the time of their arrival.
    runs: list[tuple[str, float]] = field(default_factory=list)
    port: int = field(default_factory=free_port)
    _sequence: int = 0
    _born_ms: int = 0
    _server: asyncio.Server | None = None
    _beats: 'asyncio.Task[None] | None' = None
    _connections: 'set[asyncio.StreamWriter]' = field(default_factory=set)

    async def setup(self) -> None:
        """Listen and send heartbeats."""
        self._born_ms = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self._beats = asyncio.create_task(self._beat())

    async def unload(self) -> None:
        """Exit."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._connections):
            writer.close()
        # Lets the connections end before the loop does.
        await asyncio.sleep(0.1)

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    async def beat_once(self, host: str) -> bool:
        """Send a heartbeat to a control host; return whether it was acknowledged."""
        self._sequence += 1
        content = {
            'service': self.service,
            'address': f'{self.address}:{self.port}',
            'zone': 'zone-1',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self._born_ms,
        }
        answer = await self.deployment.call(host, 'PUT', f'/instances/{self.instance}', content, 1)
        return answer is not None and answer.status == 200

    async def _beat(self) -> None:
        while True:
            for host in CONTROL:
                if await self.beat_once(host):
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                _, headers = await read_head(reader)
                await reader.readexactly(int(headers.get('content-length', 0)))
                await self._answer(headers, writer)
        except (OSError, EOFError):
            writer.close()
        finally:
            self._connections.discard(writer)

    async def _answer(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        request_id = headers.get('x-basilcove-attempt-id', '')
        answer_headers = f'X-Basilcove-Attempt-Id: {request_id}\r\nContent-Length: 2\r\n'
        if headers.get('x-basilcove-expect-instance', self.instance) != self.instance:
            writer.write(f'HTTP/1.1 421 Misdirected Request\r\n{answer_headers}\r\n..'.encode())
            return
        self.runs.append((request_id, time.monotonic()))
        self.deployment.record.add(f'{self.instance} runs {request_id}')
        await asyncio.sleep(self.work_s)
        signature = f'X-Basilcove-Server-Signature: {self.instance}.{len(self.runs)}\r\n'
        writer.write(f'HTTP/1.1 200 OK\r\n{answer_headers}{signature}\r\nok'.encode())
        await writer.drain()


@dataclass
class Client:
    """Sends requests to a gateway, each on a new connection, and notes when each was answered."""

    deployment: Deployment
    gateway: str
    path: str
    deadline_ms: int
    statuses: Counter[int] = field(default_factory=Counter)
    sent_at: dict[str, float] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)
    _tasks: 'set[asyncio.Task[None]]' = field(default_factory=set)

    def send(self, request_id: str) -> None:
        """Send a request; the client waits for its answer until the deadline."""
        task = asyncio.create_task(self._run(request_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_steadily(self, interval_s: float) -> None:
        """Send requests until cancelled."""
        for number in itertools.count(1):
            self.send(f'{self.gateway}{self.path}{number}'.replace('/', '-'))
            await asyncio.sleep(interval_s)

    async def join(self) -> None:
        """Wait until all requests have ended."""
        await asyncio.gather(*self._tasks)

    async def _run(self, request_id: str) -> None:
        headers = {
            'Host': HOST,
            'Authorization': f'Token {KEY}',
            'X-Basilcove-Attempt-Id': request_id,
            'X-Basilcove-Deadline-Ms': str(self.deadline_ms),
        }
        target = f'{self.gateway}:{self.deployment.ports["http"]}'
        self.sent_at[request_id] = time.monotonic()
        self.deployment.record.add(f'{request_id} sent to {self.gateway}{self.path}')
        try:
            async with asyncio.timeout(self.deadline_ms / 1000):
                answer = await exchange(target, 'POST', self.path, headers, b'x')
        except (OSError, EOFError, TimeoutError, ValueError):
            self.statuses[0] += 1
            self.deployment.record.add(f'{request_id} not answered')
            return
        self.statuses[answer.status] += 1
        self.answered_at[request_id] = time.monotonic()
        self.deployment.record.add(f'{request_id} answered: {answer.status}')


def route(name: str, kind: str, service: str, timeout_ms: int, **extra: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        'name': f'r-{name}',
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'type': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 200,
        'priority': 0,
        'service': service,
        'max_attempts': 2,
        **extra,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration of the operator."""
    services = sorted({entry['service'] for entry in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/healthz', 'max_connections': 100, 'protocol': 'h1', 'tls': False}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 't-1', 'api_keys': [KEY], 'priority': 1}],
    }


def run(path: Path, case: Callable[[Record], Awaitable[int]]) -> int:
    """Run a case with its record at a path and return its exit status."""
    record = Record(path)
    # A case that is stopped from outside still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        status = asyncio.run(case(record))
    except Exception as exc:
        record.add(f'the case could not run: {type(exc).__name__}: {exc}')
        return NOT_RUN
    record.add({HELD: 'the rule held', BROKEN: 'the rule was broken'}.get(status, 'the case could not run'))
    return status
