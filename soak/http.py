"""Subset of HTTP/1.1 for the engines and callers of the soak."""

import asyncio
from dataclasses import dataclass

_HEAD_END = b'\r\n\r\n'


@dataclass(slots=True)
class Message:
    """A request or an answer; ``is_whole`` is False if its connection ended before its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b''
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(' ')[1])

    def header(self, name: str) -> str:
        """Return a header, or an empty string."""
        return self.headers.get(name.lower(), '')


class BrokenError(Exception):
    """A connection ended before the head of a message."""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; raise BrokenError if the connection ends before its head is complete."""
    try:
        head = await reader.readuntil(_HEAD_END)
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise BrokenError(str(exc)) from exc
    first_line, *lines = head.decode('latin-1').strip().split('\r\n')
    fields = (line.partition(':') for line in lines)
    message = Message(first_line, {name.lower(): text.strip() for name, _, text in fields})
    try:
        await _read_body(message, reader)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.is_whole = False
    return message


async def _read_body(message: Message, reader: asyncio.StreamReader) -> None:
    if message.header('transfer-encoding').lower() != 'chunked':
        message.body = await reader.readexactly(int(message.header('content-length') or 0))
        return
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return
        message.body += part[:size]


def write_message(first_line: str, headers: dict[str, str], body: bytes | None = b'') -> bytes:
    """Return the bytes of a message; if ``body`` is None, only a head without Content-Length."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers.items())]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + (body or b'')


def chunk(part: bytes) -> bytes:
    """Return a chunk of a chunked body; an empty chunk ends the body."""
    return b'%x\r\n%s\r\n' % (len(part), part)
