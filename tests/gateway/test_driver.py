import asyncio
from collections.abc import Awaitable, Callable

import pytest

from basilcove.core.events import Received
from basilcove.core.ids import InstanceId
from basilcove.gateway.messages import SlowInstances
from basilcove.registry.messages import Registrations
from tests.gateway.loopback import (
    TIMEOUT_S,
    Gateway,
    Script,
    Upstream,
    UpstreamCall,
    read_answer,
    request,
    running,
)
from tests.gateway.world import CONTROL, KEY, registration
from tests.harness.processes import free_address


def run(check: Callable[[Gateway], Awaitable[None]], *upstreams: Upstream) -> None:
    async def run_gateway() -> None:
        async with running(*upstreams) as gateway:
            await check(gateway)

    asyncio.run(asyncio.wait_for(run_gateway(), 2 * TIMEOUT_S))


def answers(body: bytes, *headers: str, status: str = '200 OK') -> Script:
    return lambda call: call.answer(body, *headers, status=status)


def streams(*parts: bytes, is_cut: bool = False) -> Script:
    async def script(call: UpstreamCall) -> None:
        await call.begin_stream()
        for part in parts:
            await call.chunk(part)
        if is_cut:
            # The kernel discards what it has not sent of a connection that is reset.
            await asyncio.sleep(0.05)
            call.cut()
        else:
            await call.chunk(b'')

    return script


def event(number: int) -> bytes:
    return b'id: %d\ndata: part %d\n\n' % (number, number)


class TestPassThrough:
    def test_request_and_answer_arrive_unchanged(self) -> None:
        """Guards against a changed method, path, query, body, status or header, and against a leaked key."""
        upstream = Upstream([answers(b'pong', 'Signature: s', 'Keep-Alive: timeout=5', status='201 Created')])

        async def check(gateway: Gateway) -> None:
            answer = await gateway.ask(
                '/lookup/a%2Fb?q=1', b'ping', 'PATCH', X_Own='1', Basilcove_Team='forged'
            )
            assert (answer.status, answer.body) == (201, b'pong')
            assert 'Signature: s' in answer.head
            assert 'Keep-Alive' not in answer.head
            call = upstream.calls[0]
            assert call.head.startswith(b'PATCH /lookup/a%2Fb?q=1 HTTP/1.1\r\n')
            assert call.body == b'ping'
            assert (call.header('X-Own'), call.header('Basilcove-Request-Id')) == ('1', 'r-1')
            assert call.header('Basilcove-Team') == 'shire'
            assert call.header('Basilcove-Expected-Instance') == 'up-0'
            assert 0 < int(call.header('Basilcove-Timeout-Ms')) <= 5000
            assert KEY.encode() not in call.head

        run(check, upstream)

    def test_body_in_chunks(self) -> None:
        """Guards against a body that is lost or smuggled if its length isn't stated."""
        upstream = Upstream([answers(b'ok')])

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            head = request('/lookup/x', Content_Length='', Transfer_Encoding='chunked')
            writer.write(head + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')
            await reader.readuntil(b'ok')
            assert upstream.calls[0].body == b'abcde'
            assert not upstream.calls[0].header('Transfer-Encoding')
            writer.close()

        run(check, upstream)

    def test_requests_sent_ahead_are_answered_in_order(self) -> None:
        """Guards against an answer that belongs to another request of the same connection."""

        async def echo(call: UpstreamCall) -> None:
            await call.answer(b'<' + call.body + b'>')

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            writer.write(b''.join(request('/lookup/x', b'n%d' % number) for number in range(3)))
            for number in range(3):
                assert await reader.readuntil(b'>')
                assert number >= 0
            writer.close()

        upstream = Upstream([echo])
        run(check, upstream)
        assert [call.body for call in upstream.calls] == [b'n0', b'n1', b'n2']

    def test_connections_are_reused(self) -> None:
        """Guards against a new connection to the upstream for each request."""
        upstream = Upstream([answers(b'ok', 'Keep-Alive: timeout=5')])

        async def check(gateway: Gateway) -> None:
            for _ in range(4):
                assert (await gateway.ask('/lookup/x')).body == b'ok'

        run(check, upstream)
        assert upstream.connections == 1


class TestBrokenAnswers:
    def test_truncated_lookup_is_retried(self) -> None:
        """Guards against a truncated answer that reaches the caller."""

        async def truncate(call: UpstreamCall) -> None:
            await call.send(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf')
            await asyncio.sleep(0.05)
            call.cut()

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/lookup/x')).body == b'whole'

        run(check, Upstream([truncate]), Upstream([answers(b'whole')]))

    @pytest.mark.parametrize(
        'garbage', [b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', b'\x00\x01nonsense\r\n\r\n']
    )
    def test_booking_with_a_malformed_answer_is_not_retried(self, garbage: bytes) -> None:
        """Guards against a booking that runs twice, or is refused as not run."""

        async def send_garbage(call: UpstreamCall) -> None:
            await call.send(garbage)
            await asyncio.sleep(0.05)
            call.cut()

        upstreams = Upstream([send_garbage]), Upstream([send_garbage])

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).status == 502

        run(check, *upstreams)
        assert sum(len(each.calls) for each in upstreams) == 1

    def test_late_answer_of_another_request_is_skipped(self) -> None:
        """Guards against a caller that gets the answer to somebody else's request."""

        async def answer_another_first(call: UpstreamCall) -> None:
            await call.answer(b'other', echo='r-0')
            await call.answer(b'own')

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).body == b'own'
            assert (await gateway.ask('/book/x')).body == b'fresh'

        upstream = Upstream([answer_another_first, answers(b'fresh')])
        run(check, upstream)
        assert upstream.connections == 2

    def test_bytes_after_a_complete_answer_are_discarded(self) -> None:
        """Guards against a second answer that is taken as that of the next request."""

        async def answer_twice(call: UpstreamCall) -> None:
            await call.answer(b'first', echo='')
            await call.answer(b'extra', echo='')

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).body == b'first'
            assert (await gateway.ask('/book/x')).body == b'second'

        run(check, Upstream([answer_twice, answers(b'second')]))

    def test_answer_without_length_ends_with_its_connection(self) -> None:
        """Guards against an answer that never ends, and against a reset that counts as its end."""

        async def unframed(call: UpstreamCall) -> None:
            await call.send(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole')
            call.writer.close()

        async def reset(call: UpstreamCall) -> None:
            await call.send(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf')
            await asyncio.sleep(0.05)
            call.cut()

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).body == b'whole'
            assert (await gateway.ask('/book/x')).status == 502

        run(check, Upstream([unframed, reset]))

    def test_failure_of_an_upstream_is_forwarded(self) -> None:
        """Guards against an upstream's failure that loses its signature."""

        async def check(gateway: Gateway) -> None:
            answer = await gateway.ask('/book/x')
            assert (answer.status, answer.body) == (500, b'failed')
            assert 'Signature: s' in answer.head

        run(check, Upstream([answers(b'failed', 'Signature: s', status='500 Internal Server Error')]))


class TestStreams:
    def test_events_arrive_as_they_come(self) -> None:
        """Guards against events that are delayed until the end of their stream."""
        released = asyncio.Event()

        async def slow(call: UpstreamCall) -> None:
            await call.begin_stream()
            await call.chunk(event(1))
            await released.wait()
            await call.chunk(event(2))
            await call.chunk(b'')

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            writer.write(request('/brief/x'))
            await asyncio.wait_for(reader.readuntil(b'part 1\n\n'), TIMEOUT_S)
            released.set()
            await asyncio.wait_for(reader.readuntil(b'0\r\n\r\n'), TIMEOUT_S)
            writer.close()

        run(check, Upstream([slow]))

    def test_broken_stream_resumes_at_another_upstream(self) -> None:
        """Guards against a missing, duplicate or partial event where a stream changes its upstream."""
        first = Upstream([streams(event(1), event(2) + b'id: 3\nda', is_cut=True)])
        second = Upstream([streams(event(3), event(4))])

        async def check(gateway: Gateway) -> None:
            answer = await gateway.ask('/brief/x')
            assert answer.is_whole
            assert answer.body == b''.join(map(event, (1, 2, 3, 4)))

        run(check, first, second)
        assert second.calls[0].header('Last-Event-Id') == '2'

    def test_stream_leaves_a_slow_upstream(self) -> None:
        """Guards against a stream that stays at a slow rank, and events lost or duplicated by its move."""
        left = asyncio.Event()

        async def stall(call: UpstreamCall) -> None:
            await call.begin_stream()
            await call.chunk(event(1) + b'id: 2\nda')
            if not await call.reader.read(1):
                left.set()

        second = Upstream([streams(event(2), event(3))])

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            writer.write(request('/brief/x'))
            await asyncio.wait_for(reader.readuntil(b'part 1\n\n'), TIMEOUT_S)
            gateway.runtime.apply(Received(CONTROL, SlowInstances((InstanceId('up-0'),))))
            rest = await asyncio.wait_for(reader.readuntil(b'0\r\n\r\n'), TIMEOUT_S)
            assert rest.count(b'part 2') == rest.count(b'part 3') == 1
            await asyncio.wait_for(left.wait(), TIMEOUT_S)
            writer.close()

        run(check, Upstream([stall]), second)
        assert second.calls[0].header('Last-Event-Id') == '1'

    def test_stream_without_ids_stays_at_a_slow_upstream(self) -> None:
        """Guards against a move that aborts a healthy stream because no event id says where to resume it."""
        reported = asyncio.Event()

        async def stream_without_ids(call: UpstreamCall) -> None:
            await call.begin_stream()
            await call.chunk(b'data: part 1\n\n')
            await reported.wait()
            await call.chunk(b'data: part 2\n\n')
            await call.chunk(b'')

        second = Upstream([streams(event(1))])

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            writer.write(request('/brief/x'))
            await asyncio.wait_for(reader.readuntil(b'part 1\n\n'), TIMEOUT_S)
            gateway.runtime.apply(Received(CONTROL, SlowInstances((InstanceId('up-0'),))))
            reported.set()
            rest = await asyncio.wait_for(reader.readuntil(b'0\r\n\r\n'), TIMEOUT_S)
            assert b'part 2' in rest
            writer.close()

        run(check, Upstream([stream_without_ids]), second)
        assert not second.calls

    def test_stream_that_can_not_resume_does_not_look_complete(self) -> None:
        """Guards against a truncated stream that looks complete to its caller."""

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            writer.write(request('/once/x', Connection='close'))
            content = b''
            try:
                while part := await reader.read(1000):
                    content += part
            except ConnectionError:
                content += b''
            writer.close()
            assert not read_answer(content).is_whole

        run(check, Upstream([streams(event(1), is_cut=True)]))

    def test_stream_that_ends_within_an_event_is_not_complete(self) -> None:
        """Guards against an engine that ends the chunked body in the middle of an event."""
        first = Upstream([streams(event(1), b'id: 2\ndata:')])

        async def check(gateway: Gateway) -> None:
            answer = await gateway.ask('/brief/x')
            assert answer.body == event(1) + event(2)

        run(check, first, Upstream([streams(event(2))]))


class TestCallers:
    def test_upstream_stops_when_the_caller_leaves(self) -> None:
        """Guards against an upstream that works for a caller who left, also before the first event."""

        async def check(gateway: Gateway) -> None:
            _, writer = await gateway.connect()
            writer.write(request('/brief/x'))
            await asyncio.wait_for(started.wait(), TIMEOUT_S)
            writer.close()
            await asyncio.wait_for(left.wait(), 0.5)

        started, left = asyncio.Event(), asyncio.Event()

        async def wait(call: UpstreamCall) -> None:
            started.set()
            try:
                await call.reader.read(1)
            finally:
                left.set()

        run(check, Upstream([wait]))

    def test_upstream_that_refuses_connections_is_skipped(self) -> None:
        """Guards against a booking that fails because one upstream is down."""
        down = registration('down', address=free_address())

        async def check(gateway: Gateway) -> None:
            gateway.runtime.apply(Received(CONTROL, Registrations((down,), (), 1)))
            for _ in range(4):
                assert (await gateway.ask('/book/x')).body == b'ok'

        run(check, Upstream([answers(b'ok')]))

    @pytest.mark.parametrize(
        ('content', 'status'),
        [
            (b'nonsense\r\n\r\n', 400),
            (b'GET /lookup/x HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 40_000 + b'\r\n\r\n', 431),
            (
                b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n',
                400,
            ),
            (b'POST /lookup/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n', 400),
        ],
    )
    def test_malformed_request_is_refused(self, content: bytes, status: int) -> None:
        """Guards against request smuggling and against callers that fill the memory."""

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            writer.write(content)
            answer = await asyncio.wait_for(reader.read(-1), TIMEOUT_S)
            writer.close()
            assert answer.startswith(b'HTTP/1.1 %d ' % status)

        run(check, Upstream([answers(b'ok')]))

    def test_stopping_gateway_ends_connections_after_their_answers(self) -> None:
        """Guards against a planned stop that aborts a request sent on an idle connection."""

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            gateway.driver.server.close_after_answers()
            writer.write(request('/lookup/x'))
            answer = await asyncio.wait_for(reader.read(-1), TIMEOUT_S)
            writer.close()
            assert b'Connection: close' in answer
            assert answer.endswith(b'ok')

        run(check, Upstream([answers(b'ok')]))
