import pytest

from basilcove.memory.const import MAX_REQUEST_TOKENS
from basilcove.memory.usage import count_tokens


class TestUsage:
    @pytest.mark.parametrize(
        ('text', 'expected'),
        [('1460,80', 1540), (' 1460 , 80 ', 1540), ('0,0', 0), ('9' * 15 + ',0', MAX_REQUEST_TOKENS)],
    )
    def test_stated_tokens(self, text: str, expected: int) -> None:
        """Guards against generated tokens that don't count, and numbers that no message can carry."""
        assert count_tokens(text, 400) == expected

    @pytest.mark.parametrize(
        'text',
        ['', '1460', '1460,', ',80', '1460,80,2', '-1,80', '1e3,80', '\u0661,80', 'a,b', '9' * 16 + ',0'],
    )
    def test_malformed_usage_is_estimated(self, text: str) -> None:
        """Guards against a request that counts as nothing, or fails, because of its header."""
        assert count_tokens(text, 401) == 101
