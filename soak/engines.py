"""Stand-in engines that announce themselves, run requests and record them."""

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from http import HTTPStatus

from basilcove.http1.resets import reset
from soak.calls import call
from soak.connections import Acceptor
from soak.const import ANNOUNCE_INTERVAL_S, COLD_S, CONTROL, EVENT_INTERVAL_S, SERVICE, SLOTS, ZONE_OF
from soak.http import BrokenError, Message, chunk, read_message, write_message
from soak.kinds import Kind, generate_events
from soak.ledger import Arrival, Ledger, Period, SignedAnswer

_WORK_S = (0.005, 0.15)
# Shares of requests that the engine fails with an error, and whose answers it truncates.
_FAILURE_SHARE = 0.01
_CUT_SHARE = 0.01
_NOT_RUN = {'X-Basilcove-Not-Executed': '1'}


class _CutError(Exception):
    """The engine truncates its answer on purpose."""


@dataclass(slots=True)
class _RunningRequest:
    """A request that an engine is running."""

    request: Message
    request_id: str
    arrival: Arrival
    signature: str


@dataclass(slots=True)
class Engine:
    """One engine; ``listen`` is its own address, ``announced_address`` that of its proxy."""

    listen: str
    announced_address: str
    api_port: int
    ledger: Ledger
    owners: dict[str, str]
    rng: random.Random
    state: str = 'ready'
    instance: str = ''
    born_ms: int = 0
    cold: Period | None = None
    _active: int = 0
    _starts: int = 0
    _serials: 'itertools.count[int]' = field(default_factory=itertools.count)
    _sequence: 'itertools.count[int]' = field(default_factory=itertools.count)
    _acceptor: Acceptor | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _announcer: 'asyncio.Task[None] | None' = None

    async def setup(self) -> None:
        """Start as a new incarnation."""
        self._starts += 1
        self.instance = f'i-{self.announced_address.rpartition(":")[0]}-{self._starts}'
        self.born_ms = time.time_ns() // 1_000_000
        self.state = 'ready'
        self.cold = None
        self._sequence = itertools.count(1)
        self._acceptor = Acceptor(self.listen, self._serve)
        await self._acceptor.setup()
        self._announcer = asyncio.create_task(self._announce())

    async def unload(self) -> None:
        """Reset all connections and stop immediately, like a crash."""
        if self.cold is not None:
            self.cold.ended_at = min(self.cold.ended_at, time.monotonic())
        if self._announcer is not None:
            self._announcer.cancel()
            await asyncio.gather(self._announcer, return_exceptions=True)
        for writer in tuple(self._writers):
            reset(writer.transport)
        if self._acceptor is not None:
            await self._acceptor.unload()

    def chill(self) -> None:
        """Become cold for ``COLD_S`` from now."""
        self.cold = Period(self.instance, ended_at=time.monotonic() + COLD_S)
        self.ledger.cold.append(self.cold)

    async def announce_once(self) -> bool:
        """Announce the engine to one control host after another; return whether one acknowledged it."""
        cold = self.cold
        left_s = 0 if cold is None else max(0, cold.ended_at - time.monotonic())
        content = {
            'service': SERVICE,
            'address': self.announced_address,
            'zone': ZONE_OF[self.announced_address.partition(':')[0]],
            'slots': SLOTS,
            'state': self.state,
            'sequence': next(self._sequence),
            'born': self.born_ms,
            'cold_remaining_ms': round(left_s * 1000),
        }
        path = f'/instances/{self.instance}'
        for host in self.rng.sample(CONTROL, len(CONTROL)):
            answer = await call(f'{host}:{self.api_port}', 'PUT', path, json.dumps(content).encode())
            if answer is not None and answer.status == HTTPStatus.OK:
                if cold is not None:
                    cold.acknowledged_at = min(cold.acknowledged_at, time.monotonic())
                return True
        return False

    async def _announce(self) -> None:
        while True:
            await self.announce_once()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._answer(await read_message(reader), reader, writer)
        except (BrokenError, _CutError, OSError):
            reset(writer.transport)
        finally:
            self._writers.discard(writer)

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.header('x-basilcove-attempt-id')
        arrival = Arrival(self.instance, time.monotonic(), has_run=False)
        self.ledger.arrivals[request_id].append(arrival)
        expected = request.header('x-basilcove-expect-instance')
        refusal = None
        if expected and expected != self.instance:
            refusal = HTTPStatus.MISDIRECTED_REQUEST
        elif self._active >= SLOTS:
            refusal = HTTPStatus.SERVICE_UNAVAILABLE
        if refusal is not None:
            headers = {**_NOT_RUN, 'X-Basilcove-Attempt-Id': request_id}
            writer.write(write_message(f'HTTP/1.1 {refusal.value} Refused', headers))
            return
        arrival.has_run = True
        self._check(request, request_id)
        running = _RunningRequest(request, request_id, arrival, f'{self.instance}.{next(self._serials)}')
        self._active += 1
        try:
            await self._run(running, reader, writer)
        finally:
            self._active -= 1
            arrival.ended_at = time.monotonic()

    def _check(self, request: Message, request_id: str) -> None:
        """Compare a request with the one that its caller sent."""
        record = self.ledger.requests.get(request_id)
        if record is None or not request.first_line.split(' ')[1].startswith(f'/{record.kind}'):
            self.ledger.record_fault(
                f'an engine ran {request_id} ({request.first_line}), which no caller sent in this form'
            )
        if request.header('authorization'):
            self.ledger.record_fault(f'an engine received the API key of {request_id}')
        owner = self.owners.get(request_id, '')
        if request.header('x-basilcove-tenant') != owner:
            self.ledger.record_fault(f'{request_id} ran for a team other than {owner!r}')

    async def _run(
        self, running: _RunningRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run the request until it ends or its connection is closed."""
        work = asyncio.create_task(self._work(running, writer))
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise BrokenError('the sender closed the connection')
            work.result()
        finally:
            work.cancel()
            closed.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

    async def _work(self, running: _RunningRequest, writer: asyncio.StreamWriter) -> None:
        kind = Kind(running.request.first_line.split('/')[1].partition('-')[0])
        if kind.is_stream:
            await self._stream(running, writer)
            return
        await asyncio.sleep(self.rng.uniform(*_WORK_S))
        has_failed = self.rng.random() < _FAILURE_SHARE
        status = HTTPStatus.INTERNAL_SERVER_ERROR if has_failed else HTTPStatus.OK
        body = f'{running.request_id} by {self.instance}\n'.encode() * self.rng.randint(1, 100)
        head = self._head(running, status, body)
        content = write_message(*head, body)
        if self.rng.random() < _CUT_SHARE:
            writer.write(content[: self.rng.randrange(len(content))])
            await writer.drain()
            raise _CutError
        writer.write(content)
        await writer.drain()

    async def _stream(self, running: _RunningRequest, writer: asyncio.StreamWriter) -> None:
        first_line, headers = self._head(running, HTTPStatus.OK, b'')
        writer.write(write_message(first_line, {**headers, 'Transfer-Encoding': 'chunked'}, None))
        after = int(running.request.header('last-event-id') or 0)
        for event in generate_events(running.request_id, after):
            await asyncio.sleep(EVENT_INTERVAL_S)
            if self.rng.random() < _CUT_SHARE / 2:
                # Truncate in the middle of an event.
                writer.write(chunk(event[: len(event) // 2]))
                await writer.drain()
                raise _CutError
            writer.write(chunk(event))
            await writer.drain()
        writer.write(chunk(b''))

    def _head(self, running: _RunningRequest, status: HTTPStatus, body: bytes) -> tuple[str, dict[str, str]]:
        self.ledger.signed[running.signature] = SignedAnswer(running.request_id, status.value, body)
        headers = {
            'X-Basilcove-Attempt-Id': running.request_id,
            'X-Basilcove-Server-Signature': running.signature,
            'X-Basilcove-Server-Load': f'{self._active},0,{SLOTS}',
            'Keep-Alive': 'timeout=5',
        }
        return f'HTTP/1.1 {status.value} {status.phrase}', headers
