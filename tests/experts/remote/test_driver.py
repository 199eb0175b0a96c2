import asyncio
from collections.abc import Awaitable, Callable

from basilcove.core.events import Event
from basilcove.core.ids import GroupName, InstanceId, Rank
from basilcove.experts.remote.const import RANK_CLIENT_CONFIG
from basilcove.experts.remote.driver import RankDriver
from basilcove.experts.remote.events import CallRank, RankAnswered
from basilcove.experts.remote.orders import (
    ArmMap,
    HttpCall,
    Order,
    OrderResult,
    PrepareMap,
    RankQuery,
    ReadReport,
    Reply,
)
from basilcove.http1.pool import UpstreamConnections
from tests.gateway.loopback import Script, Upstream, UpstreamCall

TIMEOUT_S = 10


class Dialect:
    """Encodes calls as their names; status 200 accepts an order."""

    def __init__(self) -> None:
        self.encoded = 0

    def encode(self, call: Order | RankQuery, epoch: int, token: int) -> HttpCall:
        self.encoded += 1
        return HttpCall(b'POST', b'/' + type(call).__name__.encode(), b'x')

    def decode(self, call: Order | RankQuery, status: int, body: bytes) -> Reply:
        return OrderResult.ACCEPTED if status == 200 else OrderResult.UNKNOWN


class Ranks:
    """A driver and one rank that runs a script for each call."""

    def __init__(self, address: str) -> None:
        self.dialect = Dialect()
        self.answers: asyncio.Queue[RankAnswered] = asyncio.Queue()
        self.driver = RankDriver(
            self.dialect, 'Instance', UpstreamConnections(RANK_CLIENT_CONFIG), self._on_event
        )
        self.address = address

    def _on_event(self, event: Event) -> None:
        assert isinstance(event, RankAnswered)
        self.answers.put_nowait(event)

    async def call(self, call: Order | RankQuery, address: str | None = None) -> Reply:
        effect = CallRank(GroupName('g'), Rank(0), 1, InstanceId('i-0'), address or self.address, 1, 1, call)
        self.driver.call(effect)
        return (await asyncio.wait_for(self.answers.get(), TIMEOUT_S)).reply


def run(check: Callable[[Ranks], Awaitable[None]], *scripts: Script) -> Upstream:
    upstream = Upstream(list(scripts))

    async def serve() -> None:
        server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        ranks = Ranks(f'{host}:{port}')
        try:
            await check(ranks)
        finally:
            ranks.driver.unload()
            server.close()

    asyncio.run(serve())
    return upstream


async def accept(call: UpstreamCall) -> None:
    await call.answer(b'')


async def accept_twice(call: UpstreamCall) -> None:
    """Answer, and answer once more when the next call may be on its way."""
    await call.answer(b'')

    async def repeat() -> None:
        await asyncio.sleep(0.1)
        await call.answer(b'')

    call.repeated = asyncio.create_task(repeat())  # type: ignore[attr-defined]


async def stay_silent(call: UpstreamCall) -> None:
    await asyncio.sleep(1)


class TestAnswers:
    def test_second_copy_of_an_answer(self) -> None:
        """Guards against an order that counts as accepted because an earlier call is answered again."""

        async def check(ranks: Ranks) -> None:
            assert await ranks.call(ReadReport()) is OrderResult.ACCEPTED
            # The second copy comes while this order, which the rank never answers, is open.
            assert await ranks.call(ArmMap(1, 5)) is OrderResult.UNKNOWN

        run(check, accept_twice, stay_silent)

    def test_answer_without_end(self) -> None:
        """Guards against a rank that fills the memory of a control host."""

        async def endless(call: UpstreamCall) -> None:
            await call.send(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
            for _ in range(1000):
                await call.chunk(b'x' * 65_536)

        async def check(ranks: Ranks) -> None:
            assert await ranks.call(ReadReport()) is OrderResult.UNKNOWN
            assert await ranks.call(ReadReport()) is OrderResult.ACCEPTED

        upstream = run(check, endless, accept)
        assert upstream.connections == 2

    def test_malformed_address(self) -> None:
        """Guards against a call that never ends because its address can't be used."""

        async def check(ranks: Ranks) -> None:
            for address in ('127.0.0.1:99999', f'{"a" * 70}:80', '127.0.0.1:²'):
                assert await ranks.call(ReadReport(), address) is OrderResult.UNKNOWN

        run(check, accept)

    def test_retry_after(self) -> None:
        """Guards against calls to a rank that asked to be left alone."""

        async def hold(call: UpstreamCall) -> None:
            await call.answer(b'', 'Retry-After: 0.5', status='503 Busy')

        async def check(ranks: Ranks) -> None:
            for _ in range(5):
                assert await ranks.call(ReadReport()) is OrderResult.UNKNOWN
            await asyncio.sleep(0.55)
            assert await ranks.call(ReadReport()) is OrderResult.ACCEPTED

        assert len(run(check, hold, accept).calls) == 2

    def test_map_for_all_ranks_is_encoded_once(self) -> None:
        """Guards against the time that the same large map takes for each rank."""

        async def check(ranks: Ranks) -> None:
            order = PrepareMap(1, (((0,),),))
            for _ in range(4):
                assert await ranks.call(order) is OrderResult.ACCEPTED
            assert ranks.dialect.encoded == 1
            assert await ranks.call(PrepareMap(2, (((0,),),))) is OrderResult.ACCEPTED
            assert ranks.dialect.encoded == 2

        run(check, accept)
