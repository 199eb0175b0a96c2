"""Executes the effects of a gateway: accepts requests from callers and sends them to upstreams."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from http import HTTPStatus

from loguru import logger

from basilcove.core.events import Event
from basilcove.core.runtime import carries_out
from basilcove.gateway.config import GatewayConfig
from basilcove.gateway.const import (
    CHECK_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    DEFAULT_KEEP_ALIVE_S,
    KEEP_ALIVE_MARGIN_S,
    MAX_IDLE_CONNECTIONS,
    UNACKNOWLEDGED_TIMEOUT_MS,
)
from basilcove.gateway.events import (
    AbortAnswer,
    AttemptEnded,
    AttemptResult,
    CallerLeft,
    CancelAttempt,
    CheckUpstream,
    DeliverBuffered,
    MoveAttempt,
    Refuse,
    RequestArrived,
    StartAttempt,
    UpstreamChecked,
)
from basilcove.gateway.exchange import Attempt, AttemptEvent, Exchange
from basilcove.gateway.headers import GatewayHeaders
from basilcove.gateway.held import HeldBytes
from basilcove.http1.account import ReceiveAccount
from basilcove.http1.client import ClientConfig
from basilcove.http1.config import ConnectionLimits
from basilcove.http1.connection import CallerConnection
from basilcove.http1.headers import Headers, HttpRequest
from basilcove.http1.pool import UpstreamConnections
from basilcove.http1.probes import is_refused
from basilcove.http1.refusals import Refusals
from basilcove.http1.server import HttpServer

_CLIENT = ClientConfig(
    CONNECT_TIMEOUT_S,
    DEFAULT_KEEP_ALIVE_S,
    KEEP_ALIVE_MARGIN_S,
    MAX_IDLE_CONNECTIONS,
    UNACKNOWLEDGED_TIMEOUT_MS,
)


class GatewayDriver:
    """Forwards between connections of callers and connections to upstreams; handler of its HTTP server."""

    def __init__(
        self,
        cfg: GatewayConfig,
        apply: Callable[[Event], bool],
        account: ReceiveAccount,
        refusals: Refusals,
    ) -> None:
        """Deliver events to ``apply``, on the thread of the event loop; it returns False after a failure."""
        self._cfg = cfg
        self._apply = apply
        self._keys = itertools.count(1)
        self._exchanges: dict[int, Exchange] = {}
        self._by_caller: dict[CallerConnection, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.upstreams = UpstreamConnections(_CLIENT)
        self.server = HttpServer(cfg.listen, self, account, refusals, cfg.receive)
        self._held = HeldBytes(account)
        self._headers = GatewayHeaders(cfg)

    @classmethod
    def from_config(
        cls,
        cfg: GatewayConfig,
        apply: Callable[[Event], bool],
        account: ReceiveAccount,
        refusals: Refusals,
    ) -> 'GatewayDriver':
        """Build the driver of a gateway; what its callers take is charged to ``account``."""
        return cls(cfg, apply, account, refusals)

    async def unload(self) -> None:
        """Close all connections."""
        await self.server.unload()
        self.upstreams.close_all()

    def apply_limits(self, limits: ConnectionLimits) -> None:
        """Apply the limits on callers' requests from a document."""
        self.server.limits = limits

    @property
    def open_exchanges(self) -> int:
        """Return the number of requests whose answer is not complete."""
        return len(self._exchanges)

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that incomplete answers hold."""
        return self._held.total

    # Handler of the server.

    def on_request(self, conn: CallerConnection, request: HttpRequest) -> None:
        """Pass a request to the reducer."""
        key = next(self._keys)
        self._exchanges[key] = Exchange(key, conn, request)
        self._by_caller[conn] = key
        self._apply_for(key, RequestArrived(key, self._headers.read(request)))

    def on_closed(self, conn: CallerConnection) -> None:
        """Notify the reducer that a caller closed its connection."""
        key = self._by_caller.get(conn)
        if key is not None:
            self._apply(CallerLeft(key))
            self._close(key)

    # Execution of effects.

    def start(self, effect: StartAttempt) -> None:
        """Send a request to an upstream."""
        exchange = self._exchanges.get(effect.key)
        if exchange is None:
            return
        attempt = Attempt(exchange, effect, self._cfg.headers, self._report, self._held)
        exchange.attempt = attempt
        content = self._headers.build_request(exchange.request, effect)
        conn = self.upstreams.pop_idle(effect.address)
        if conn is not None:
            attempt.conn = conn
            conn.send(content, exchange.request.method, attempt)
            return
        self._run(self._connect(effect, attempt, content, exchange))

    def check(self, effect: CheckUpstream) -> None:
        """Find out whether an upstream has ended."""
        self._run(self._check(effect))

    def cancel(self, key: int) -> None:
        """Cancel the attempt of a request."""
        exchange = self._exchanges.get(key)
        if exchange is not None and exchange.attempt is not None:
            exchange.attempt.cancel()

    def move(self, key: int) -> None:
        """End the attempt of a stream that another upstream will resume."""
        exchange = self._exchanges.get(key)
        if exchange is not None and exchange.attempt is not None:
            exchange.attempt.move('moved from a slow upstream')

    def refuse(self, effect: Refuse) -> None:
        """Answer a request with a refusal by the gateway."""
        exchange = self._exchanges.get(effect.key)
        if exchange is None:
            return
        if exchange.has_begun:
            self.abort_answer(effect.key)
            return
        headers: Headers = [(b'Content-Type', b'text/plain; charset=utf-8')]
        if effect.retry_after_s is not None:
            headers.append((b'Retry-After', f'{effect.retry_after_s:g}'.encode()))
        self._close(effect.key)
        exchange.caller.answer(effect.status, headers, f'{effect.reason}\n'.encode())

    def deliver_buffered(self, key: int) -> None:
        """Send the caller the buffered failure of an upstream."""
        exchange = self._close(key)
        if exchange is not None and exchange.buffered is not None:
            exchange.deliver(exchange.buffered)

    def abort_answer(self, key: int) -> None:
        """Reset the caller's connection within an answer that has begun."""
        exchange = self._close(key)
        if exchange is not None:
            exchange.caller.abort()

    def _report(self, event: AttemptEvent) -> None:
        if isinstance(event, AttemptEnded) and event.result is AttemptResult.ANSWERED:
            self._close(event.key)
        self._apply_for(event.key, event)

    def _apply_for(self, key: int, event: Event) -> None:
        """Apply an event of a request; end the request if that fails, since nothing else would end it."""
        if not self._apply(event):
            self._end_failed(key)

    def _end_failed(self, key: int) -> None:
        """End a request whose handling failed; it may have run."""
        exchange = self._exchanges.get(key)
        if exchange is not None:
            request_id = self._headers.read(exchange.request).request_id
            logger.bind(request=request_id).error('request ended by an error')
            self.cancel(key)
            self.refuse(Refuse(key, HTTPStatus.BAD_GATEWAY.value, 'the gateway failed to handle the request'))
        self._apply(CallerLeft(key))

    def _close(self, key: int) -> Exchange | None:
        exchange = self._exchanges.pop(key, None)
        if exchange is not None:
            self._by_caller.pop(exchange.caller, None)
        return exchange

    def _run(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, effect: CheckUpstream) -> None:
        has_ended = await is_refused(effect.address, CHECK_TIMEOUT_S)
        self._apply_for(effect.key, UpstreamChecked(effect, has_ended))

    async def _connect(
        self, effect: StartAttempt, attempt: Attempt, content: bytes, exchange: Exchange
    ) -> None:
        try:
            conn = await self.upstreams.open(effect.address)
        except Exception as exc:
            # Besides errors of the network, an address that another writer registered may be malformed.
            if not isinstance(exc, OSError):
                logger.bind(address=effect.address).error('no connection: {}: {}', type(exc).__name__, exc)
            reason = f'{effect.address}: {exc or "no connection in time"}'
            if not attempt.is_over:
                self._report(AttemptEnded(effect.key, effect.number, AttemptResult.UNSENT, reason))
            return
        if attempt.is_over:
            conn.on_idle(conn)
            return
        attempt.conn = conn
        conn.send(content, exchange.request.method, attempt)


@carries_out(StartAttempt, GatewayDriver)
def _start(driver: GatewayDriver, effect: StartAttempt) -> None:
    driver.start(effect)


@carries_out(CancelAttempt, GatewayDriver)
def _cancel(driver: GatewayDriver, effect: CancelAttempt) -> None:
    driver.cancel(effect.key)


@carries_out(CheckUpstream, GatewayDriver)
def _check(driver: GatewayDriver, effect: CheckUpstream) -> None:
    driver.check(effect)


@carries_out(MoveAttempt, GatewayDriver)
def _move(driver: GatewayDriver, effect: MoveAttempt) -> None:
    driver.move(effect.key)


@carries_out(Refuse, GatewayDriver)
def _refuse(driver: GatewayDriver, effect: Refuse) -> None:
    driver.refuse(effect)


@carries_out(DeliverBuffered, GatewayDriver)
def _deliver_buffered(driver: GatewayDriver, effect: DeliverBuffered) -> None:
    driver.deliver_buffered(effect.key)


@carries_out(AbortAnswer, GatewayDriver)
def _abort_answer(driver: GatewayDriver, effect: AbortAnswer) -> None:
    driver.abort_answer(effect.key)
