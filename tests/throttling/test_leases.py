import math

import pytest

from basilcove.core.ids import InstanceId, NodeId
from basilcove.throttling.const import COUNTED_LEASE_S
from basilcove.throttling.leases import LeaseBook
from basilcove.throttling.messages import ShareRequest, StatedLimit, TimedLimit
from basilcove.throttling.models import ThrottlingState

UPSTREAM = InstanceId('up-1')
LIMIT_PER_S = 26
HOSTS = frozenset(NodeId(f'h{number}') for number in range(6))
GATEWAYS = [NodeId(f'g{number}') for number in range(42)]
LIMIT = TimedLimit(UPSTREAM, 1, LIMIT_PER_S, 60)
STARTED_AT = 100.0
SETTLED_AT = STARTED_AT + COUNTED_LEASE_S + 0.01


class Book(LeaseBook):
    """Leases for one cold upstream, as a host grants them."""

    def __init__(self, host: NodeId, voters: frozenset[NodeId] = HOSTS) -> None:
        super().__init__(host)
        for node in GATEWAYS:
            self.add_gateway(node)
        self.update_voters(voters, STARTED_AT, is_in_contact=True)
        self.state_limit(LIMIT, STARTED_AT)

    def granted(self, now: float) -> dict[NodeId, float]:
        """Return the shares of all gateways that ask for a lease."""
        granted = {}
        for node in GATEWAYS:
            for share in self.grant(node, _no_other_limit, now):
                granted[node] = share.requests_per_s
        return granted


def _no_other_limit(instance: InstanceId) -> float:
    return math.inf


class TestParts:
    @pytest.mark.parametrize('count', [1, 3, 4, 5, 6])
    def test_parts_of_all_hosts_add_up_to_the_limit(self, count: int) -> None:
        """Guards against hosts that grant the limit several times, or parts that nobody grants."""
        voters = frozenset(sorted(HOSTS)[:count])
        rates = [rate for host in HOSTS for rate in Book(host, voters).granted(SETTLED_AT).values()]
        assert sum(rates) == pytest.approx(LIMIT_PER_S)
        assert len(rates) == min(4, count)

    def test_lower_limit_of_two_sources_counts(self) -> None:
        """Guards against a cold upstream that gets more than it states to stand."""
        voters = frozenset((NodeId('h0'),))
        state = ThrottlingState(book=Book(NodeId('h0'), voters))
        state.update(StatedLimit(UPSTREAM, 1, 1.2), SETTLED_AT)
        answers = [state.lease(node, ShareRequest(0), SETTLED_AT) for node in GATEWAYS]
        assert sum(shares[0].requests_per_s for shares in answers if shares) == pytest.approx(1.2)


class TestChanges:
    def test_host_that_has_just_started_or_lost_its_leader(self) -> None:
        """Guards against leases beside those of a former process or of a successor."""
        book = Book(NodeId('h0'), frozenset((NodeId('h0'),)))
        assert not book.granted(SETTLED_AT - 0.1)
        assert book.granted(SETTLED_AT)
        book.update_voters(frozenset((NodeId('h0'),)), SETTLED_AT, is_in_contact=False)
        assert not book.granted(SETTLED_AT + 1)

    def test_share_passes_to_another_gateway_when_its_lease_has_ended(self) -> None:
        """Guards against two holders of one share while the first one is cut off."""
        book = Book(NodeId('h0'), frozenset((NodeId('h0'),)))
        first = set(book.granted(SETTLED_AT))
        book.remove_gateway(*first)
        assert not book.granted(SETTLED_AT + COUNTED_LEASE_S - 0.1)
        second = set(book.granted(SETTLED_AT + COUNTED_LEASE_S + 0.01))
        assert len(second) == 1
        assert second != first

    def test_part_grows_only_after_leases_of_the_former_parts(self) -> None:
        """Guards against a removed host whose leases last while others take over its part."""
        book = Book(NodeId('h0'), frozenset(sorted(HOSTS)[:3]))
        book.update_voters(frozenset(sorted(HOSTS)[:2]), SETTLED_AT, is_in_contact=True)
        assert list(book.granted(SETTLED_AT).values()) == [pytest.approx(LIMIT_PER_S / 3)]
        later = SETTLED_AT + COUNTED_LEASE_S + 0.01
        assert list(book.granted(later).values()) == [pytest.approx(LIMIT_PER_S / 2)]

    def test_end(self) -> None:
        """Guards against a book that grows with each upstream that was ever cold."""
        book = Book(NodeId('h0'), frozenset((NodeId('h0'),)))
        book.granted(STARTED_AT + 59)
        book.drop_ended(STARTED_AT + 60)
        assert book.limits
        book.drop_ended(STARTED_AT + 59 + COUNTED_LEASE_S)
        assert not book.limits
        assert not book.granted(STARTED_AT + 100)
