import json
import socket
import time
from typing import Any

import pytest
import urllib3

from basilcove.const import PEER_TIMEOUT_S
from tests.harness.cluster import Cluster
from tests.harness.documents import KIOSK_KEY
from tests.harness.processes import wait_for
from tests.system.calls import MESSAGES, StreamReader, behave_all, chat, expected_tokens, tokens_of
from tests.system.conftest import MAX_BODY_BYTES, Shared

CHAT = '/v1/chat/completions'
MODEL_CALL = {'model': 'rider-assistant', 'messages': MESSAGES}


def _send(cluster: Cluster, content: bytes, entry: str = 'entry-1') -> bytes:
    """Send bytes and return everything received until the entry closes the connection."""
    host, _, port = cluster.addresses[entry].http.rpartition(':')
    received = b''
    with socket.create_connection((host, int(port)), timeout=30) as conn:
        conn.sendall(content)
        while part := conn.recv(65536):
            received += part
    return received


def _assert_serves(cluster: Cluster) -> None:
    answer = chat(cluster, 'entry-1')
    assert tokens_of(answer.data.decode()) == expected_tokens(8)


def _announce(cluster: Cluster, agent: str, method: str = 'PUT', **changes: object) -> None:
    content = {
        'name': 'engine-1',
        'url': 'http://127.0.0.1:9',
        'credential': 'demo-engine-1-credential',
        'models': ['rider-assistant'],
        'services': [],
        'incarnation': time.time_ns() // 1000,
        **changes,
    }
    url = f'http://{cluster.addresses[agent].http}/announce'
    assert cluster.http.request(method, url, json=content).status == 202


def _chat_about_carts(cluster: Cluster) -> str:
    content = [{'role': 'user', 'content': 'Are book carts free?'}]
    body = {'model': 'rider-assistant', 'stream': True, 'max_tokens': 8, 'messages': content}
    return cluster.call('entry-1', 'POST', '/v1/chat/completions', body).data.decode()


class TestFaultyCallers:
    @pytest.mark.parametrize(
        'sent',
        [
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-',
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n{"model',
        ],
    )
    def test_slow_sender_gets_408(self, shared: Shared, sent: bytes) -> None:
        """Guards against a caller that blocks a thread by sending only a part of its request."""
        assert _send(shared.cluster, sent, 'entry-2').startswith(b'HTTP/1.1 408 ')
        head = b'GET /services/hire/stock HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
        key = b'Authorization: Bearer %s\r\n\r\n' % KIOSK_KEY.encode()
        assert _send(shared.cluster, head + key, 'entry-2').startswith(b'HTTP/1.1 200 ')

    def test_oversized_header_gets_a_4xx(self, shared: Shared) -> None:
        """Guards against a caller that exhausts memory with headers."""
        head = b'GET /services/hire/stock HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
        received = _send(shared.cluster, head + b'X-Long: ' + b'a' * 40_000 + b'\r\n\r\n')
        assert received.split(b' ')[1] in {b'413', b'431'}
        _assert_serves(shared.cluster)

    def test_oversized_body_gets_413(self, shared: Shared) -> None:
        """Guards against a caller that exhausts memory with a body, with Content-Length or chunked."""
        head = b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
        head += b'Authorization: Bearer %s\r\n' % KIOSK_KEY.encode()
        size = MAX_BODY_BYTES + 1
        announced = _send(shared.cluster, head + b'Content-Length: %d\r\n\r\n' % size)
        assert announced.split(b' ')[1] == b'413'
        chunk = b'%x\r\n%s\r\n' % (size, b'a' * size)
        chunked = _send(shared.cluster, head + b'Transfer-Encoding: chunked\r\n\r\n' + chunk + b'0\r\n\r\n')
        assert chunked.split(b' ')[1] == b'413'
        _assert_serves(shared.cluster)

    @pytest.mark.parametrize(
        ('status', 'path', 'body', 'options'),
        [
            (404, CHAT, {**MODEL_CALL, 'model': 'no-such'}, {}),
            (404, '/services/no-such/stock', {}, {}),
            (404, '/no-such', {}, {}),
            (401, CHAT, MODEL_CALL, {'key': 'no-such'}),
            (400, CHAT, MODEL_CALL, {'headers': {'X-Basilcove-Priority': 'no-such'}}),
            (403, CHAT, MODEL_CALL, {'headers': {'X-Basilcove-Priority': 'drafting'}}),
            (400, CHAT, MODEL_CALL, {'headers': {'X-Request-Timeout': 'soon'}}),
            (400, CHAT, MODEL_CALL, {'headers': {'Idempotency-Key': 'a b'}}),
            (400, CHAT, {'model': 'rider-assistant'}, {}),
        ],
    )
    def test_invalid_request_gets_a_4xx(
        self, shared: Shared, status: int, path: str, body: object, options: dict[str, Any]
    ) -> None:
        """Guards against an invalid request that is forwarded or stops the daemon."""
        answer = shared.cluster.call('entry-1', 'POST', path, body, **options)
        assert (answer.status, answer.json()['outcome']) == (status, 'not_run')
        _assert_serves(shared.cluster)

    @pytest.mark.parametrize('body', [b'{"model": ', b'[1]', b'[' * 20_000, b'\xff\xfe{}', b''])
    def test_malformed_json_gets_400(self, shared: Shared, body: bytes) -> None:
        """Guards against a body that ends a thread or the daemon."""
        url = f'http://{shared.cluster.addresses["entry-1"].http}{CHAT}'
        headers = {'Authorization': f'Bearer {KIOSK_KEY}', 'Content-Type': 'application/json'}
        answer = urllib3.request('POST', url, body=body, headers=headers, retries=False)
        assert (answer.status, json.loads(answer.data)['outcome']) == (400, 'not_run')
        _assert_serves(shared.cluster)


class TestAnnouncements:
    @pytest.mark.parametrize(
        ('changes', 'reason'),
        [
            ({}, 'announced by another process that is still alive'),
            ({'incarnation': 1}, 'announced by another process that is still alive'),
            ({'credential': 'wrong'}, 'announced with a wrong credential'),
            ({'name': 'hire-1', 'services': ['hire']}, 'hire-1 is announced with the credential of engine-1'),
            ({'name': 'engine-9'}, 'the document has no upstream engine-9'),
            ({'name': 'engine-2', 'credential': 'demo-engine-2-credential'}, 'engine-2 belongs in'),
        ],
    )
    def test_false_announcement_is_refused(
        self, shared: Shared, changes: dict[str, object], reason: str
    ) -> None:
        """Guards against a process that hijacks the requests of an upstream."""
        cluster = shared.cluster
        _announce(cluster, 'agent-engine-1', **changes)
        log = cluster.processes['agent-engine-1'].log
        wait_for(lambda: reason in log.read_text(), 'the refusal')
        before = len(cluster.state_of('engine-1')['runs'])
        assert tokens_of(chat(cluster, 'entry-1').data.decode()) == expected_tokens(8)
        assert len(cluster.state_of('engine-1')['runs']) == before + 1

    @pytest.mark.parametrize('credential', ['wrong', 'demo-hire-1-credential'])
    def test_departure_without_the_credential_is_refused(self, shared: Shared, credential: str) -> None:
        """Guards against another process on the host that takes an upstream out of service."""
        cluster = shared.cluster
        log = cluster.processes['agent-engine-1'].log
        before = log.read_text().count('announcement refused')
        _announce(cluster, 'agent-engine-1', 'DELETE', credential=credential)
        wait_for(lambda: log.read_text().count('announcement refused') > before, 'the refusal')
        runs = len(cluster.state_of('engine-1')['runs'])
        assert tokens_of(chat(cluster, 'entry-1').data.decode()) == expected_tokens(8)
        assert len(cluster.state_of('engine-1')['runs']) == runs + 1

    def test_upstream_of_another_agent_is_refused(self, shared: Shared) -> None:
        """Guards against an agent that announces what another agent already has."""
        cluster = shared.cluster
        _announce(cluster, 'agent-hire-1')
        reason = 'engine-1 is already announced by agent agent-engine-1'
        log = cluster.processes['entry-1'].log
        wait_for(lambda: reason in log.read_text(), 'the refusal')
        assert tokens_of(chat(cluster, 'entry-1').data.decode()) == expected_tokens(8)


class TestAnswers:
    def test_crossed_answer_never_reaches_the_caller(self, shared: Shared) -> None:
        """Guards against a caller who gets the answer to another caller's request."""
        cluster = shared.cluster
        _chat_about_carts(cluster)
        cluster.behave('engine-1', is_crossed=True)
        text = chat(cluster, 'entry-1').data.decode()
        cluster.behave('engine-1')
        assert tokens_of(text) == expected_tokens(8)

    def test_late_answer_is_not_sent_to_the_next_request(self, shared: Shared) -> None:
        """Guards against a late answer that is used for the next request."""
        cluster = shared.cluster
        behave_all(cluster, 'engine', first_token_s=1)
        body = {'model': 'rider-assistant', 'max_tokens': 8, 'messages': MESSAGES}
        headers = {'X-Request-Timeout': '0.3'}
        late = cluster.call('entry-1', 'POST', '/v1/chat/completions', body, headers=headers)
        assert (late.status, late.json()['outcome']) == (504, 'unknown')
        behave_all(cluster, 'engine')
        own = _chat_about_carts(cluster)
        assert own.endswith('data: [DONE]\n\n')
        assert not set(tokens_of(own)) & set(expected_tokens(8))
        assert tokens_of(chat(cluster, 'entry-1').data.decode()) == expected_tokens(8)


class TestBreaks:
    @pytest.mark.parametrize('behaviour', [{'break_at': 3}, {'break_at': 0}])
    def test_stream_that_breaks_everywhere_ends_in_an_error_event(
        self, shared: Shared, behaviour: dict[str, int]
    ) -> None:
        """Guards against a truncated stream that looks complete."""
        behave_all(shared.cluster, 'engine', **behaviour)
        text = chat(shared.cluster, 'entry-1').data.decode()
        behave_all(shared.cluster, 'engine')
        assert '[DONE]' not in text
        assert text.count('event: error') == 1
        assert '"outcome": "unknown"' in text
        assert tokens_of(text.partition('event: error')[0]) == expected_tokens(max(behaviour.values()))

    def test_silent_link_neither_ends_the_stream_nor_blocks_the_next_request(self, shared: Shared) -> None:
        """Guards against waiting for an open but silent connection between entry and agent."""
        cluster = shared.cluster
        behave_all(cluster, 'engine', token_s=0.02)
        before = len(cluster.state_of('engine-2')['runs'])
        reader = StreamReader(cluster, 'entry-1', 60).start()
        wait_for(lambda: len(tokens_of(reader.text)) >= 3, 'the first tokens')
        shared.forwarder.silence(keep_new=True)
        assert tokens_of(chat(cluster, 'entry-1', 4).data.decode()) == expected_tokens(4)
        assert tokens_of(reader.join()) == expected_tokens(60)
        assert reader.text.endswith('data: [DONE]\n\n')
        assert len(cluster.state_of('engine-2')['runs']) > before
        behave_all(cluster, 'engine')


class TestPauses:
    def test_pause_of_a_whole_machine_breaks_no_link(self, shared: Shared) -> None:
        """Guards against processes that mistake their own pause for a silence of all their peers."""
        cluster = shared.cluster
        behave_all(cluster, 'engine', token_s=0.05)
        runs = _count_runs(cluster)
        reader = StreamReader(cluster, 'entry-1', 40).start()
        wait_for(lambda: tokens_of(reader.text), 'the first token')
        for process in cluster.processes.values():
            process.freeze()
        time.sleep(PEER_TIMEOUT_S + 0.5)
        for process in cluster.processes.values():
            process.thaw()
        assert tokens_of(reader.join()) == expected_tokens(40)
        assert _count_runs(cluster) == runs + 1
        behave_all(cluster, 'engine', token_s=0)


def _count_runs(cluster: Cluster) -> int:
    return sum(len(cluster.state_of(name)['runs']) for name in ('engine-1', 'engine-2'))
