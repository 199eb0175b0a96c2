import json
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from basilcove.core.ids import PriorityName, TeamName
from basilcove.environment.models import Environment, Group, Model, Priority, Service, Team
from basilcove.http.parsing import HttpCall, parse_call
from basilcove.requests.events import Refusal, Request

ENVIRONMENT = Environment(
    name='demo',
    priorities={
        PriorityName('urgent'): Priority(level=1, target_first_token_s=1),
        PriorityName('booking'): Priority(level=2, target_first_token_s=2),
        PriorityName('drafting'): Priority(level=3, target_first_token_s=9),
    },
    teams={TeamName('kiosk'): Team(key_digests=(), priorities=('urgent', 'booking'))},
    groups={'g': Group(ranks=1, experts=1, layers=1, upstreams=())},
    models={'m': Model(group='g')},
    services={'hire': Service()},
)


def _parse(path: str = '/v1/chat/completions', **changes: Any) -> Request | Refusal:
    content = {'model': 'm', 'messages': [{'role': 'user', 'content': 'x'}], **changes.pop('content', {})}
    call = HttpCall(
        method=changes.pop('method', 'POST'),
        path=path,
        query=changes.pop('query', ''),
        headers=changes.pop('headers', {}),
        body=changes.pop('body', json.dumps(content).encode()),
    )
    return parse_call(call, ENVIRONMENT, changes.pop('team', TeamName('kiosk')))


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
_TEXTS = st.text() | st.sampled_from(['inf', 'nan', '1e400', '-0', 'urgent'])
_HEADERS = st.dictionaries(
    st.sampled_from(['x-request-timeout', 'x-basilcove-priority', 'idempotency-key', 'traceparent']), _TEXTS
)


class TestFaults:
    @pytest.mark.parametrize(
        ('status', 'changes'),
        [
            (400, {'body': b'{'}),
            (400, {'body': b'[]'}),
            (400, {'body': b'[' * 100_000}),
            (400, {'content': {'messages': []}}),
            (400, {'content': {'max_tokens': 0}}),
            (400, {'content': {'max_tokens': True}}),
            (400, {'content': {'stream': 1}}),
            (400, {'headers': {'x-basilcove-priority': 'none'}}),
            (400, {'headers': {'x-request-timeout': 'nan'}}),
            (400, {'headers': {'x-request-timeout': '-1'}}),
            (400, {'headers': {'idempotency-key': ''}}),
            (400, {'path': '/services/hire/%2e%2e/stock'}),
            (400, {'path': '/services/hire/a%2fb'}),
            (400, {'path': '/services/hire/a;b'}),
            (400, {'path': '/services/hire/stock', 'query': 'a=\x01'}),
            (400, {'path': '/services/hire/stock', 'query': 'a=é'}),
            (401, {'team': None}),
            (403, {'headers': {'x-basilcove-priority': 'drafting'}}),
            (404, {'content': {'model': 'other'}}),
            (404, {'content': {'model': 7}}),
            (404, {'path': '/v1/other'}),
            (404, {'path': '/services/other/x'}),
            (405, {'method': 'GET'}),
            (405, {'path': '/services/hire/stock', 'method': 'É'}),
            (413, {'body': b' ' * 2_000_000}),
        ],
    )
    def test_fault_has_its_status(self, status: int, changes: dict[str, Any]) -> None:
        """Guards against malformed input that reaches the reducer or crashes the daemon."""
        fault = _parse(**changes)
        assert isinstance(fault, Refusal)
        assert fault.status == status

    @given(prompt=_JSON, max_tokens=_JSON, stream=_JSON, headers=_HEADERS)
    @example(prompt='\ud800' * 600, max_tokens=1, stream=False, headers={})
    @example(prompt='x', max_tokens=10**400, stream=False, headers={})
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_any_content_is_a_request_or_a_fault(
        self, prompt: object, max_tokens: object, stream: object, headers: dict[str, str]
    ) -> None:
        """Guards against content of a caller that raises an exception."""
        content = {'prompt': prompt, 'max_tokens': max_tokens, 'stream': stream}
        result = _parse('/v1/completions', content=content, headers=headers)
        assert isinstance(result, Request) or 400 <= result.status < 500

    @given(body=st.binary())
    @settings(derandomize=True, max_examples=100, deadline=None)
    def test_any_body_is_a_fault(self, body: bytes) -> None:
        """Guards against a body that raises an exception."""
        result = _parse(body=body)
        assert isinstance(result, Refusal)
        assert 400 <= result.status < 500


class TestRequest:
    def test_priority_defaults_to_the_least_urgent_of_the_team(self) -> None:
        """Guards against callers that become urgent by omitting the header."""
        req = _parse()
        assert isinstance(req, Request)
        assert req.priority == 'booking'

    def test_private_headers_stay_at_the_entry(self) -> None:
        """Guards against API keys of callers that leak to upstreams."""
        req = _parse(headers={'authorization': 'Bearer k', 'accept': 'a'})
        assert isinstance(req, Request)
        assert req.headers == {'accept': 'a'}

    def test_equal_beginnings_have_equal_prefix_hashes(self) -> None:
        """Guards against prefix affinity that never finds a cached prompt."""
        long = 'y' * 1200
        first, second = (_parse('/v1/completions', content={'prompt': long + end}) for end in ('a', 'b'))
        assert isinstance(first, Request)
        assert isinstance(second, Request)
        assert len(first.prefix) == 2
        assert first.prefix == second.prefix

    def test_timeout_is_bounded_by_the_document(self) -> None:
        """Guards against a caller that occupies a slot for an unlimited time."""
        req = _parse(headers={'x-request-timeout': '1e9'})
        assert isinstance(req, Request)
        assert req.timeout_s == ENVIRONMENT.limits.max_timeout_s
