"""Callers that keep their connections open, and check each answer against what engines sent."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass
from http import HTTPStatus

from soak.const import CALL_TIMEOUT_S, GATEWAYS, HOST
from soak.http import BrokenError, Message, read_message, write_message
from soak.kinds import Kind, events
from soak.ledger import Asked, Ledger

_LEAVE_SHARE = 0.05
_LEAVE_AFTER_S = (0.0, 0.3)
# Between two requests of a caller; now and then it has many in a row.
_PAUSE_S = 0.03
_RECONNECT_S = 0.1
_DEADLINE_MS = 5000
# The gateway ends every request before this.
_PATIENCE_S = 10.0
_CALLED = (Kind.LOOKUP, Kind.BOOKING, Kind.BRIEF, Kind.ONCE)
_LEFT = 'the caller left'

_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class Callers:
    """Sends requests and keeps what came back; ``keys`` are the teams' keys by name."""

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
            asked, conn = await self._ask(conn, gateway, rng)
            if conn is None:
                gateway = rng.choice(GATEWAYS)
            await asyncio.sleep(_RECONNECT_S if asked.is_unsent else rng.expovariate(1 / _PAUSE_S))
        if conn is not None:
            conn[1].close()

    async def once(
        self, gateway: str, kind: Kind, path: str = '', key: str | None = None, team: str = ''
    ) -> Asked:
        """Send one request on a connection of its own."""
        asked = self._prepare(kind, team)
        conn = await self._connect(gateway)
        if conn is None:
            asked.is_unsent = True
            return asked
        try:
            async with asyncio.timeout(_PATIENCE_S):
                await self._exchange(asked, conn, path or f'/{kind.value}/x', key)
        except TimeoutError:
            asked.left_at = time.monotonic()
        conn[1].close()
        return asked

    async def _ask(
        self, conn: _Connection | None, gateway: str, rng: random.Random
    ) -> tuple[Asked, _Connection | None]:
        kind = rng.choice(_CALLED)
        team = rng.choice(tuple(self.keys))
        asked = self._prepare(kind, team)
        conn = conn or await self._connect(gateway)
        if conn is None:
            asked.is_unsent = True
            return asked, None
        exchange = asyncio.create_task(self._exchange(asked, conn, f'/{kind.value}/x', self.keys[team]))
        patience_s = rng.uniform(*_LEAVE_AFTER_S) if rng.random() < _LEAVE_SHARE else _PATIENCE_S
        await asyncio.wait((exchange,), timeout=patience_s)
        if exchange.done():
            return asked, conn if exchange.result() else None
        asked.left_at = time.monotonic()
        exchange.cancel(_LEFT)
        conn[1].transport.abort()
        if patience_s == _PATIENCE_S:
            self.ledger.note_fault(f'{asked.request_id} had no end after {_PATIENCE_S} s')
        return asked, None

    def _prepare(self, kind: Kind, team: str) -> Asked:
        asked = Asked(f'q{next(self._numbers)}', kind.value, time.monotonic())
        self.ledger.asked[asked.request_id] = asked
        self.owners[asked.request_id] = team
        return asked

    async def _connect(self, gateway: str) -> _Connection | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await asyncio.open_connection(gateway, self.port)
        except (OSError, TimeoutError):
            return None

    async def _exchange(self, asked: Asked, conn: _Connection, path: str, key: str | None) -> bool:
        """Return whether the connection can be used again."""
        reader, writer = conn
        headers = {
            'Host': HOST,
            'X-Basilcove-Attempt-Id': asked.request_id,
            'X-Basilcove-Deadline-Ms': str(_DEADLINE_MS),
        }
        if key is not None:
            headers['Authorization'] = f'Token {key}'
        asked.sent_at = time.monotonic()
        writer.write(write_message(f'POST {path} HTTP/1.1', headers, b'x'))
        try:
            found = await read_message(reader)
        except BrokenError:
            asked.ended_at = time.monotonic()
            writer.close()
            return False
        asked.ended_at = time.monotonic()
        asked.status, asked.is_whole = found.status, found.is_whole
        self._check(asked, found)
        is_kept = found.is_whole and found.header('connection').lower() != 'close'
        if not is_kept:
            writer.close()
        return is_kept

    def _check(self, asked: Asked, found: Message) -> None:
        """Compare an answer with what the engine sent under its signature."""
        if not found.is_whole:
            return
        request_id, signature = asked.request_id, found.header('x-basilcove-server-signature')
        signed = self.ledger.signed.get(signature)
        if signed is None:
            if found.status < HTTPStatus.MULTIPLE_CHOICES or signature:
                self.ledger.note_fault(f'{request_id}: status {found.status} that no engine gave')
            return
        if (signed.request_id, signed.status) != (request_id, found.status):
            self.ledger.note_fault(f'{request_id} got the answer of {signed.request_id}, {signed.status}')
            return
        wanted = b''.join(events(request_id)) if Kind(asked.kind).is_stream else signed.body
        if found.body != wanted:
            self.ledger.note_fault(f'{request_id}: {found.body!r} looks whole, the engine sent {wanted!r}')
