import json
from typing import Any

import pytest

from basilcove.environment.exceptions import DocumentError
from basilcove.environment.loading import load_content
from basilcove.environment.models import Environment
from basilcove.environment.storing import read_json, read_stored, write_stored
from tests.environment.test_routes import document

# Half of a character of UTF-16, as a program writes that cuts a text in its middle.
HALF = '\ud83d'
GROUP = {'ranks': 1, 'experts': 1, 'layers': 1, 'upstreams': []}


def accepted(**changes: Any) -> Environment:
    environment = load_content({**document(), **changes})
    assert isinstance(environment, Environment)
    return environment


class TestStoredText:
    def test_document_reads_back(self) -> None:
        """Guards against a check that refuses a sound document."""
        environment = accepted(annotations={'note': 'Wäldchen 😀'})
        assert read_stored(write_stored(environment)) == environment

    @pytest.mark.parametrize(
        'changes',
        [
            {'annotations': {'note': HALF}},
            {'annotations': {HALF: 'note'}},
            {'models': {'m': {'group': 'g', 'adapters': [HALF]}}, 'groups': {'g': GROUP}},
            {'evidence': {'min_requests': 10**5000}},
        ],
    )
    def test_text_that_no_host_reads_is_refused(self, changes: dict[str, Any]) -> None:
        """Guards against an acknowledged document that each host drops and never obeys."""
        environment = Environment.model_validate({**document(), **changes})
        with pytest.raises(DocumentError):
            write_stored(environment)

    @pytest.mark.parametrize('text', ['{', '[' * 100_000, '{"name": 1e400}', r'{"name": "\ud83d"}', '[]', ''])
    def test_unreadable_text(self, text: str) -> None:
        """Guards against an exception of another type, which would end the handler that reads a document."""
        with pytest.raises(DocumentError):
            read_stored(text)


class TestJson:
    @pytest.mark.parametrize(
        'text',
        [
            r'{"a": "\ud83d"}',
            r'{"\ud83d": 1}',
            r'{"a": {"b": ["\udc00"]}}',
            '{"a": NaN}',
            '{"a": -Infinity}',
            '{"a": 1e400}',
            '{"a": ' + '9' * 5000 + '}',
            '{"a": 1, "a": 2}',
            '[' * 100_000,
            '',
        ],
    )
    def test_ambiguous_text_is_refused(self, text: str) -> None:
        """Guards against a text that is accepted and that another reader refuses or reads differently."""
        with pytest.raises(ValueError):  # noqa: PT011
            read_json(text)

    def test_plain_text_is_read(self) -> None:
        """Guards against a reader that refuses whole characters, written as two escapes, or large numbers."""
        content = {'a': ['😀', 1e300, -0.5, None, True], 'ü': {}}
        assert read_json(json.dumps(content)) == content
        assert read_json(json.dumps(content, ensure_ascii=False).encode()) == content
