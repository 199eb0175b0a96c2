import socket
import threading
from collections.abc import Iterator

import pytest

from basilcove.agents.events import CallUpstream, UpstreamAnswered, UpstreamFailed
from basilcove.core.events import Event
from basilcove.core.ids import (
    AttemptId,
    Incarnation,
    NodeId,
    PriorityName,
    RequestId,
    ServiceName,
    TeamName,
    UpstreamName,
)
from basilcove.http.upstreams import UpstreamClient
from basilcove.requests.messages import StartAttempt
from tests.harness.processes import wait_for

PROGRESS_TIMEOUT_S = 5.0
# A failure that is told by the head is reported long before the timeout.
SOON_S = 2.5


def call(*, is_stream: bool, is_repeatable: bool) -> CallUpstream:
    attempt = StartAttempt(
        AttemptId('a-1'),
        1,
        RequestId('r-1'),
        Incarnation(1),
        UpstreamName('u-1'),
        TeamName('shire'),
        PriorityName('urgent'),
        None,
        ServiceName('desk'),
        'GET' if is_repeatable else 'POST',
        '/x',
        {},
        b'',
        timeout_s=PROGRESS_TIMEOUT_S,
        work=1,
        prompt_work=1,
        repeatable=is_repeatable,
        stream=is_stream,
    )
    return CallUpstream(NodeId('entry'), attempt, PROGRESS_TIMEOUT_S)


@pytest.fixture
def events() -> list[Event]:
    return []


@pytest.fixture
def client(events: list[Event]) -> Iterator[UpstreamClient]:
    running = UpstreamClient(2, PROGRESS_TIMEOUT_S)
    running.setup(events.append, lambda action: action(), lambda *_: None)
    yield running
    running.unload()


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(('127.0.0.1', 0)) as sock:
        yield sock


def answer_once(listener: socket.socket, head: bytes) -> threading.Thread:
    """Write a head to the next caller, and keep the connection open until the caller closes it."""

    def serve() -> None:
        conn, _ = listener.accept()
        with conn:
            conn.recv(4096)
            conn.sendall(head)
            conn.settimeout(2 * PROGRESS_TIMEOUT_S)
            conn.recv(1)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    return thread


class TestInvalidStatus:
    @pytest.mark.parametrize('status', ['000', '099', '101', '103', '199', '600', '999'])
    @pytest.mark.parametrize('media_type', ['text/plain', 'text/event-stream'])
    @pytest.mark.parametrize('is_repeatable', [True, False])
    def test_call_fails(
        self,
        status: str,
        media_type: str,
        is_repeatable: bool,
        client: UpstreamClient,
        events: list[Event],
        listener: socket.socket,
    ) -> None:
        """Guards against a caller that gets as an answer what an upstream in trouble wrote."""
        head = f'HTTP/1.1 {status} Trouble\r\nContent-Type: {media_type}\r\nContent-Length: 0\r\n\r\n'
        answer_once(listener, head.encode())
        client.set_base_url(f'http://127.0.0.1:{listener.getsockname()[1]}')
        client.call(call(is_stream='event' in media_type, is_repeatable=is_repeatable))
        wait_for(lambda: events, 'the end of the call', SOON_S)
        assert [type(event) for event in events] == [UpstreamFailed]

    def test_valid_status(self, client: UpstreamClient, events: list[Event], listener: socket.socket) -> None:
        answer_once(listener, b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n')
        client.set_base_url(f'http://127.0.0.1:{listener.getsockname()[1]}')
        client.call(call(is_stream=False, is_repeatable=True))
        wait_for(lambda: events, 'the answer', SOON_S)
        assert [event.status for event in events if isinstance(event, UpstreamAnswered)] == [599]
