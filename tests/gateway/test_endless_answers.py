"""Upstreams that send bytes without end instead of an answer."""

import asyncio
import resource
import time
from http import HTTPStatus

import pytest

from basilcove.gateway.const import MAX_BUFFERED_BYTES, MAX_HELD_BYTES
from basilcove.http1.const import MAX_ANSWER_OVERHEAD_BYTES
from tests.gateway.loopback import Gateway, Upstream, UpstreamCall, request
from tests.gateway.test_driver import answers, run, streams
from tests.gateway.world import SLOTS

BLOCK = b'x' * 16_384
LINE = b'X-Filler: ' + b'x' * 8000 + b'\r\n'
HEAD = b'HTTP/1.1 200 OK\r\n'
ECHO = b'Basilcove-Request-Id: %s\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Bytes that an upstream got rid of beyond the limit stand in buffers of the kernel and the transports.
BUFFERS_BYTES = 16 * 1024 * 1024
DEADLINE_MS = 4000
CONNECTIONS = 150
# Read from a connection at once.
READ_BYTES = 256 * 1024
# Callers get their answers half a second after the timeout of a request at the latest.
MAX_DELAY_S = 0.5


class Endless:
    """A script that sends a beginning, then repeats a block until the gateway closes the connection."""

    def __init__(self, beginning: bytes, block: bytes) -> None:
        self._beginning = beginning
        self._block = block
        self.sent_bytes = 0
        self.is_closed = asyncio.Event()

    async def __call__(self, call: UpstreamCall) -> None:
        try:
            await call.send(self._beginning)
            while self.sent_bytes < 4 * BUFFERS_BYTES:
                await call.send(self._block)
                self.sent_bytes += len(self._block)
                await asyncio.sleep(0)
        except ConnectionError:
            self.is_closed.set()


ENDLESS = {
    'headers': (HEAD, LINE),
    'header line': (HEAD + b'X-Filler: ', BLOCK),
    'status line': (b'HTTP/1.1 200 ', BLOCK),
    'interim heads': (b'', b'HTTP/1.1 103 Early Hints\r\nX-Filler: x\r\n\r\n' * 200),
    'chunk extension': (CHUNKED_HEAD + b'1;name=', BLOCK),
    'trailers': (CHUNKED_HEAD + b'2\r\nab\r\n0\r\n', LINE),
    'answer to another request': (
        HEAD + ECHO % b'r-0' + b'Transfer-Encoding: chunked\r\n\r\n',
        b'4000\r\n%s\r\n' % BLOCK,
    ),
    'answers to other requests': (
        b'',
        (HEAD + ECHO % b'r-0' + b'Content-Length: 5000\r\n\r\n' + b'x' * 5000) * 3,
    ),
}


class TestEndlessAnswers:
    @pytest.mark.parametrize('kind', list(ENDLESS))
    def test_connection_is_closed_and_a_lookup_goes_on(self, kind: str) -> None:
        """Guards against memory that fills, and a request that waits for its deadline."""
        endless = Endless(*ENDLESS[kind])

        async def check(gateway: Gateway) -> None:
            answer = await asyncio.wait_for(gateway.ask('/lookup/x'), DEADLINE_MS / 2000)
            assert answer.body == b'whole'
            await asyncio.wait_for(endless.is_closed.wait(), 1)
            assert endless.sent_bytes < BUFFERS_BYTES

        run(check, Upstream([endless]), Upstream([answers(b'whole')]))

    @pytest.mark.parametrize('kind', ['headers', 'interim heads', 'answer to another request'])
    def test_booking_may_have_run(self, kind: str) -> None:
        """Guards against a booking that is sent again, or refused as not run, after bytes without end."""
        upstreams = Upstream([Endless(*ENDLESS[kind])]), Upstream([answers(b'twice')])

        async def check(gateway: Gateway) -> None:
            assert (await asyncio.wait_for(gateway.ask('/book/x'), DEADLINE_MS / 2000)).status == 502

        run(check, *upstreams)
        assert len(upstreams[1].calls) == 0

    def test_refusal_with_an_endless_body(self) -> None:
        """Guards against a body that is kept in memory though nobody gets it."""
        head = b'HTTP/1.1 503 Busy\r\nBasilcove-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
        endless = Endless(head, b'4000\r\n%s\r\n' % BLOCK)

        async def check(gateway: Gateway) -> None:
            answer = await asyncio.wait_for(gateway.ask('/book/x'), DEADLINE_MS / 2000)
            assert answer.body == b'whole'
            await asyncio.wait_for(endless.is_closed.wait(), 1)

        run(check, Upstream([endless]), Upstream([answers(b'whole')]))

    def test_endless_body_is_read_no_faster_than_the_caller_reads(self) -> None:
        """Guards against an endless body that fills the memory while its caller reads nothing."""
        endless = Endless(
            HEAD + ECHO % b'r-1' + b'Transfer-Encoding: chunked\r\n\r\n', b'4000\r\n%s\r\n' % BLOCK
        )

        async def check(gateway: Gateway) -> None:
            reader, writer = await gateway.connect()
            writer.write(request('/lookup/x', Basilcove_Timeout_Ms='1500'))
            for _ in range(3):
                # Each part that the caller reads lets the gateway read on for a while.
                await reader.readexactly(1_000_000)
                await asyncio.sleep(0.2)
            assert endless.sent_bytes < BUFFERS_BYTES
            writer.close()

        run(check, Upstream([endless]))

    @pytest.mark.parametrize('chunk', [b'x' * 16, b'x', b'data: x\n\n', b'data: x\n'])
    def test_other_requests_go_on_beside_a_stream_of_small_chunks(self, chunk: bytes) -> None:
        """Guards against a gateway that does nothing else while it reads a body without end."""
        block = (b'%x\r\n%s\r\n' % (len(chunk), chunk)) * (BUFFERS_BYTES // 64 // len(chunk))
        endless = Endless(CHUNKED_HEAD, block)

        async def check(gateway: Gateway) -> None:
            asked = asyncio.create_task(gateway.ask('/once/x', Basilcove_Timeout_Ms='3000'))
            while not asked.done():
                sent_at = time.monotonic()
                await asyncio.sleep(0.01)
                assert time.monotonic() - sent_at < MAX_DELAY_S
            answer = await asked
            assert answer.status == HTTPStatus.BAD_GATEWAY or not answer.is_whole

        run(check, Upstream([endless]))

    def test_trickled_head_ends_with_the_deadline(self) -> None:
        """Guards against an upstream that keeps a request for ever with a byte now and then."""

        async def trickle(call: UpstreamCall) -> None:
            for _ in range(100):
                await call.send(b'H' if _ == 0 else b'')
                await asyncio.sleep(0.05)

        async def check(gateway: Gateway) -> None:
            asked = gateway.ask('/book/x', Basilcove_Timeout_Ms='600')
            assert (await asyncio.wait_for(asked, 1.5)).status == 504

        run(check, Upstream([trickle]))

    def test_hundred_connections_at_once(self) -> None:
        """Guards against limits that hold for one connection but not for many together."""
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

        async def check(gateway: Gateway) -> None:
            asked = [gateway.ask('/book/x', Basilcove_Request_Id=f'r-{number}') for number in range(100)]
            for answer in await asyncio.gather(*asked):
                assert answer.status in {502, 503}

        run(check, Upstream([Endless(*ENDLESS['headers'])]), Upstream([Endless(*ENDLESS['header line'])]))
        grown_bytes = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb) * 1024
        # Twice the limit, and what upstream and gateway, which share this process, have in transit.
        assert grown_bytes < 100 * 4 * MAX_ANSWER_OVERHEAD_BYTES + 2 * BUFFERS_BYTES


class TestHeldBytes:
    @pytest.mark.parametrize('path', ['/lookup/x', '/book/x', '/brief/x'])
    def test_large_bodies_on_many_connections(self, path: str) -> None:
        """Guards against a gateway whose memory fills although each answer keeps to its own limit."""

        async def check(gateway: Gateway) -> None:
            callers = []
            for number in range(CONNECTIONS):
                _, caller = await gateway.connect()
                caller.write(request(path, Basilcove_Request_Id=f'r-{number}', Basilcove_Timeout_Ms='4000'))
                callers.append(caller)
            held = []
            for _ in range(20):
                await asyncio.sleep(0.1)
                held.append(gateway.driver.held_bytes)
            assert max(held) > MAX_HELD_BYTES / 2
            # An answer is held no longer once it has exceeded the limit with what it read at once.
            assert max(held) < MAX_HELD_BYTES + CONNECTIONS * READ_BYTES
            assert held[-1] <= MAX_HELD_BYTES
            for caller in callers:
                caller.transport.abort()
            await asyncio.sleep(0.2)
            assert not gateway.driver.held_bytes

        run(check, *(Upstream([_send_large_body]) for _ in range(CONNECTIONS // SLOTS)))


async def _send_large_body(call: UpstreamCall) -> None:
    """Send a body almost as large as a held answer may be, a part at a time, and never its end."""
    await call.send(CHUNKED_HEAD)
    for _ in range(MAX_BUFFERED_BYTES // len(BLOCK) - 1):
        await call.chunk(BLOCK)
        await asyncio.sleep(0.005)
    await asyncio.sleep(DEADLINE_MS / 1000)


class TestMalformedHeaders:
    @pytest.mark.parametrize('load', ['²,0,4', '9' * 5000 + ',0,4', '1,2', '-1,0,4', ',,'])
    def test_load_that_is_no_number(self, load: str) -> None:
        """Guards against an attempt that never ends because a header can't be read."""

        async def answer(call: UpstreamCall) -> None:
            await call.send(
                HEAD + ECHO % call.header('Basilcove-Request-Id').encode() + b'Content-Length: 2\r\n'
                b'Basilcove-Load: ' + load.encode('latin-1') + b'\r\n\r\nok'
            )

        async def check(gateway: Gateway) -> None:
            assert (await asyncio.wait_for(gateway.ask('/book/x'), 2)).body == b'ok'
            assert gateway.driver.open_exchanges == 0
            assert not gateway.state.requests

        run(check, Upstream([answer]))

    @pytest.mark.parametrize('timeout', ['timeout=²', 'timeout=' + '9' * 5000, 'timeout', '=', 'timeout=-1'])
    def test_keep_alive_that_is_no_number(self, timeout: str) -> None:
        """Guards against a good answer that is lost because of an optional header."""

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).body == b'ok'

        run(check, Upstream([answers(b'ok', f'Keep-Alive: {timeout}')]))

    def test_trailer_does_not_state_that_nothing_ran(self) -> None:
        """Guards against a trailer that is read as a header of the answer."""

        async def answer(call: UpstreamCall) -> None:
            await call.send(CHUNKED_HEAD + b'2\r\nok\r\n0\r\nBasilcove-Not-Run: 1\r\n\r\n')

        second = Upstream([answers(b'again')])

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).body == b'ok'

        run(check, Upstream([answer]), second)
        assert not second.calls


class TestUnexpectedErrors:
    def test_error_while_an_answer_is_read_ends_the_attempt(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a request that stays open after an error in the gateway."""

        def fail(attempt: object) -> None:
            raise RuntimeError('injected')

        monkeypatch.setattr('basilcove.gateway.exchange.Attempt._begin_stream', fail)

        async def check(gateway: Gateway) -> None:
            answer = await asyncio.wait_for(gateway.ask('/once/x'), 2)
            assert answer.status == 502
            assert not gateway.state.requests
            assert gateway.driver.open_exchanges == 0

        run(check, Upstream([streams(b'data: x\n\n')]))

    def test_error_in_a_decision_ends_the_request(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a caller that waits for ever, and a place that is never given back."""

        def fail(*_: object) -> None:
            raise RuntimeError('injected')

        async def check(gateway: Gateway) -> None:
            with monkeypatch.context() as patch:
                patch.setattr('basilcove.gateway.coordinator.end_attempt', fail)
                answer = await asyncio.wait_for(gateway.ask('/lookup/x'), 2)
                assert answer.status in {0, 200, 502}
            assert not gateway.state.requests
            assert all(not each.open_attempts for each in gateway.state.pools.by_instance.values())
            assert (await gateway.ask('/lookup/x')).body == b'ok'

        run(check, Upstream([answers(b'ok')]))
