"""Runs the reducer on an asyncio loop and passes its effects to drivers."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from loguru import logger

from basilcove.const import TICK_INTERVAL_S
from basilcove.core.events import Count, Effect, Emit, Event, HandlerFailed, Received, Tick
from basilcove.core.reducer import Node, reduce

DriverT = TypeVar('DriverT')
EffectT = TypeVar('EffectT', bound=Effect)
EffectHandler = Callable[[DriverT, EffectT], None]

_EFFECT_HANDLERS: dict[type, tuple[type, EffectHandler[Any, Any]]] = {}


def carries_out(
    effect_type: type[EffectT],
    driver_type: type[DriverT],
) -> Callable[[EffectHandler[DriverT, EffectT]], EffectHandler[DriverT, EffectT]]:
    """Register the function with which a driver carries out an effect.

    The function runs on the loop's thread and must not block.
    """

    def register(handler: EffectHandler[DriverT, EffectT]) -> EffectHandler[DriverT, EffectT]:
        _EFFECT_HANDLERS[effect_type] = (driver_type, handler)
        return handler

    return register


class Runtime:
    """Feeds events to the reducer, one at a time, on one thread."""

    def __init__(self, node: Node) -> None:
        """Create a runtime for the node's states; drivers are added before ``start``."""
        self.node = node
        self._drivers: dict[type, object] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._ticker: asyncio.Task[None] | None = None
        self._failures = 0

    def add_driver(self, driver: object) -> None:
        """Add a driver, replacing one of the same type."""
        self._drivers[type(driver)] = driver

    async def start(self) -> None:
        """Start applying ticks on the running loop."""
        self._loop = asyncio.get_running_loop()
        self._ticker = asyncio.create_task(self._tick())

    async def stop(self) -> None:
        """Stop applying ticks and posted events."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._loop = None

    def post(self, event: Event) -> None:
        """Schedule an event on the loop's thread; safe from any thread."""
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self.apply, event)

    def apply(self, event: Event) -> bool:
        """Apply an event now; only on the loop's thread. Return whether no handler and no driver failed.

        A failure ends neither the process nor the work on other states and effects; it is logged and counted.
        """
        failures = self._failures
        for effect in reduce(self.node, event, time.monotonic(), time.time(), self._on_handler_error):
            self._carry_out(effect)
        return failures == self._failures

    def _carry_out(self, effect: Effect) -> None:
        entry = _EFFECT_HANDLERS.get(type(effect))
        driver = self._drivers.get(entry[0]) if entry else None
        if entry is None or driver is None:
            logger.error('no driver carries out {}', type(effect).__name__)
            return
        try:
            entry[1](driver, effect)
        except Exception:
            self._failures += 1
            logger.exception('effect {} could not be carried out', type(effect).__name__)

    def _on_handler_error(self, state_type: type, event: Event, exc: Exception) -> Iterable[Effect]:
        self._failures += 1
        name = type(event.message if isinstance(event, Received) else event).__name__
        logger.opt(exception=exc).error('handler of {} for {} failed', name, state_type.__name__)
        yield Count('handler_failures', (('state', state_type.__name__), ('event', name)))
        if not isinstance(event, HandlerFailed):
            yield Emit(HandlerFailed(state_type, f'{name}: {type(exc).__name__}: {exc}'))

    async def _tick(self) -> None:
        while True:
            try:
                self.apply(Tick())
            except Exception:
                # Nothing else would end the silence of a process without ticks.
                logger.exception('a tick failed')
            await asyncio.sleep(TICK_INTERVAL_S)
