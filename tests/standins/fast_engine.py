"""Fake engine on one event loop without faults, fast enough to saturate an entry.

Like an engine with continuous batching it works in steps: each step sends one token, as one event,
to every open stream.
"""

import asyncio
import json
import threading
from typing import Any

from tests.standins.upstream import announce, parser

_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"abcd "}}]}\n\n'
_FRAME = b'%x\r\n%s\r\n' % (len(_EVENT), _EVENT)
_DONE = b'e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n'
_STREAM_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
_JSON_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n'
_ANSWER = json.dumps({'choices': [{'index': 0, 'message': {'content': 'abcd '}}]}).encode()


class FastEngine:
    """Serves completions; ``step_s`` is the time of a step in seconds."""

    def __init__(self) -> None:
        """Start without open streams."""
        self._step_s = 0.01
        self._streams: dict[asyncio.StreamWriter, tuple[int, asyncio.Event]] = {}

    async def run(self, listen: str) -> None:
        """Serve until killed."""
        host, _, port = listen.rpartition(':')
        server = await asyncio.start_server(self._serve, host, int(port))
        async with server:
            await self._step()

    async def _step(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due = max(due + self._step_s, loop.time() - self._step_s)
            await asyncio.sleep(due - loop.time())
            for writer, (left, ended) in tuple(self._streams.items()):
                writer.write(_FRAME if left > 1 else _FRAME + _DONE)
                self._streams[writer] = (left - 1, ended)
                if left <= 1 or writer.is_closing():
                    self._streams.pop(writer)
                    ended.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                path, content = await _read_request(reader)
                await self._answer(path, content, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, path: str, content: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        if path == '/standin/behaviour':
            self._step_s = content['token_s']
        elif content.get('stream'):
            ended = asyncio.Event()
            writer.write(_STREAM_HEAD)
            self._streams[writer] = (int(content['max_tokens']), ended)
            await ended.wait()
            return
        writer.write(_JSON_HEAD % len(_ANSWER) + _ANSWER)


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, Any]]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in head[1:] if line)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return head[0].split(' ')[1], json.loads(body) if body else {}


if __name__ == '__main__':
    options = parser().parse_args()
    threading.Thread(target=announce, args=(options,), daemon=True).start()
    asyncio.run(FastEngine().run(options.listen))
