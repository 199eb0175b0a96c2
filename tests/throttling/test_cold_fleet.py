import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilcove.gateway.models import GatewayState
from basilcove.throttling.const import COUNTED_LEASE_S, MAX_GRANTERS, START_WINDOW_S
from tests.throttling.fleet import COLD_S, LIMIT_PER_S, MOST_IN_A_SECOND, Fleet, most_in_a_second

# Each granting host has one sender at this limit, which may have saved one request.
MOST_LEASED = LIMIT_PER_S + MAX_GRANTERS


def play(gateways: int, hosts: int, seed: int, duration_s: float, step_s: float) -> Fleet:
    """Return a fleet after faults; the upstream becomes cold over and over."""
    fleet = Fleet(gateways, hosts, seed, step_s)
    fleet.run(START_WINDOW_S + COUNTED_LEASE_S)
    fleet.run(duration_s, fleet.play_fault)
    return fleet


class TestBound:
    @settings(max_examples=12, deadline=None)
    @given(st.integers(0, 2**32), st.sampled_from((3, 4, 6)))
    def test_no_second_with_too_many_requests_from_42_gateways(self, seed: int, hosts: int) -> None:
        """Guards against shares that add up to more while gateways and hosts fail and leases change hands."""
        fleet = play(42, hosts, seed, 40, 0.01)
        assert most_in_a_second(fleet.arrivals) <= MOST_IN_A_SECOND
        assert most_in_a_second(fleet.leased) <= MOST_LEASED

    @settings(max_examples=2, deadline=None)
    @given(st.integers(0, 2**32))
    def test_no_second_with_too_many_requests_from_400_gateways(self, seed: int) -> None:
        """Guards against a bound that grows with the number of gateways."""
        fleet = play(400, 6, seed, 15, 0.02)
        assert most_in_a_second(fleet.arrivals) <= MOST_IN_A_SECOND
        assert most_in_a_second(fleet.leased) <= MOST_LEASED


class TestUse:
    @pytest.mark.parametrize(('gateways', 'hosts'), [(42, 3), (42, 6), (400, 6)])
    def test_cold_upstream_is_used_as_far_as_its_limit_allows(self, gateways: int, hosts: int) -> None:
        """Guards against leases that nobody gets or that are lost on the way."""
        fleet = Fleet(gateways, hosts, 1, 0.02)
        fleet.run(START_WINDOW_S + COUNTED_LEASE_S)
        fleet.chill(is_restart=True)
        fleet.run(COLD_S)
        assert len(fleet.leased) > 0.75 * LIMIT_PER_S * COLD_S

    def test_whole_system_starts(self) -> None:
        """Guards against a fleet that counts as cold because everything has just started."""
        fleet = Fleet(42, 3, 1, 0.02)
        fleet.run(1)
        assert not fleet.leased
        for gateway in fleet.gateways:
            assert not gateway.node.part(GatewayState).count_cold(gateway.now(fleet.time_s))
