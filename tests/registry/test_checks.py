import math
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilcove.core.events import Received
from basilcove.core.ids import InstanceId, ServiceName, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.helpers.codec import encode
from basilcove.registry import coordinator as _registry  # noqa: F401
from basilcove.registry.checks import find_fault, is_address
from basilcove.registry.const import MAX_SEQUENCE
from basilcove.registry.messages import Registration, Registrations, RegistrationState
from basilcove.registry.models import RegistryState
from tests.gateway.world import CONTROL

GOOD = Registration(
    InstanceId('i-1'), ServiceName('desk'), '10.0.0.9:8080', Zone('a'), 1, 1, RegistrationState.READY
)
NUMBERS = st.integers(-1, 2**64) | st.floats()
TEXTS = st.text(max_size=300) | st.just('\ud800')


class TestAddresses:
    @pytest.mark.parametrize('address', ['10.0.0.9:80', 'host-1.example:65535', '::1:8080', 'localhost:1'])
    def test_usable(self, address: str) -> None:
        """Guards against good upstreams that are left out."""
        assert is_address(address)

    @pytest.mark.parametrize(
        'address',
        [
            '10.0.0.9:99999',
            '10.0.0.9:0',
            '10.0.0.9:-1',
            '10.0.0.9:²',
            '10.0.0.9:٣',
            '10.0.0.9:',
            '10.0.0.9',
            ':80',
            'a b:80',
            'x\r\nHost: y:80',
            f'{"a" * 70}.example:80',
            'a..b:80',
            '\ud800:80',
            f'host:{"1" * 5000}',
        ],
    )
    def test_unusable(self, address: str) -> None:
        """Guards against an address that raises an error when a connection is opened."""
        assert not is_address(address)


class TestRegistrations:
    def test_departure_is_usable(self) -> None:
        """Guards against an instance that stays though it has left."""
        assert find_fault(replace(GOOD, standing=RegistrationState.GONE, sequence=MAX_SEQUENCE)) is None

    @pytest.mark.parametrize(
        'changes',
        [
            {'born_ms': 2**53},
            {'sequence': 2**60},
            {'epoch': -1},
            {'slots': 2**31},
            {'cold_s': math.nan},
            {'cold_s': math.inf},
            {'zone': ''},
            {'service': 'x' * 257},
            {'service': 'a\nb'},
            {'zone': '\udc80'},
        ],
    )
    def test_odd_entry_among_good_ones(self, changes: dict[str, Any]) -> None:
        """Guards against a host that stops following all registrations because of one of them."""
        state = RegistryState()
        odd = replace(GOOD, instance=InstanceId('odd'), **changes)
        good = replace(GOOD, instance=InstanceId('good'), address='10.0.0.10:80')
        reduce(Node(state), Received(CONTROL, Registrations((odd, good))), 1, 1)
        assert list(state.rows) == ['good']

    @given(
        st.fixed_dictionaries(
            {},
            optional={
                'instance': TEXTS,
                'service': TEXTS,
                'zone': TEXTS,
                'group': TEXTS,
                'address': TEXTS,
                'born_ms': NUMBERS,
                'sequence': NUMBERS,
                'epoch': NUMBERS,
                'slots': NUMBERS,
                'rank': NUMBERS,
                'group_size': NUMBERS,
                'cold_s': NUMBERS,
            },
        )
    )
    def test_what_passes_can_be_sent(self, changes: dict[str, Any]) -> None:
        """Guards against an entry that no message between hosts can carry."""
        whole = {
            name: int(number)
            if isinstance(number, float) and number.is_integer() and name != 'cold_s'
            else number
            for name, number in changes.items()
        }
        registration = replace(GOOD, **whole)
        if find_fault(registration) is None and all(
            name == 'cold_s' or not isinstance(number, float) for name, number in whole.items()
        ):
            encode(Registrations((registration,)))
