"""Hands calls over to the thread of an event loop."""

import asyncio
import threading
from collections.abc import Callable


def bind_to_loop(call: Callable[[], None]) -> Callable[[], None]:
    """Return a function that runs ``call`` on the present event loop, whichever thread calls it.

    On the loop's own thread it runs at once, otherwise in the next iteration of the loop.
    """
    loop = asyncio.get_running_loop()
    owner = threading.get_ident()

    def hand_over() -> None:
        if threading.get_ident() == owner:
            call()
        else:
            loop.call_soon_threadsafe(call)

    return hand_over
