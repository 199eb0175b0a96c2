"""Lets an adapter wait until a departure of an upstream is known to enough control hosts."""

import asyncio

from basilcove.core.runtime import Runtime, carries_out
from basilcove.registry.const import DEPARTURE_TIMEOUT_S
from basilcove.registry.events import ConfirmDeparture, UpstreamLeft
from basilcove.registry.messages import Departure, Registration


class DepartureGate:
    """Passes on departures that an adapter was told of; the driver of ``ConfirmDeparture``."""

    def __init__(self, runtime: Runtime) -> None:
        """Start without departures."""
        self._runtime = runtime
        self._waiting: dict[Departure, asyncio.Future[None]] = {}
        runtime.add_driver(self)

    async def announce(self, registration: Registration) -> bool:
        """Pass on that an upstream ends; tell whether that outlasts the loss of this host."""
        departure = registration.departure
        fut = self._waiting.get(departure)
        if fut is None:
            fut = asyncio.get_running_loop().create_future()
            self._waiting[departure] = fut
        self._runtime.apply(UpstreamLeft(registration))
        try:
            async with asyncio.timeout(DEPARTURE_TIMEOUT_S):
                await asyncio.shield(fut)
        except TimeoutError:
            self._waiting.pop(departure, None)
            return False
        return True

    def confirm(self, departure: Departure) -> None:
        """Answer those who wait for a departure."""
        fut = self._waiting.pop(departure, None)
        if fut is not None and not fut.done():
            fut.set_result(None)


@carries_out(ConfirmDeparture, DepartureGate)
def _confirm(gate: DepartureGate, effect: ConfirmDeparture) -> None:
    gate.confirm(effect.departure)
