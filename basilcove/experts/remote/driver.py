"""Calls ranks over HTTP."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from loguru import logger

from basilcove.core.events import Event
from basilcove.core.ids import InstanceId
from basilcove.core.runtime import carries_out
from basilcove.experts.remote.const import CALL_TIMEOUT_S, MAX_ANSWER_BYTES, MAX_HOLD_S, MAX_OPEN_CALLS
from basilcove.experts.remote.events import CallRank, RankAnswered
from basilcove.experts.remote.orders import (
    ArmMap,
    DisarmMap,
    HoldStep,
    HttpCall,
    Order,
    OrderResult,
    RankDialect,
    RankQuery,
    ReleaseStep,
    Reply,
)
from basilcove.http1.answers import AnswerHead, Attribution
from basilcove.http1.client import UpstreamConnection
from basilcove.http1.headers import Headers, encode_request
from basilcove.http1.pool import UpstreamConnections
from basilcove.http1.retry_after import read_retry_after_s

# A rank may answer an earlier call once more, and its answers bear no id. Preparing is confirmed by a report,
# but nothing else tells whether these orders were accepted.
_NEVER_ON_REUSED_CONNECTIONS: Final = (HoldStep, ArmMap, DisarmMap, ReleaseStep)


@dataclass(slots=True)
class _AnswerReader:
    """Collects the complete answer to one call."""

    is_complete: 'asyncio.Future[None]'
    status: int = 0
    parts: list[bytes] = field(default_factory=list)
    size_bytes: int = 0
    retry_after_s: float = 0

    def attribute(self, head: AnswerHead) -> Attribution:
        """Accept the first answer: a call has no id that an answer could refer to."""
        return Attribution.OWN

    def on_interim(self, head: AnswerHead) -> None:
        """Wait for the final answer."""

    def on_head(self, head: AnswerHead) -> None:
        """Store the status, and how long the rank wants no more calls."""
        self.status = head.status
        self.retry_after_s = read_retry_after_s(head.status, head.headers)

    def on_part(self, part: bytes) -> None:
        """Collect a part of the body; fail if it exceeds ``MAX_ANSWER_BYTES``."""
        self.size_bytes += len(part)
        if self.size_bytes <= MAX_ANSWER_BYTES:
            self.parts.append(part)
        else:
            self.on_broken('the answer is too large')

    def on_end(self) -> None:
        """Mark the answer as complete."""
        if not self.is_complete.done():
            self.is_complete.set_result(None)

    def on_broken(self, reason: str) -> None:
        """Fail, as no complete answer follows."""
        if not self.is_complete.done():
            self.is_complete.set_exception(ConnectionError(reason))

    @property
    def body(self) -> bytes:
        """Return the body."""
        return b''.join(self.parts)


@dataclass(frozen=True, slots=True)
class _EncodedCall:
    """The last call that was encoded; ``issuer`` has the epoch of the group and the fencing token."""

    call: Order | RankQuery
    issuer: tuple[int, int]
    http_call: HttpCall


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
        # Monotonic time until which an instance wants no calls, from its Retry-After.
        self._held_until: dict[InstanceId, float] = {}
        self._encoded: _EncodedCall | None = None
        self._slots = asyncio.Semaphore(MAX_OPEN_CALLS)

    def call(self, effect: CallRank) -> None:
        """Call a rank; one event follows, with its answer or ``UNKNOWN``."""
        task = asyncio.get_running_loop().create_task(self._call(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def unload(self) -> None:
        """Close all connections."""
        self._connections.close_all()

    def _encode(self, effect: CallRank) -> HttpCall:
        """Encode a call; a map that goes to all ranks of a group is encoded once."""
        last = self._encoded
        if last is None or last.call is not effect.call or last.issuer != (effect.epoch, effect.token):
            http_call = self._dialect.encode(effect.call, effect.epoch, effect.token)
            last = _EncodedCall(effect.call, (effect.epoch, effect.token), http_call)
            self._encoded = last
        return last.http_call

    async def _call(self, effect: CallRank) -> None:
        reply: Reply = OrderResult.UNKNOWN
        if time.monotonic() >= self._held_until.get(effect.instance, 0):
            async with self._slots:
                reply = await self._send(effect)
        answered = RankAnswered(
            effect.group, effect.rank, effect.number, effect.epoch, effect.token, effect.call, reply
        )
        self._apply(answered)

    async def _send(self, effect: CallRank) -> Reply:
        """Return the reply of a rank; ``UNKNOWN`` if the call may or may not have taken effect."""
        http_call = self._encode(effect)
        headers: Headers = [
            (b'Host', effect.address.encode()),
            (b'Content-Type', b'application/json'),
            (self._instance_header, effect.instance.encode()),
        ]
        content = encode_request(http_call.method, http_call.path, headers, http_call.body)
        try:
            is_fresh = isinstance(effect.call, _NEVER_ON_REUSED_CONNECTIONS)
            reader = await self._exchange(effect.address, http_call.method, content, is_fresh=is_fresh)
            self._hold(effect.instance, reader.retry_after_s)
            return self._dialect.decode(effect.call, reader.status, reader.body)
        except (OSError, TimeoutError) as exc:
            logger.bind(address=effect.address).debug('rank did not answer: {}', exc)
        except Exception as exc:
            logger.bind(address=effect.address).error(
                'call of a rank failed: {}: {}', type(exc).__name__, exc
            )
        return OrderResult.UNKNOWN

    def _hold(self, instance: InstanceId, retry_after_s: float) -> None:
        if not retry_after_s:
            return
        hold_s = min(MAX_HOLD_S, retry_after_s)
        now = time.monotonic()
        self._held_until = {name: until for name, until in self._held_until.items() if until > now}
        self._held_until[instance] = now + hold_s
        logger.bind(instance=instance, held_s=hold_s).info('rank takes no calls')

    async def _exchange(
        self, address: str, method: bytes, content: bytes, *, is_fresh: bool
    ) -> '_AnswerReader':
        conn: UpstreamConnection | None = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                conn = None if is_fresh else self._connections.pop_idle(address)
                conn = conn or await self._connections.open(address)
                reader = _AnswerReader(asyncio.get_running_loop().create_future())
                conn.send(content, method, reader)
                await reader.is_complete
                return reader
        except Exception:
            # A late answer would be mistaken for that of the next call.
            if conn is not None:
                conn.close()
            raise


@carries_out(CallRank, RankDriver)
def _call_rank(driver: RankDriver, effect: CallRank) -> None:
    driver.call(effect)
