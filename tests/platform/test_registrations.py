from typing import Any

import pytest
from adapter.registrations import AnnouncementError, read_announcement
from hypothesis import given
from hypothesis import strategies as st

from basilcove.registry.messages import RegistrationState

ANNOUNCEMENT = {
    'service': 's-1',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_remaining_ms': 1500,
    'sequence': 4,
    'born': 1_780_688_865_134,
    'group': {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'broken'},
}
SCALARS = st.sampled_from([None, True, 0, -1, 4, 2**70, 1.5, float('inf'), float('nan'), '', 'x', '4', ':'])
JSON = SCALARS | st.lists(SCALARS, max_size=2) | st.dictionaries(st.sampled_from(['state', 'x']), SCALARS)


class TestAnnouncements:
    def test_meaning_is_kept(self) -> None:
        """Guards against fields of an announcement that are mixed up."""
        registration = read_announcement('i-1', ANNOUNCEMENT)
        assert (registration.instance, registration.service, registration.address, registration.zone) == (
            'i-1',
            's-1',
            '10.0.0.9:8080',
            'a',
        )
        assert registration.age_key == (1_780_688_865_134, 4)
        assert (registration.standing, registration.slots, registration.cold_s) == (
            RegistrationState.READY,
            6,
            1.5,
        )
        assert not registration.is_group_open

    @pytest.mark.parametrize(
        ('field', 'content'),
        [
            ('state', 'asleep'),
            ('state', None),
            ('service', 5),
            ('address', 'nowhere'),
            ('address', ''),
            ('sequence', '4'),
            ('sequence', True),
            ('born', -1),
            ('slots', 'six'),
        ],
    )
    def test_unreadable_field_is_refused(self, field: str, content: Any) -> None:
        """Guards against an upstream that is used although its announcement can't be read."""
        with pytest.raises(AnnouncementError):
            read_announcement('i-1', {**ANNOUNCEMENT, field: content})

    @given(st.dictionaries(st.sampled_from(sorted(ANNOUNCEMENT)), JSON))
    def test_no_content_causes_another_exception(self, changes: dict[str, Any]) -> None:
        """Guards against a malformed announcement that ends the call with an internal error."""
        try:
            read_announcement('i-1', {**ANNOUNCEMENT, **changes})
        except AnnouncementError:
            return
