import pytest

from basilcove.gateway.const import MAX_PROMPT_PARTS
from basilcove.gateway.prompts import parse_shared_parts


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
