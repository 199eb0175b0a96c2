"""Callers that reuse connections and check each answer against the one that the engine sent."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass
from http import HTTPStatus

from soak.const import CALL_TIMEOUT_S, GATEWAYS, HOST
from soak.http import BrokenError, Message, read_message, write_message
from soak.kinds import Kind, generate_events
from soak.ledger import Ledger, RequestRecord

_LEAVE_SHARE = 0.05
_LEAVE_AFTER_S = (0.0, 0.3)
# Mean pause between two requests of a caller; exponentially distributed, so bursts occur.
_PAUSE_S = 0.03
_RECONNECT_S = 0.1
_DEADLINE_MS = 5000
# Longer than the gateway takes to end any request.
_TIMEOUT_S = 10.0
_KINDS = (Kind.LOOKUP, Kind.BOOKING, Kind.BRIEF, Kind.ONCE)
_CALLER_LEFT = 'the caller left'

_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class Callers:
    """Sends requests and records answers; ``keys`` has a key for each team, ``owners`` a team for each id."""

    ledger: Ledger
    keys: dict[str, str]
    owners: dict[str, str]
    port: int
    _numbers: 'itertools.count[int]'
    is_stopped: bool = False

    async def run(self, rng: random.Random) -> None:
        """Send one request after another until stopped."""
        conn: _Connection | None = None
        gateway = rng.choice(GATEWAYS)
        while not self.is_stopped:
            record, conn = await self._send_next(conn, gateway, rng)
            if conn is None:
                gateway = rng.choice(GATEWAYS)
            await asyncio.sleep(_RECONNECT_S if record.is_unsent else rng.expovariate(1 / _PAUSE_S))
        if conn is not None:
            conn[1].close()

    async def send_once(
        self, gateway: str, kind: Kind, path: str = '', key: str | None = None, team: str = ''
    ) -> RequestRecord:
        """Send one request on a new connection."""
        record = self._prepare(kind, team, gateway)
        conn = await self._connect(gateway)
        if conn is None:
            record.is_unsent = True
            return record
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                await self._exchange(record, conn, path or f'/{kind.value}/x', key)
        except TimeoutError:
            record.left_at = time.monotonic()
        conn[1].close()
        return record

    async def _send_next(
        self, conn: _Connection | None, gateway: str, rng: random.Random
    ) -> tuple[RequestRecord, _Connection | None]:
        kind = rng.choice(_KINDS)
        team = rng.choice(tuple(self.keys))
        record = self._prepare(kind, team, gateway)
        conn = conn or await self._connect(gateway)
        if conn is None:
            record.is_unsent = True
            return record, None
        exchange = asyncio.create_task(self._exchange(record, conn, f'/{kind.value}/x', self.keys[team]))
        timeout_s = rng.uniform(*_LEAVE_AFTER_S) if rng.random() < _LEAVE_SHARE else _TIMEOUT_S
        await asyncio.wait((exchange,), timeout=timeout_s)
        if exchange.done():
            return record, conn if exchange.result() else None
        record.left_at = time.monotonic()
        exchange.cancel(_CALLER_LEFT)
        conn[1].transport.abort()
        if timeout_s == _TIMEOUT_S:
            self.ledger.record_fault(f'{record.request_id} did not end within {_TIMEOUT_S} s')
        return record, None

    def _prepare(self, kind: Kind, team: str, gateway: str) -> RequestRecord:
        record = RequestRecord(f'q{next(self._numbers)}', kind.value, time.monotonic(), gateway=gateway)
        self.ledger.requests[record.request_id] = record
        self.owners[record.request_id] = team
        return record

    async def _connect(self, gateway: str) -> _Connection | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await asyncio.open_connection(gateway, self.port)
        except (OSError, TimeoutError):
            return None

    async def _exchange(self, record: RequestRecord, conn: _Connection, path: str, key: str | None) -> bool:
        """Send a request and read its answer; return whether the connection can be reused."""
        reader, writer = conn
        headers = {
            'Host': HOST,
            'X-Basilcove-Attempt-Id': record.request_id,
            'X-Basilcove-Deadline-Ms': str(_DEADLINE_MS),
        }
        if key is not None:
            headers['Authorization'] = f'Token {key}'
        record.sent_at = time.monotonic()
        writer.write(write_message(f'POST {path} HTTP/1.1', headers, b'x'))
        try:
            answer = await read_message(reader)
        except BrokenError:
            record.ended_at = time.monotonic()
            writer.close()
            return False
        record.ended_at = time.monotonic()
        record.status, record.is_whole = answer.status, answer.is_whole
        self._check(record, answer)
        is_reusable = answer.is_whole and answer.header('connection').lower() != 'close'
        if not is_reusable:
            writer.close()
        return is_reusable

    def _check(self, record: RequestRecord, answer: Message) -> None:
        """Compare an answer with the one that the engine sent under the same signature."""
        if not answer.is_whole:
            return
        request_id, signature = record.request_id, answer.header('x-basilcove-server-signature')
        signed = self.ledger.signed.get(signature)
        if signed is None:
            if answer.status < HTTPStatus.MULTIPLE_CHOICES or signature:
                self.ledger.record_fault(f'{request_id}: status {answer.status} that no engine sent')
            return
        if (signed.request_id, signed.status) != (request_id, answer.status):
            self.ledger.record_fault(f'{request_id} got the answer of {signed.request_id}, {signed.status}')
            return
        expected = b''.join(generate_events(request_id)) if Kind(record.kind).is_stream else signed.body
        if answer.body != expected:
            self.ledger.record_fault(
                f'{request_id}: {answer.body!r} looks complete, but the engine sent {expected!r}'
            )
