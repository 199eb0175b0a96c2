import pytest

from basilcove.core.events import Effect, Event, Peer, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import Incarnation, InstanceId, NodeId, Role, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.throttling import coordinator as _throttling  # noqa: F401
from basilcove.throttling.const import LIMIT_LIFETIME_S
from basilcove.throttling.messages import LimitShare, LimitShares, StatedLimit
from basilcove.throttling.models import ThrottlingState

UPSTREAM = InstanceId('up-1')


def gateway(number: int) -> Peer:
    return Peer(NodeId(f'g{number}'), (Role.GATEWAY,), Incarnation(1), Zone('a'))


class Host:
    """A control host with linked gateways, and the shares that each of them was last sent."""

    def __init__(self, gateways: int) -> None:
        self.node = Node(ThrottlingState())
        self.now = 100.0
        self.sent = 0
        self.shares: dict[NodeId, LimitShare] = {}
        for number in range(gateways):
            self.apply(PeerFound(gateway(number)))

    def apply(self, event: Event) -> None:
        effects: list[Effect] = list(reduce(self.node, event, self.now, self.now))
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.message, LimitShares):
                self.sent += 1
                self.shares.update((effect.node, share) for share in effect.message.entries)

    def state_limit(self, limit_per_s: float, born_ms: int = 1) -> None:
        self.apply(Received(gateway(0), StatedLimit(UPSTREAM, born_ms, limit_per_s)))

    def rates(self) -> list[float]:
        """Return the shares of the gateways that may send."""
        return [share.requests_per_s for share in self.shares.values() if share.requests_per_s]


class TestDivision:
    @pytest.mark.parametrize('gateways', [1, 2, 7, 98, 400])
    @pytest.mark.parametrize('limit_per_s', [0.2, 1.2, 8, 40])
    def test_shares_of_all_gateways_keep_the_limit(self, gateways: int, limit_per_s: float) -> None:
        """Guards against a limit that many gateways exceed together, each with a request at a time."""
        host = Host(gateways)
        host.state_limit(limit_per_s)
        assert sum(host.rates()) == pytest.approx(limit_per_s)
        window_s = 4
        at_once = len(host.rates())
        assert limit_per_s * window_s + at_once <= 1.5 * limit_per_s * window_s + 5

    def test_stopped_gateway_gives_its_share_to_another(self) -> None:
        """Guards against a limit that is used less and less while gateways come and go."""
        host = Host(7)
        host.state_limit(1.2)
        senders = [node for node, share in host.shares.items() if share.requests_per_s]
        host.apply(PeerLost(gateway(int(senders[0][1:]))))
        host.shares.pop(senders[0])
        assert sum(host.rates()) == pytest.approx(1.2)

    def test_gateway_that_starts_learns_its_share(self) -> None:
        """Guards against a restarted gateway that doesn't know the limit."""
        host = Host(3)
        host.state_limit(1.2)
        host.apply(PeerLost(gateway(1)))
        host.shares.clear()
        host.apply(PeerFound(gateway(1)))
        assert host.shares[gateway(1).node].limit_per_s

    def test_order_in_which_gateways_come_and_go(self) -> None:
        """Guards against control hosts that divide a limit among different gateways."""
        hosts = [Host(20), Host(0)]
        hosts[1].state_limit(3.5)
        for number in reversed(range(30)):
            hosts[1].apply(PeerFound(gateway(number)))
        for number in range(20, 30):
            hosts[1].apply(PeerLost(gateway(number)))
        hosts[0].state_limit(3.5)
        senders = [host.node.part(ThrottlingState).records[UPSTREAM].senders for host in hosts]
        assert senders[0] == senders[1]
        assert len(senders[0]) == 5

    def test_gateway_that_comes_changes_few_shares(self) -> None:
        """Guards against a restart of a control host at which each gateway is told of each other one."""
        host = Host(0)
        host.state_limit(1.2)
        for number in range(400):
            host.apply(PeerFound(gateway(number)))
        assert len(host.shares) == 400
        assert host.sent < 2 * 400

    def test_repeated_limit_is_not_announced(self) -> None:
        """Guards against messages to all gateways for each answer of an upstream."""
        host = Host(50)
        host.state_limit(1.2)
        assert host.sent == 50
        host.state_limit(1.2)
        host.apply(Tick())
        assert host.sent == 50


class TestEnd:
    def test_limit_that_is_no_longer_stated(self) -> None:
        """Guards against an upstream that stays throttled after it has recovered."""
        host = Host(3)
        host.state_limit(1.2)
        host.state_limit(0)
        assert {share.limit_per_s for share in host.shares.values()} == {0}

    def test_limit_that_nobody_repeats(self) -> None:
        """Guards against a limit for good at an upstream that gets no requests."""
        host = Host(3)
        host.state_limit(1.2)
        host.now += LIMIT_LIFETIME_S + 1
        host.apply(Tick())
        assert {share.limit_per_s for share in host.shares.values()} == {0}
        assert not host.node.part(ThrottlingState).records

    def test_late_word_of_a_former_start(self) -> None:
        """Guards against a new start that gets the limit of its predecessor."""
        host = Host(3)
        host.state_limit(5, born_ms=2)
        host.state_limit(1.2, born_ms=1)
        assert {share.limit_per_s for share in host.shares.values()} == {5}
