"""Calls ranks over HTTP."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from basilcove.core.events import Event
from basilcove.core.runtime import carries_out
from basilcove.experts.remote.const import CALL_TIMEOUT_S, MAX_ANSWER_BYTES
from basilcove.experts.remote.events import CallRank, RankAnswered
from basilcove.experts.remote.orders import OrderResult, RankDialect
from basilcove.http1.client import AnswerHead, UpstreamConnection, UpstreamConnections
from basilcove.http1.headers import Headers, encode_request


@dataclass(slots=True)
class _AnswerReader:
    """Collects the complete answer to one call."""

    answer: 'asyncio.Future[tuple[int, bytes]]'
    status: int = 0
    parts: list[bytes] = field(default_factory=list)
    size_bytes: int = 0

    def accepts(self, head: AnswerHead) -> bool:
        """Accept the first answer: a call has no id that an answer could refer to."""
        return True

    def on_head(self, head: AnswerHead) -> None:
        """Store the status."""
        self.status = head.status

    def on_part(self, part: bytes) -> None:
        """Collect a part of the body; fail if it exceeds ``MAX_ANSWER_BYTES``."""
        self.size_bytes += len(part)
        if self.size_bytes <= MAX_ANSWER_BYTES:
            self.parts.append(part)
        else:
            self.on_broken('the answer is too large')

    def on_end(self) -> None:
        """Set the answer as the result."""
        if not self.answer.done():
            self.answer.set_result((self.status, b''.join(self.parts)))

    def on_broken(self, reason: str) -> None:
        """Fail, as no complete answer follows."""
        if not self.answer.done():
            self.answer.set_exception(ConnectionError(reason))


class RankDriver:
    """The driver of ``CallRank``."""

    def __init__(
        self,
        dialect: RankDialect,
        instance_header: str,
        connections: UpstreamConnections,
        apply: Callable[[Event], object],
    ) -> None:
        """Use a dialect; ``instance_header`` is the header that names the called instance."""
        self._dialect = dialect
        self._instance_header = instance_header.encode()
        self._connections = connections
        self._apply = apply
        self._tasks: set[asyncio.Task[None]] = set()

    def call(self, effect: CallRank) -> None:
        """Call a rank; one event follows, with its answer or ``UNKNOWN``."""
        task = asyncio.get_running_loop().create_task(self._call(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def unload(self) -> None:
        """Close all connections."""
        self._connections.close_all()

    async def _call(self, effect: CallRank) -> None:
        http_call = self._dialect.encode(effect.call, effect.epoch, effect.token)
        headers: Headers = [
            (b'Host', effect.address.encode()),
            (b'Content-Type', b'application/json'),
            (self._instance_header, effect.instance.encode()),
        ]
        content = encode_request(http_call.method, http_call.path, headers, http_call.body)
        reply = OrderResult.UNKNOWN
        try:
            status, body = await self._exchange(effect.address, http_call.method, content)
            reply = self._dialect.decode(effect.call, status, body)  # type: ignore[assignment]
        except (OSError, TimeoutError) as exc:
            logger.bind(address=effect.address).debug('rank did not answer: {}', exc)
        except Exception as exc:
            logger.bind(address=effect.address).error(
                'call of a rank failed: {}: {}', type(exc).__name__, exc
            )
        answered = RankAnswered(effect.group, effect.rank, effect.number, effect.epoch, effect.call, reply)
        self._apply(answered)

    async def _exchange(self, address: str, method: bytes, content: bytes) -> tuple[int, bytes]:
        conn: UpstreamConnection | None = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                conn = self._connections.pop_idle(address) or await self._connections.open(address)
                fut = asyncio.get_running_loop().create_future()
                conn.send(content, method, _AnswerReader(fut))
                return await fut  # type: ignore[no-any-return]
        except Exception:
            # A late answer would be mistaken for that of the next call.
            if conn is not None:
                conn.close()
            raise


@carries_out(CallRank, RankDriver)
def _call_rank(driver: RankDriver, effect: CallRank) -> None:
    driver.call(effect)
