import pytest

from basilcove.core.events import PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import InstanceId, Zone
from basilcove.gateway.const import RETRY_AFTER_SPREAD
from basilcove.gateway.events import AttemptResult, Refuse
from basilcove.throttling.const import LEASE_S, START_WINDOW_S
from basilcove.throttling.messages import LimitShare, LimitShares, ShareRequest
from tests.gateway.world import CONTROL, OTHER_CONTROL, World, document, only_start, registration, starts

LIMIT_PER_S = 26.0
COLD_S = 6.0


class Cold(World):
    """A gateway in service whose upstreams may be cold."""

    def __init__(self, *upstreams: str) -> None:
        super().__init__(*upstreams)
        service = {'cold_limit_per_s': LIMIT_PER_S, 'cold_time_s': COLD_S}
        self.apply_document(document(services={'desk': service}), revision=2)
        self.now += START_WINDOW_S + 1

    def lease(self, share_per_s: float, asked_s: float = 0, born_ms: int = 1) -> None:
        share = LimitShare(InstanceId('up-1'), born_ms, LIMIT_PER_S, share_per_s)
        self.apply(Received(CONTROL, LimitShares((share,), self.now - asked_s)))

    def count_sent(self, duration_s: float, interval_s: float = 0.1) -> int:
        """Return how many of the requests that come at an interval go to the first upstream."""
        sent = 0
        for _ in range(round(duration_s / interval_s)):
            self.now += interval_s
            for start in starts(self.ask()):
                sent += start.instance == 'up-1'
                self.end(start, AttemptResult.ANSWERED)
        return sent

    def asked(self) -> list[ShareRequest]:
        """Return the requests for leases that a tick brings."""
        sends = [effect for effect in self.apply(Tick()) if isinstance(effect, Send)]
        return [send.message for send in sends if isinstance(send.message, ShareRequest)]


class TestBelief:
    def test_upstream_that_says_it_is_cold_until_its_time_is_over(self) -> None:
        """Guards against the usual load at a cold upstream, and one that is left alone for good."""
        world = Cold('up-1', 'up-2')
        world.register(registration('up-1', sequence=2, cold_s=2))
        assert world.count_sent(1.9) == 0
        assert world.count_sent(5) > 10

    def test_upstream_that_says_it_is_warm_again(self) -> None:
        """Guards against a cold time that goes on although the upstream is warm."""
        world = Cold('up-1', 'up-2')
        world.register(registration('up-1', sequence=2, cold_s=2))
        world.register(registration('up-1', sequence=3))
        assert world.count_sent(1) > 2

    @pytest.mark.parametrize('name', ['up-1', 'up-3'])
    def test_first_registration_does_not_prove_that_an_upstream_is_warm(self, name: str) -> None:
        """Guards against a new start or an unknown upstream that gets the usual load at once."""
        world = Cold('up-1', 'up-2')
        world.register(registration(name, born_ms=2))
        cold = world.state.pools.by_instance[InstanceId(name)].throttle.cold
        assert cold.is_cold(world.now + COLD_S - 0.1)
        assert not cold.is_cold(world.now + COLD_S)
        world.register(registration(name, born_ms=2, sequence=2))
        assert not cold.is_cold(world.now)

    def test_first_message_of_each_host_and_known_upstreams_are_believed(self) -> None:
        """Guards against a fleet that counts as cold since a gateway or control host has just started."""
        world = Cold('up-1', 'up-2')
        world.apply(PeerFound(OTHER_CONTROL))
        world.register(registration('up-2'), registration('up-3'), source=OTHER_CONTROL)
        world.register(registration('up-1', sequence=2))
        assert not world.state.count_cold(world.now)

    def test_zone_that_was_restored(self) -> None:
        """Guards against the usual load at an upstream that may have started while it was evacuated."""
        world = Cold('up-1', 'up-2')
        world.register(registration('up-2', sequence=2, zone=Zone('b')))
        self._restore(world)
        assert world.count_sent(1) == 0
        world.register(registration('up-1', sequence=2))
        assert world.count_sent(1) > 2
        self._restore(world)
        assert world.count_sent(COLD_S - 0.1) == 0
        assert world.count_sent(2) > 2

    def _restore(self, world: Cold) -> None:
        for zones in (frozenset((Zone('a'),)), frozenset[Zone]()):
            world.state.pools.apply_evacuations(zones, world.now)

    def test_connection_lost_while_no_control_host_is_linked(self) -> None:
        """Guards against the usual load at an upstream whose new start this gateway can't be told of."""
        world = Cold('up-1')
        world.apply(PeerLost(CONTROL))
        world.end(only_start(world.ask()), AttemptResult.UNSENT)
        assert world.count_sent(COLD_S - 0.1) == 0
        assert world.count_sent(2) > 2

    def test_service_without_a_limit(self) -> None:
        """Guards against deployments that are served otherwise although they set nothing."""
        world = World('up-1')
        world.now += START_WINDOW_S + 1
        world.register(registration('up-1', born_ms=2, cold_s=9))
        only_start(world.ask())
        sends = [effect for effect in world.apply(Tick()) if isinstance(effect, Send)]
        assert not any(isinstance(send.message, ShareRequest) for send in sends)


class TestLease:
    def test_requests_come_at_the_rate_of_the_lease_until_it_ends(self) -> None:
        """Guards against a first request at once, a burst, and a share that outlasts its host."""
        world = Cold('up-1', 'up-2')
        world.register(registration('up-1', sequence=2, cold_s=60))
        world.lease(2)
        assert world.count_sent(0.4) == 0
        assert world.count_sent(LEASE_S - 0.4) in {5, 6}
        assert world.count_sent(5) == 0

    def test_lease_counts_from_when_it_was_asked_for(self) -> None:
        """Guards against an answer that was long on its way and comes when others have the share."""
        world = Cold('up-1', 'up-2')
        world.register(registration('up-1', sequence=2, cold_s=60))
        world.lease(10, asked_s=LEASE_S)
        assert world.count_sent(1) == 0
        world.lease(10, asked_s=LEASE_S - 0.5)
        assert world.count_sent(2) <= 5

    def test_leases_of_a_former_start(self) -> None:
        """Guards against a lease that is taken for one of a new start."""
        world = Cold('up-1', 'up-2')
        world.register(registration('up-1', born_ms=2, cold_s=60))
        world.lease(10, born_ms=1)
        assert world.count_sent(1) == 0
        world.lease(10, born_ms=2)
        assert world.count_sent(1) > 2

    def test_callers_are_told_when_a_share_opens_or_the_cold_time_ends(self) -> None:
        """Guards against a request that waits, or a caller that returns too early."""
        world = Cold('up-1')
        world.register(registration('up-1', sequence=2, cold_s=4))
        refused = next(effect for effect in world.ask() if isinstance(effect, Refuse))
        assert refused.retry_after_s is not None
        assert 4 <= refused.retry_after_s <= 4 * (1 + RETRY_AFTER_SPREAD)
        world.lease(2)
        refused = next(effect for effect in world.ask() if isinstance(effect, Refuse))
        assert refused.retry_after_s is not None
        assert 1 <= refused.retry_after_s * 2 <= 1 + RETRY_AFTER_SPREAD
        world.now += refused.retry_after_s
        only_start(world.ask())


class TestAsking:
    def test_hosts_are_asked_while_an_upstream_is_cold(self) -> None:
        """Guards against leases that nobody renews, and messages when nothing is cold."""
        world = Cold('up-1')
        assert not world.asked()
        world.register(registration('up-1', sequence=2, cold_s=4))
        limit = world.asked()[0].limits[0]
        assert (limit.instance, limit.limit_per_s, limit.left_s) == ('up-1', LIMIT_PER_S, 4)
        assert not world.asked()
        world.now += 1
        assert [request.limits for request in world.asked()] == [()]
        world.now += 4
        assert not world.asked()

    def test_host_that_has_just_been_linked_is_told(self) -> None:
        """Guards against a restarted control host that grants nothing for the rest of the cold time."""
        world = Cold('up-1')
        world.register(registration('up-1', sequence=2, cold_s=4))
        sends = [effect for effect in world.apply(PeerFound(OTHER_CONTROL)) if isinstance(effect, Send)]
        assert any(isinstance(send.message, ShareRequest) and send.message.limits for send in sends)
