"""A gateway in this process with scripted upstreams and callers, all on loopback."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from basilcove.const import MAX_RECEIVE_BYTES
from basilcove.core.events import PeerFound, Received
from basilcove.core.ids import Revision, Zone
from basilcove.core.reducer import Node
from basilcove.core.runtime import Runtime
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.models import Environment
from basilcove.gateway import coordinator as _gateway  # noqa: F401
from basilcove.gateway.config import GatewayConfig
from basilcove.gateway.driver import GatewayDriver
from basilcove.gateway.models import GatewayState
from basilcove.helpers.logs import LogDriver
from basilcove.helpers.metrics import Metrics
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.refusals import Refusals
from basilcove.http1.resets import reset
from basilcove.registry.messages import Registrations
from tests.gateway.world import CONTROL, HOST, KEY, STOP_TIMEOUT_S, document, registration

TIMEOUT_S = 10

Script = Callable[['UpstreamCall'], Awaitable[None]]


@dataclass
class UpstreamCall:
    """One request that a scripted upstream received, and the connection for its answer."""

    head: bytes
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def header(self, name: str) -> str:
        """Return the content of a header; empty if it is missing."""
        for line in self.head.decode('latin-1').split('\r\n')[1:]:
            header_name, _, content = line.partition(':')
            if header_name.lower() == name.lower():
                return content.strip()
        return ''

    async def answer(
        self, body: bytes, *headers: str, status: str = '200 OK', echo: str | None = None
    ) -> None:
        """Send a complete answer that names the request, or the request ``echo`` if given."""
        lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
        lines.append(f'Basilcove-Request-Id: {self.header("Basilcove-Request-Id") if echo is None else echo}')
        await self.send('\r\n'.join([*lines, *headers, '', '']).encode() + body)

    async def begin_stream(self) -> None:
        """Send the head of an answer in chunks."""
        await self.send(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSignature: s\r\n\r\n')

    async def chunk(self, part: bytes) -> None:
        """Send a chunk; an empty one ends the answer."""
        await self.send(b'%x\r\n%s\r\n' % (len(part), part))

    async def send(self, content: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(content)
        await self.writer.drain()

    def cut(self) -> None:
        """Reset the connection."""
        reset(self.writer.transport)


@dataclass
class Upstream:
    """A scripted upstream; each request runs the next script, and the last script repeats."""

    scripts: list[Script]
    calls: list[UpstreamCall] = field(default_factory=list)
    connections: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, and close it even if the test ends first."""
        self.connections += 1
        try:
            while True:
                await self._serve_next(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            """The gateway closed the connection."""
        finally:
            writer.close()

    async def _serve_next(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        call = UpstreamCall(head, b'', reader, writer)
        call.body = await reader.readexactly(int(call.header('Content-Length') or 0))
        script = self.scripts[min(len(self.calls), len(self.scripts) - 1)]
        self.calls.append(call)
        await script(call)


@dataclass
class Answer:
    """The answer that a caller received; ``is_whole`` is False if its connection broke."""

    status: int
    head: str
    body: bytes
    is_whole: bool


class Gateway:
    """A gateway that runs on the current event loop."""

    def __init__(self, driver: GatewayDriver, runtime: Runtime) -> None:
        self.driver = driver
        self.runtime = runtime

    @property
    def state(self) -> GatewayState:
        """Return the state of the gateway."""
        return self.runtime.node.part(GatewayState)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection."""
        return await asyncio.open_connection('127.0.0.1', self.driver.server.port)

    async def ask(self, path: str, body: bytes = b'', method: str = 'POST', **headers: str) -> Answer:
        """Send one request on a connection of its own and read until the gateway closes it."""
        reader, writer = await self.connect()
        writer.write(request(path, body, method, Connection='close', **headers))
        try:
            content = await asyncio.wait_for(reader.read(-1), TIMEOUT_S)
        except ConnectionError:
            return Answer(0, '', b'', is_whole=False)
        finally:
            writer.close()
        return read_answer(content)


def request(path: str, body: bytes = b'', method: str = 'POST', **headers: str) -> bytes:
    """Return a caller's request."""
    fields = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        'Basilcove-Request-Id': 'r-1',
        'Basilcove-Timeout-Ms': '5000',
        'Content-Length': str(len(body)),
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }
    lines = [f'{method} {path} HTTP/1.1', *(f'{name}: {text}' for name, text in fields.items() if text)]
    return '\r\n'.join([*lines, '', '']).encode() + body


def read_answer(content: bytes) -> Answer:
    """Parse the bytes of an answer."""
    head, _, rest = content.partition(b'\r\n\r\n')
    text = head.decode('latin-1')
    status = int(text.split(' ')[1]) if text else 0
    if 'chunked' not in text.lower():
        return Answer(status, text, rest, bool(head))
    body = b''
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size, 16)
        if length == 0:
            return Answer(status, text, body, is_whole=True)
        body, rest = body + rest[:length], rest[length + 2 :]
    return Answer(status, text, body, is_whole=False)


@asynccontextmanager
async def running(*upstreams: Upstream) -> AsyncIterator[Gateway]:
    """Run a gateway in front of upstreams."""
    servers = [await asyncio.start_server(each.serve, '127.0.0.1', 0) for each in upstreams]
    cfg = GatewayConfig(listen='127.0.0.1:0')
    state = GatewayState.from_config(cfg, Zone('a'), STOP_TIMEOUT_S)
    runtime = Runtime(Node(state))
    driver = GatewayDriver.from_config(
        cfg, runtime.apply, ReceiveAccount(MAX_RECEIVE_BYTES), Refusals('gateway', Metrics())
    )
    for each in (driver, Metrics(), LogDriver('gateway', 'CRITICAL')):
        runtime.add_driver(each)
    await runtime.start()
    await driver.server.setup()
    runtime.apply(PeerFound(CONTROL))
    runtime.apply(EnvironmentChanged(Revision(1), Environment.model_validate(document())))
    for number, server in enumerate(servers):
        port = server.sockets[0].getsockname()[1]
        # The first upstream is in the gateway's own availability zone and so is chosen first.
        upstream = registration(
            f'up-{number}', address=f'127.0.0.1:{port}', zone=Zone('b' if number else 'a')
        )
        runtime.apply(Received(CONTROL, Registrations((upstream,), (), 1)))
    try:
        yield Gateway(driver, runtime)
    finally:
        await runtime.stop()
        await driver.unload()
        for server in servers:
            server.close()
