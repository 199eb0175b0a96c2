import asyncio
import time
from http import HTTPStatus

import pytest

from tests.gateway.loopback import Answer, Gateway, Script, Upstream, UpstreamCall
from tests.gateway.test_driver import answers, event, run, streams

# No final answer has these; 101 changes the protocol, which no request asks for.
STATUSES = ['000', '099', '600', '999']
# A request has 5 s. What fails when its head is read ends long before, also on a busy machine.
SOON_S = 2.5
HEAD = (
    'HTTP/1.1 {status} Trouble\r\nSignature: s\r\nBasilcove-Request-Id: r-1\r\nContent-Length: {size}\r\n\r\n'
)


def sends(status: str, body: bytes = b'', then: bytes = b'') -> Script:
    """Answer with a head of this status, and keep the connection open."""

    async def script(call: UpstreamCall) -> None:
        await call.send(HEAD.format(status=status, size=len(body)).encode() + body + then)

    return script


async def ask(gateway: Gateway, path: str, method: str) -> Answer:
    began = time.monotonic()
    answer = await gateway.ask(path, method=method)
    assert time.monotonic() - began < SOON_S
    return answer


@pytest.mark.parametrize('status', STATUSES)
class TestInvalidStatus:
    """Guards against a caller that gets as an answer, or waits for, what an upstream in trouble wrote."""

    @pytest.mark.parametrize('method', ['GET', 'POST', 'HEAD'])
    @pytest.mark.parametrize('body', [b'', b'trouble'])
    def test_request_that_may_run_once(self, status: str, method: str, body: bytes) -> None:
        second = Upstream([answers(b'two')])

        async def check(gateway: Gateway) -> None:
            assert (await ask(gateway, '/book/x', method)).status == HTTPStatus.BAD_GATEWAY

        run(check, Upstream([sends(status, body)]), second)
        assert not second.calls

    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_request_that_may_run_again(self, status: str, method: str) -> None:
        async def check(gateway: Gateway) -> None:
            answer = await ask(gateway, '/lookup/x', method)
            assert (answer.status, answer.body) == (HTTPStatus.OK, b'two')

        run(check, Upstream([sends(status)]), Upstream([answers(b'two')]))

    def test_stream_that_has_not_begun(self, status: str) -> None:
        async def check(gateway: Gateway) -> None:
            answer = await ask(gateway, '/brief/x', 'POST')
            assert (answer.status, answer.body, answer.is_whole) == (HTTPStatus.OK, event(1), True)

        run(check, Upstream([sends(status)]), Upstream([streams(event(1))]))

    def test_rest_of_a_stream(self, status: str) -> None:
        async def check(gateway: Gateway) -> None:
            answer = await ask(gateway, '/brief/x', 'POST')
            assert (answer.is_whole, b'trouble' in answer.body) == (False, False)

        run(check, Upstream([streams(event(1), is_cut=True)]), Upstream([sends(status, b'trouble')]))

    def test_answer_behind_it(self, status: str) -> None:
        """Guards against the answer of another request on a connection that is out of order."""
        other = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'

        async def check(gateway: Gateway) -> None:
            assert (await ask(gateway, '/book/x', 'POST')).status == HTTPStatus.BAD_GATEWAY

        run(check, Upstream([sends(status, then=other)]))

    def test_next_request(self, status: str) -> None:
        """Guards against a connection that is used again after it carried no answer."""
        upstream = Upstream([sends(status), answers(b'done')])

        async def check(gateway: Gateway) -> None:
            await ask(gateway, '/book/x', 'POST')
            assert (await ask(gateway, '/book/x', 'POST')).body == b'done'

        run(check, upstream)
        assert upstream.connections == 2

    def test_between_two_requests(self, status: str) -> None:
        """Guards against a late head that is taken for the answer to the next request."""
        upstream = Upstream([answers(b'one'), answers(b'two')])

        async def check(gateway: Gateway) -> None:
            assert (await ask(gateway, '/book/x', 'POST')).body == b'one'
            await sends(status)(upstream.calls[0])
            await asyncio.sleep(0.1)
            assert (await ask(gateway, '/book/x', 'POST')).body == b'two'

        run(check, upstream)


class TestInterimStatus:
    @pytest.mark.parametrize('status', ['100', '102', '103', '199'])
    def test_answer_after_an_interim_head(self, status: str) -> None:
        """Guards against an interim head that is taken for an invalid one."""

        async def script(call: UpstreamCall) -> None:
            await call.send(f'HTTP/1.1 {status} Wait\r\n\r\n'.encode())
            await call.answer(b'done')

        async def check(gateway: Gateway) -> None:
            answer = await ask(gateway, '/book/x', 'POST')
            assert (answer.status, answer.body) == (HTTPStatus.OK, b'done')

        run(check, Upstream([script]))
