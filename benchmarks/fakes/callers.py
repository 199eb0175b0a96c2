"""Callers for measurements with processes: pairs of calls, and many open streams."""

import asyncio
import json
import time
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from http.client import HTTPConnection

from tests.harness.documents import KIOSK_KEY

PATH = '/v1/chat/completions'
_EVENT = b'data: {'
_HEADERS = {
    'Authorization': f'Bearer {KIOSK_KEY}',
    'Content-Type': 'application/json',
    'X-Basilcove-Priority': 'urgent',
    'X-Request-Timeout': '300',
}


def make_body(max_tokens: int, *, stream: bool) -> bytes:
    """Return the body of a model request."""
    messages = [{'role': 'user', 'content': 'Is the track past the mill open?'}]
    content = {'model': 'rider-assistant', 'stream': stream, 'max_tokens': max_tokens, 'messages': messages}
    return json.dumps(content).encode()


def time_calls(addresses: Sequence[str], rounds: int) -> list[list[float]]:
    """Call each address in turn on kept connections; return the times of each, in seconds."""
    conns = [HTTPConnection(address, timeout=30) for address in addresses]
    times: list[list[float]] = [[] for _ in conns]
    body = make_body(1, stream=False)
    for _ in range(rounds):
        for conn, taken in zip(conns, times, strict=True):
            began = time.perf_counter()
            conn.request('POST', PATH, body, _HEADERS)
            answer = conn.getresponse()
            answer.read()
            taken.append(time.perf_counter() - began)
            assert answer.status == 200, answer.status
    for conn in conns:
        conn.close()
    return times


class StreamCallers:
    """Streams of one entry, read on one event loop."""

    def __init__(self, address: str, max_tokens: int) -> None:
        """Start without any stream."""
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._body = make_body(max_tokens, stream=True)
        self._tasks: list[asyncio.Task[None]] = []
        self.events: list[int] = []
        self.statuses: list[int] = []
        self.refusals: list[str] = []

    async def open(self, count: int) -> None:
        """Open streams and wait until each has its status."""
        self.events = [0 for _ in range(count)]
        self.statuses = self.events.copy()
        self._tasks = [asyncio.create_task(self._run(index)) for index in range(count)]
        while not all(self.statuses):
            assert not any(task.done() and not status for task, status in self._results()), 'a stream failed'
            await asyncio.sleep(0.01)

    async def wait_for_tokens(self) -> None:
        """Wait until each stream has a token."""
        assert set(self.statuses) == {200}, self.refusals
        while not all(self.events):
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Hang up on all streams."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _results(self) -> Iterable[tuple[asyncio.Task[None], int]]:
        return zip(self._tasks, self.statuses, strict=True)

    async def _run(self, index: int) -> None:
        reader, writer = await asyncio.open_connection(self._host, self._port)
        lines = ''.join(f'{name}: {text}\r\n' for name, text in _HEADERS.items())
        head = f'POST {PATH} HTTP/1.1\r\nHost: entry\r\n{lines}Content-Length: {len(self._body)}\r\n\r\n'
        writer.write(head.encode() + self._body)
        try:
            await self._read(index, reader)
        finally:
            writer.close()

    async def _read(self, index: int, reader: asyncio.StreamReader) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        self.statuses[index] = int(head.split(b' ', 2)[1])
        if self.statuses[index] != HTTPStatus.OK:
            self.refusals.append((await reader.read(1 << 16)).decode())
        while received := await reader.read(1 << 16):
            self.events[index] += received.count(_EVENT)
