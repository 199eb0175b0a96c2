import asyncio
from http import HTTPStatus

import pytest

from tests.gateway.loopback import Gateway, Script, Upstream, UpstreamCall
from tests.gateway.test_driver import answers, event, run, streams

REFUSAL = 'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nBasilcove-Not-Run: 1\r\n{name}\r\n'
BEGUN = b'id: 1\ndata: part 1\n\n'


def repeats_refusal(name: str) -> Script:
    """Answer a request after an earlier refusal, which has this header line, was written once more."""

    async def script(call: UpstreamCall) -> None:
        await call.send(REFUSAL.format(name=name).encode())
        await asyncio.sleep(0.05)
        await call.answer(b'done')

    return script


def breaks_off_after(part: bytes) -> Script:
    return streams(part, is_cut=True)


class TestRepeatedRefusal:
    @pytest.mark.parametrize('name', ['Basilcove-Request-Id: r-0\r\n', ''], ids=['named', 'unnamed'])
    def test_earlier_refusal_on_a_kept_connection(self, name: str) -> None:
        """Guards against a caller who is told that a request did not run while it runs."""
        busy = answers(b'', 'Basilcove-Not-Run: 1', status='503 Busy')
        upstream = Upstream([busy, repeats_refusal(name)])

        async def check(gateway: Gateway) -> None:
            refused = await gateway.ask('/book/x', Basilcove_Request_Id='r-0')
            assert refused.status == HTTPStatus.SERVICE_UNAVAILABLE
            answer = await gateway.ask('/book/x')
            assert (answer.status, answer.body) == (200, b'done')

        run(check, upstream)
        assert upstream.connections == 1

    @pytest.mark.parametrize('name', ['Basilcove-Request-Id: r-0\r\n', ''], ids=['named', 'unnamed'])
    def test_request_runs_at_one_upstream_only(self, name: str) -> None:
        """Guards against a booking that runs twice because of a refusal that belongs to another one."""
        first, second = Upstream([answers(b'one'), repeats_refusal(name)]), Upstream([answers(b'two')])

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x', Basilcove_Request_Id='r-0')).body == b'one'
            assert (await gateway.ask('/book/x')).body == b'done'

        run(check, first, second)
        assert not second.calls

    def test_upstream_that_never_names_requests(self) -> None:
        """Guards against kept connections on which an answer can't be told from an earlier one."""
        upstream = Upstream([lambda call: call.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')])

        async def check(gateway: Gateway) -> None:
            for _ in range(3):
                assert (await gateway.ask('/book/x')).body == b'ok'

        run(check, upstream)
        assert upstream.connections == 3


class TestFailedResumption:
    @pytest.mark.parametrize(
        'script',
        [
            answers(b'it failed', status='500 Internal Server Error'),
            answers(b'it failed', 'Content-Type: text/plain', status='404 Not Found'),
            answers(b'x' * 2_000_000, status='500 Internal Server Error'),
            answers(b'moved', 'Location: /other', status='302 Found'),
            answers(b'no more', 'Content-Type: text/html'),
            answers(b'', 'Content-Type: text/html'),
            answers(b'', status='204 No Content'),
            answers(b'id: 1\n', 'Content-Type: text/event-stream'),
        ],
        ids=['500', '404', 'large', '302', 'page', 'empty-page', '204', 'part'],
    )
    def test_error_instead_of_the_rest_of_a_stream(self, script: Script) -> None:
        """Guards against the text of an error within a stream, and a stream that ends as if it were whole."""

        async def begin(call: UpstreamCall) -> None:
            head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n'
            await call.send(head.encode())
            await call.chunk(event(1))
            await asyncio.sleep(0.05)
            call.cut()

        async def check(gateway: Gateway) -> None:
            answer = await gateway.ask('/brief/x')
            assert not answer.is_whole
            assert answer.body in {b'', BEGUN}

        run(check, Upstream([begin]), Upstream([script]))

    def test_refusal_instead_of_the_rest_of_a_stream(self) -> None:
        """Guards against a refusal that ends a stream as if it were whole."""
        busy = answers(b'busy', 'Basilcove-Not-Run: 1', status='503 Busy')

        async def check(gateway: Gateway) -> None:
            answer = await gateway.ask('/brief/x')
            assert not answer.is_whole
            assert b'busy' not in answer.body

        run(check, Upstream([breaks_off_after(event(1))]), Upstream([busy]))


class TestTruncatedHead:
    @pytest.mark.parametrize(
        'part',
        [
            b'HTTP/1.1 200',
            b'HTTP/1.1 200 OK\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 1',
            b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSignature: s\r\n',
            b'HTTP/1.1 200 OK\r\nSignature: s\r\n\r',
        ],
    )
    @pytest.mark.parametrize('path', ['/book/x', '/once/x'])
    def test_upstream_stops_within_the_head(self, part: bytes, path: str) -> None:
        """Guards against a success with an empty or short body, framed as whole."""

        async def stop(call: UpstreamCall) -> None:
            await call.send(part)
            call.writer.close()

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask(path)).status == HTTPStatus.BAD_GATEWAY

        run(check, Upstream([stop]))

    def test_head_is_cut_after_a_skipped_answer_without_length(self) -> None:
        """Guards against the end of a connection that completes an answer whose head has not arrived."""

        async def stop(call: UpstreamCall) -> None:
            await call.send(b'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\n')
            call.writer.close()

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).status == HTTPStatus.BAD_GATEWAY

        run(check, Upstream([stop]))


class TestOddLength:
    @pytest.mark.parametrize(
        'length', ['0000000000000050', '50', '1000000000000000000', '00000000000000000000050']
    )
    def test_answer_that_is_cut_off(self, length: str) -> None:
        """Guards against a cut answer that is delivered as whole, since its length has many digits."""

        async def stop(call: UpstreamCall) -> None:
            await call.send(f'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: {length}\r\n\r\n'.encode())
            await call.send(b'12345')
            call.writer.close()

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).status == HTTPStatus.BAD_GATEWAY

        run(check, Upstream([stop]))

    def test_padded_length(self) -> None:
        """Guards against a sound answer that is refused or cut off because of leading zeros."""

        async def answer(call: UpstreamCall) -> None:
            await call.send(
                b'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0000000000000005\r\n\r\n12345'
            )

        async def check(gateway: Gateway) -> None:
            assert (await gateway.ask('/book/x')).body == b'12345'

        run(check, Upstream([answer]))


class TestUnframedStream:
    def test_stream_without_length_is_whole(self) -> None:
        """Guards against a stream that is broken off because its connection ended it."""

        async def stream(call: UpstreamCall) -> None:
            await call.send(b'HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n' + event(1) + event(2))
            call.writer.close()

        async def check(gateway: Gateway) -> None:
            answer = await gateway.ask('/brief/x')
            assert answer.is_whole
            assert answer.body == event(1) + event(2)

        run(check, Upstream([stream]))

    def test_stream_without_length_that_ends_within_an_event(self) -> None:
        """Guards against a stream that looks whole though its upstream stopped within an event."""

        async def stream(call: UpstreamCall) -> None:
            await call.send(b'HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n' + event(1) + b'id: 2\nda')
            call.writer.close()

        async def check(gateway: Gateway) -> None:
            answer = await gateway.ask('/once/x')
            assert not answer.is_whole
            # The reset of the caller's connection may discard what it has not read.
            assert answer.body in {b'', BEGUN}

        run(check, Upstream([stream]))
