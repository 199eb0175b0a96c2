"""Calls ranks over HTTP."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from basilcove.core.events import Event
from basilcove.core.runtime import carries_out
from basilcove.experts.remote.const import CALL_TIMEOUT_S
from basilcove.experts.remote.events import CallRank, RankAnswered
from basilcove.experts.remote.orders import OrderResult, RankDialect
from basilcove.http1.client import AnswerHead, UpstreamConnection, UpstreamConnections
from basilcove.http1.headers import Headers, request_bytes


@dataclass(slots=True)
class _WholeAnswer:
    """Takes an answer whole; the reader of one call."""

    done: 'asyncio.Future[tuple[int, bytes]]'
    status: int = 0
    parts: list[bytes] = field(default_factory=list)

    def accepts(self, head: AnswerHead) -> bool:
        """Take whatever comes first: a call has no id that an answer could name."""
        return True

    def on_head(self, head: AnswerHead) -> None:
        """Note the status."""
        self.status = head.status

    def on_part(self, part: bytes) -> None:
        """Keep a part of the body."""
        self.parts.append(part)

    def on_end(self) -> None:
        """Hand on the answer."""
        if not self.done.done():
            self.done.set_result((self.status, b''.join(self.parts)))

    def on_broken(self, reason: str) -> None:
        """Note that no whole answer comes."""
        if not self.done.done():
            self.done.set_exception(ConnectionError(reason))


class RankDriver:
    """Carries out calls to ranks."""

    def __init__(
        self,
        dialect: RankDialect,
        instance_header: str,
        connections: UpstreamConnections,
        apply: Callable[[Event], None],
    ) -> None:
        """Speak a dialect; ``instance_header`` names the instance that is meant."""
        self._dialect = dialect
        self._instance_header = instance_header.encode()
        self._connections = connections
        self._apply = apply
        self._tasks: set[asyncio.Task[None]] = set()

    def call(self, effect: CallRank) -> None:
        """Call a rank; its answer, or that there is none, becomes an event."""
        task = asyncio.get_running_loop().create_task(self._call(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def unload(self) -> None:
        """Close all connections."""
        self._connections.close_all()

    async def _call(self, effect: CallRank) -> None:
        exchange = self._dialect.encode(effect.call, effect.epoch, effect.token)
        headers: Headers = [
            (b'Host', effect.address.encode()),
            (b'Content-Type', b'application/json'),
            (self._instance_header, effect.instance.encode()),
        ]
        content = request_bytes(exchange.method, exchange.path, headers, exchange.body)
        reply = OrderResult.UNKNOWN
        try:
            status, body = await self._exchange(effect.address, exchange.method, content)
        except (OSError, TimeoutError) as exc:
            logger.bind(address=effect.address).debug('a rank gave no answer: {}', exc)
        else:
            reply = self._dialect.decode(effect.call, status, body)  # type: ignore[assignment]
        answered = RankAnswered(effect.group, effect.rank, effect.number, effect.epoch, effect.call, reply)
        self._apply(answered)

    async def _exchange(self, address: str, method: bytes, content: bytes) -> tuple[int, bytes]:
        conn: UpstreamConnection | None = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                conn = self._connections.kept(address) or await self._connections.open(address)
                fut = asyncio.get_running_loop().create_future()
                conn.send(content, method, _WholeAnswer(fut))
                return await fut  # type: ignore[no-any-return]
        except (OSError, TimeoutError):
            # An answer that comes late would be taken for that of the next call.
            if conn is not None:
                conn.close()
            raise


@carries_out(CallRank, RankDriver)
def _call_rank(driver: RankDriver, effect: CallRank) -> None:
    driver.call(effect)
