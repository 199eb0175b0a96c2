"""Finds out whether anything listens at an address."""

import asyncio


async def is_refused(address: str, timeout_s: float) -> bool:
    """Return whether the host of an address refuses connections to its port; no answer is no refusal."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    writer.close()
    return False
