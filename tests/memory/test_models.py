from hypothesis import given
from hypothesis import strategies as st

from basilcove.memory.models import own_bound, total_bound

SIZES = st.integers(1, 300_000)
TOKENS = st.integers(0, 400_000)


class TestTotalBound:
    @given(TOKENS, SIZES, st.integers(0, 400_000))
    def test_admitted_request_fits(self, tokens: int, size: int, held: int) -> None:
        """Guards against a request beyond the memory, and one that an empty upstream refuses."""
        is_admitted = held <= total_bound(tokens, size)
        assert not is_admitted or held + tokens <= size
        assert is_admitted or held or tokens > size

    def test_short_requests_are_not_restricted(self) -> None:
        """Guards against a margin of the size that only long requests need."""
        assert total_bound(900, 116_666) > 0.94 * 116_666

    def test_long_request_leaves_room_for_another_one(self) -> None:
        """Guards against two gateways that fill the rest of a memory at the same time."""
        held = total_bound(40_000, 116_666)
        assert held + 2 * 40_000 <= 116_666


class TestOwnBound:
    @given(st.lists(st.integers(0, 100_000), max_size=30), SIZES, st.integers(1, 72))
    def test_gateway_keeps_to_its_share(self, requests: list[int], size: int, gateways: int) -> None:
        """Guards against gateways without totals that together exceed a memory with several requests each."""
        held, count = 0, 0
        for tokens in requests:
            if held <= own_bound(tokens, size, gateways):
                held, count = held + tokens, count + bool(tokens)
        allowed = size / gateways if count > 1 else size
        assert held <= allowed

    @given(TOKENS, SIZES, st.integers(1, 72))
    def test_any_request_fits_where_nothing_is_held(self, tokens: int, size: int, gateways: int) -> None:
        """Guards against long requests that no gateway would send without control hosts."""
        assert (own_bound(tokens, size, gateways) >= 0) == (tokens <= size)
