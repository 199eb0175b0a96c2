import pytest

from basilcove.core.ids import NO_PART
from basilcove.gateway.const import MAX_PROMPT_PARTS
from basilcove.gateway.prompts import digest_request, parse_shared_parts


class TestSharedParts:
    @pytest.mark.parametrize(
        ('text', 'parts'),
        [
            ('5c1e:800,91bd:410,e440:250', ('5c1e', '91bd')),
            ('5C1E:800, 91bd ,e440:250', ('5c1e', '91bd')),
            ('5c1e:800,5c1e:800,e440:250', ('5c1e',)),
            ('e440:250', ()),
            ('', ()),
            (f',:5,{"f" * 65}:1,a:1,b', ('a',)),
        ],
    )
    def test_last_part_and_odd_entries_are_left_out(self, text: str, parts: tuple[str, ...]) -> None:
        """Guards against the request's own part, or an odd entry, being taken for one that others share."""
        assert parse_shared_parts(text) == parts

    def test_number_of_parts_is_bounded(self) -> None:
        """Guards against a header that fills the memory of a gateway."""
        assert len(parse_shared_parts(','.join(str(number) for number in range(1000)))) == MAX_PROMPT_PARTS


class TestDigests:
    def test_identical_requests_only_have_the_same_digest(self) -> None:
        """Guards against a sound request that is refused since another one crashes upstreams."""
        prompt, target, body = 'a:1,b:2', b'/brief/x', b'body'
        requests = {
            (prompt, target, body),
            ('a:1,c:2', target, body),
            (prompt, b'/brief/y', body),
            (prompt, target, b'bodies'),
            (prompt, b'/brief/xb', b'ody'),
        }
        assert len({digest_request(*each) for each in requests}) == len(requests)
        assert digest_request(prompt, target, body) == digest_request(prompt, target, body)

    def test_request_without_a_prompt(self) -> None:
        """Guards against all plain requests with one target being taken for identical."""
        assert digest_request('', b'/book/x', b'') == NO_PART
