"""HTTP calls from operators and engines to control hosts."""

import asyncio

from soak.const import CALL_TIMEOUT_S
from soak.http import BrokenError, Message, read_message, write_message


async def call(address: str, method: str, path: str, body: bytes = b'') -> Message | None:
    """Return the complete answer of a host, or None if none arrives within ``CALL_TIMEOUT_S``."""
    try:
        # ``wait_for`` may swallow a cancellation that coincides with the end of the call.
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await _call(address, method, path, body)
    except (BrokenError, OSError, TimeoutError):
        return None


async def _call(address: str, method: str, path: str, body: bytes) -> Message | None:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        headers = {'Host': host, 'Content-Type': 'application/json', 'Connection': 'close'}
        writer.write(write_message(f'{method} {path} HTTP/1.1', headers, body))
        answer = await read_message(reader)
    finally:
        writer.close()
    return answer if answer.is_whole else None
