import asyncio
from http import HTTPStatus

import pytest

from basilcove.core.events import Effect
from basilcove.gateway.const import MAX_HELD_RETRY_AFTER_S, MAX_HOLD_S
from basilcove.gateway.events import AttemptResult, Refuse, StartAttempt, UpstreamHinted
from basilcove.gateway.hints import Hints, parse_limit_per_s
from basilcove.http1.retry_after import parse_retry_after_s
from tests.gateway.loopback import TIMEOUT_S, Gateway, Upstream, UpstreamCall, request
from tests.gateway.test_driver import answers, event, run
from tests.gateway.world import World, only_start, registration, starts

LEAVING = 'Basilcove-Leaving: 1'


def hint(world: World, start: StartAttempt, **hints: float) -> None:
    """Receive hints in the answer to an attempt."""
    said = Hints(**hints)  # type: ignore[arg-type]
    world.apply(UpstreamHinted(start.key, start.instance, start.born_ms, said))


def refusal(effects: list[Effect]) -> Refuse:
    return next(effect for effect in effects if isinstance(effect, Refuse))


class TestLeaving:
    @pytest.mark.parametrize('status', ['200 OK', '500 Internal Server Error', '404 Not Found'])
    def test_answer_that_says_so(self, status: str) -> None:
        """Guards against requests to an upstream that says in its answers that it leaves."""
        first, second = Upstream([answers(b'last', LEAVING, status=status)]), Upstream([answers(b'ok')])

        async def check(gateway: Gateway) -> None:
            await gateway.ask('/book/x')
            for _ in range(3):
                assert (await gateway.ask('/book/x')).body == b'ok'

        run(check, first, second)
        assert len(first.calls) == 1

    def test_interim_answer_and_open_streams(self) -> None:
        """Guards against a hint that counts only when a stream has ended, and a stream that it cuts off."""
        released = asyncio.Event()

        async def stream(call: UpstreamCall) -> None:
            await call.send(f'HTTP/1.1 103 Early Hints\r\n{LEAVING}\r\n\r\n'.encode())
            await call.begin_stream()
            await call.chunk(event(1))
            await released.wait()
            await call.chunk(event(2))
            await call.chunk(b'')

        first, second = Upstream([stream]), Upstream([answers(b'ok')])

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            writer.write(request('/brief/x'))
            await asyncio.wait_for(reader.readuntil(b'part 1\n\n'), TIMEOUT_S)
            assert (await gateway.ask('/book/x')).body == b'ok'
            released.set()
            assert b'part 2' in await asyncio.wait_for(reader.readuntil(b'0\r\n\r\n'), TIMEOUT_S)
            writer.close()

        run(check, first, second)
        assert len(first.calls) == 1

    def test_until_a_newer_start_registers(self) -> None:
        """Guards against a registration that is older than the answer and brings the upstream back."""
        world = World('up-1')
        hint(world, only_start(world.ask()), is_leaving=True)
        world.register(registration('up-1', sequence=9))
        assert not list(starts(world.ask()))
        world.register(registration('up-1', sequence=1, born_ms=2))
        assert only_start(world.ask()).instance == 'up-1'

    def test_hint_of_a_former_start(self) -> None:
        """Guards against a new start that is left out for what its predecessor said."""
        world = World('up-1')
        former = only_start(world.ask())
        world.register(registration('up-1', born_ms=2))
        hint(world, former, is_leaving=True)
        assert only_start(world.ask()).instance == 'up-1'

    def test_upstream_that_never_goes(self) -> None:
        """Guards against a service that is lost for good because its upstreams said once that they leave."""
        world = World('up-1')
        hint(world, only_start(world.ask()), is_leaving=True)
        world.now += 301
        assert only_start(world.ask()).instance == 'up-1'


class TestRetryAfter:
    def test_nothing_is_sent_until_its_end(self) -> None:
        """Guards against requests to an upstream that asked to be left alone."""
        world = World('up-1', 'up-2')
        held = only_start(world.ask())
        hint(world, held, retry_after_s=3)
        for _ in range(3):
            assert only_start(world.ask()).instance != held.instance
            world.now += 0.9
        world.now += 1
        instances = {only_start(world.ask()).instance for _ in range(4)}
        assert held.instance in instances

    def test_callers_are_told_when_to_return(self) -> None:
        """Guards against callers that wait, or return before an upstream takes requests again."""
        world = World('up-1', 'up-2')
        first, second = only_start(world.ask()), only_start(world.ask())
        assert first.instance != second.instance
        hint(world, first, retry_after_s=3)
        hint(world, second, retry_after_s=1)
        answer = refusal(world.ask())
        assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        assert answer.retry_after_s is not None
        assert 1 <= answer.retry_after_s <= 2
        world.now += answer.retry_after_s
        assert only_start(world.ask()).instance == second.instance

    def test_refused_request_goes_to_another_upstream(self) -> None:
        """Guards against a request that is refused though another upstream has room."""
        busy = answers(b'', 'Retry-After: 0.4', 'Basilcove-Not-Run: 1', status='503 Busy')
        first, second = Upstream([busy, answers(b'back')]), Upstream([answers(b'ok')])

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).body == b'ok'
            assert (await gateway.ask('/book/x')).body == b'ok'
            assert len(first.calls) == 1
            await asyncio.sleep(0.5)
            assert (await gateway.ask('/book/x')).body == b'back'

        run(check, first, second)

    def test_request_for_an_hour(self) -> None:
        """Guards against a service that one exaggerated answer takes away."""
        world = World('up-1')
        held = only_start(world.ask())
        hint(world, held, retry_after_s=3600)
        world.end(held, AttemptResult.NOT_RUN)
        answer = refusal(world.ask())
        assert answer.retry_after_s is not None
        assert answer.retry_after_s <= 2 * MAX_HELD_RETRY_AFTER_S
        world.now += MAX_HOLD_S + 0.1
        trial = only_start(world.ask(timeout_s=None))
        assert not list(starts(world.ask())), 'one request at a time finds out whether it is well'
        world.end(trial, AttemptResult.ANSWERED)
        assert len([start for _ in range(3) for start in starts(world.ask())]) == 3

    def test_requests_are_spread_when_upstreams_return(self) -> None:
        """Guards against all requests going to the first upstream that returns."""
        names = [f'up-{number}' for number in range(4)]
        world = World(*names)
        sent = [only_start(world.ask()) for _ in range(8)]
        for start in sent:
            hint(world, start, retry_after_s=2)
            world.end(start, AttemptResult.ANSWERED)
        world.now += 3
        assert sorted(only_start(world.ask()).instance for _ in range(4)) == names


class TestParsing:
    @pytest.mark.parametrize(
        ('text', 'seconds'),
        [
            ('2', 2),
            ('0.25', 0.25),
            ('-1', 0),
            ('soon', 0),
            ('nan', 0),
            ('inf', 0),
            ('1e400', 0),
            ('²', 0),
            ('Thu, 01 Jan 1970 00:01:00 GMT', 50),
            ('Thu, 01 Jan 1970 00:00:01 GMT', 0),
            ('Thu, 99 Jan 99999 00:00:00 GMT', 0),
        ],
    )
    def test_seconds_and_dates(self, text: str, seconds: float) -> None:
        """Guards against a wait that a text other than seconds or a date brings about."""
        assert parse_retry_after_s(text, 10) == seconds


class TestStatedLimit:
    @pytest.mark.parametrize(
        ('text', 'limit_per_s'),
        [('1.2', 1.2), ('30', 30), ('0', 0), ('-1', 0), ('nan', 0), ('inf', 0), ('many', 0), ('', 0)],
    )
    def test_decimal_numbers(self, text: str, limit_per_s: float) -> None:
        """Guards against a limit that a text other than a positive number brings about."""
        assert parse_limit_per_s(text) == limit_per_s
