from basilcove.core.events import PeerFound, PeerLost, Received, Send
from basilcove.core.ids import InstanceId
from basilcove.gateway.events import AttemptResult, Refuse, UpstreamHinted
from basilcove.gateway.hints import Hints
from basilcove.throttling.const import LIMIT_LIFETIME_S, REPEAT_INTERVAL_S
from basilcove.throttling.messages import LimitShare, LimitShares, StatedLimit
from tests.gateway.world import CONTROL, OTHER_CONTROL, World, only_start, registration, starts

LIMIT_PER_S = 1.2


class Limited(World):
    """A gateway whose first upstream states a limit; control hosts assign shares of it."""

    def share(self, requests_per_s: float, limit_per_s: float = LIMIT_PER_S, **changes: object) -> None:
        source = changes.get('source', CONTROL)
        share = LimitShare(InstanceId('up-1'), 1, limit_per_s, requests_per_s)
        self.apply(Received(source, LimitShares((share,))))  # type: ignore[arg-type]

    def state_limit(self, limit_per_s: float) -> list[StatedLimit]:
        """Return what control hosts are told after an answer that states a limit."""
        hinted = UpstreamHinted(1, InstanceId('up-1'), 1, Hints(limit_per_s=limit_per_s))
        sends = [effect for effect in self.apply(hinted) if isinstance(effect, Send)]
        return [send.message for send in sends if isinstance(send.message, StatedLimit)]

    def count_sent(self, duration_s: float, interval_s: float = 0.1) -> int:
        """Return how many of the requests that come at an interval go to the first upstream."""
        sent = 0
        for _ in range(round(duration_s / interval_s)):
            self.now += interval_s
            for start in starts(self.ask()):
                sent += start.instance == 'up-1'
                self.end(start, AttemptResult.ANSWERED)
        return sent


class TestShare:
    def test_requests_come_at_the_rate_of_the_share(self) -> None:
        """Guards against a burst within the limit of a second, and against load that is refused instead."""
        world = Limited('up-1', 'up-2')
        world.share(0.5)
        assert 9 <= world.count_sent(20) <= 10

    def test_gateway_without_a_share(self) -> None:
        """Guards against requests of gateways that are not among the senders."""
        world = Limited('up-1', 'up-2')
        world.share(0)
        assert world.count_sent(20) == 0

    def test_lowest_share_of_several_hosts(self) -> None:
        """Guards against a host behind a partition that sees fewer gateways and assigns more."""
        world = Limited('up-1', 'up-2')
        world.apply(PeerFound(OTHER_CONTROL))
        world.share(1)
        world.share(0.25, source=OTHER_CONTROL)
        assert world.count_sent(20) <= 6
        world.apply(PeerLost(OTHER_CONTROL))
        assert world.count_sent(20) >= 15

    def test_limit_ends(self) -> None:
        """Guards against an upstream that stays throttled after it has recovered."""
        world = Limited('up-1', 'up-2')
        world.share(0)
        world.share(0, limit_per_s=0)
        assert world.count_sent(5) > 10

    def test_limit_ends_while_all_control_hosts_are_lost(self) -> None:
        """Guards against an upstream that is left alone forever since no host knows that its limit ended."""
        world = Limited('up-1', 'up-2')
        world.share(0)
        world.apply(PeerLost(CONTROL))
        assert world.count_sent(5) == 0
        world.apply(PeerFound(CONTROL))
        world.now += LIMIT_LIFETIME_S
        assert world.count_sent(5) > 10

    def test_share_of_a_host_that_takes_the_place_of_all_lost_ones(self) -> None:
        """Guards against the share from a lost host that holds beside that from a new one."""
        world = Limited('up-1', 'up-2')
        world.share(0)
        world.apply(PeerLost(CONTROL))
        world.apply(PeerFound(OTHER_CONTROL))
        world.share(1, source=OTHER_CONTROL)
        assert world.count_sent(20) >= 15

    def test_new_start_has_no_limit(self) -> None:
        """Guards against a restarted upstream that is throttled for what its former start stated."""
        world = Limited('up-1', 'up-2')
        world.share(0)
        world.register(registration('up-1', born_ms=2))
        assert world.count_sent(5) > 10

    def test_callers_are_told_when_the_next_request_may_be_sent(self) -> None:
        """Guards against a request that waits although nothing may be sent, or returns too early."""
        world = Limited('up-1')
        world.share(0.5)
        world.now += 2
        only_start(world.ask())
        refused = next(effect for effect in world.ask() if isinstance(effect, Refuse))
        assert refused.retry_after_s is not None
        assert refused.retry_after_s >= 2
        world.now += refused.retry_after_s
        only_start(world.ask())


class TestReports:
    def test_change_is_reported_at_once_and_repeated_at_intervals(self) -> None:
        """Guards against a message to all hosts for each answer, and a limit that hosts forget."""
        world = Limited('up-1')
        assert [stated.limit_per_s for stated in world.state_limit(LIMIT_PER_S)] == [LIMIT_PER_S]
        world.share(0.5)
        assert not world.state_limit(LIMIT_PER_S)
        world.now += REPEAT_INTERVAL_S
        assert world.state_limit(LIMIT_PER_S)
        assert [stated.limit_per_s for stated in world.state_limit(0)] == [0]

    def test_upstream_without_a_limit(self) -> None:
        """Guards against messages about upstreams that state nothing."""
        world = Limited('up-1')
        assert not world.state_limit(0)

    def test_host_that_restarts_is_told(self) -> None:
        """Guards against a limit that is lost with a control host."""
        world = Limited('up-1')
        world.state_limit(LIMIT_PER_S)
        effects = world.apply(PeerFound(OTHER_CONTROL))
        told = [effect.message for effect in effects if isinstance(effect, Send)]
        assert StatedLimit(InstanceId('up-1'), 1, LIMIT_PER_S) in told
