"""An engine in trouble: it answers each stream with a body that has no end and no event."""

import asyncio
import sys

# Each chunk holds a few tokens.
CHUNK = b'10\r\n' + b'x' * 16 + b'\r\n'
CHUNKS_PER_WRITE = 1024


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        await _answer(reader, writer)
    except (OSError, EOFError):
        writer.close()


async def _answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    headers = dict(line.lower().split(': ', 1) for line in head.split('\r\n')[1:] if line)
    await reader.readexactly(int(headers.get('content-length', 0)))
    print('i-trouble runs', headers['x-basilcove-attempt-id'], flush=True)
    writer.write(
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n'
        b'X-Basilcove-Server-Signature: i-trouble.1\r\n'
        b'X-Basilcove-Attempt-Id: ' + headers['x-basilcove-attempt-id'].encode() + b'\r\n\r\n'
    )
    while True:
        writer.write(CHUNK * CHUNKS_PER_WRITE)
        await writer.drain()


async def _main(host: str, port: str) -> None:
    server = await asyncio.start_server(_serve, host, int(port))
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main(*sys.argv[1:]))
