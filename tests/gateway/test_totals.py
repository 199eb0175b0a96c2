from basilcove.core.events import Effect, Peer, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import Incarnation, InstanceId, NodeId, Role, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.gateway.messages import LongRequest, OpenAttempts, OtherAttempts
from basilcove.gateway.sharing import choose_totals_host
from basilcove.gateway.totals import AttemptTotals
from basilcove.memory.const import MAX_NOTICE_BURST
from tests.gateway.world import CONTROL, OTHER_CONTROL, World


def gateway(name: str) -> Peer:
    return Peer(NodeId(name), (Role.GATEWAY,), Incarnation(1), Zone('a'))


class TestTotals:
    def setup_method(self) -> None:
        self.node = Node(AttemptTotals())

    def run_tick(self, *events: object) -> dict[str, dict[str, int]]:
        effects: list[Effect] = []
        for event in (*events, Tick()):
            effects.extend(reduce(self.node, event, 0, 0))  # type: ignore[arg-type]
        sends = [effect for effect in effects if isinstance(effect, Send)]
        return {send.node: send.message.counts for send in sends if isinstance(send.message, OtherAttempts)}

    def test_each_gateway_receives_the_sum_of_the_others(self) -> None:
        """Guards against a gateway that counts its own attempts twice."""
        sent = self.run_tick(
            Received(gateway('g1'), OpenAttempts({'up': 2}, wants_totals=True)),
            Received(gateway('g2'), OpenAttempts({'up': 1, 'down': 1}, wants_totals=True)),
            Received(gateway('g3'), OpenAttempts({'up': 4})),
        )
        assert sent == {'g1': {'up': 5, 'down': 1}, 'g2': {'up': 6}}

    def test_tokens_are_summed_and_leave_with_their_gateway(self) -> None:
        """Guards against memory that a dead gateway occupies, and totals that change unnoticed."""
        tick = (
            Received(gateway('g1'), OpenAttempts({'up': 1}, True, {'up': 5})),
            Received(gateway('g2'), OpenAttempts({'up': 1}, False, {'up': 700})),
        )
        effects = [effect for event in (*tick, Tick()) for effect in reduce(self.node, event, 0, 0)]
        assert effects == [Send(NodeId('g1'), OtherAttempts({'up': 1}, {'up': 700}))]
        more = Received(gateway('g2'), OpenAttempts({'up': 1}, False, {'up': 900}))
        effects = [effect for event in (more, Tick()) for effect in reduce(self.node, event, 0, 0)]
        assert effects == [Send(NodeId('g1'), OtherAttempts({'up': 1}, {'up': 900}))]
        lost = PeerLost(gateway('g2'))
        effects = [effect for event in (lost, Tick()) for effect in reduce(self.node, event, 0, 0)]
        assert effects == [Send(NodeId('g1'), OtherAttempts({}, {}))]

    def test_long_request_is_passed_on_before_the_totals(self) -> None:
        """Guards against long requests of two gateways that meet between two totals, and counts that stay."""
        for name in ('g1', 'g2'):
            self.run_tick(Received(gateway(name), OpenAttempts({}, True)))
        long = LongRequest(InstanceId('up'), 40_000)
        assert reduce(self.node, Received(gateway('g1'), long), 0, 0) == [Send(NodeId('g2'), long)]
        # It has ended before the next totals, which g2 needs although they are those it was sent before.
        assert self.run_tick(Received(gateway('g1'), OpenAttempts({}, True))) == {'g2': {}}
        assert not self.run_tick()

    def test_long_request_is_in_totals_beyond_the_rate(self) -> None:
        """Guards against a flood of long requests that takes all messages, and ones that aren't counted."""
        for name in ('g1', 'g2'):
            self.run_tick(Received(gateway(name), OpenAttempts({}, True)))
        long = Received(gateway('g1'), LongRequest(InstanceId('up'), 1))
        sent = [reduce(self.node, long, 0, 0) for _ in range(MAX_NOTICE_BURST + 7)]
        assert sum(map(len, sent)) == MAX_NOTICE_BURST
        total = OtherAttempts({}, {'up': MAX_NOTICE_BURST + 7})
        assert Send(NodeId('g2'), total) in reduce(self.node, Tick(), 0, 0)
        assert reduce(self.node, long, 1, 1)

    def test_lost_gateway_no_longer_counts(self) -> None:
        """Guards against slots that a dead gateway occupies forever."""
        self.run_tick(
            Received(gateway('g1'), OpenAttempts({}, wants_totals=True)),
            Received(gateway('g2'), OpenAttempts({'up': 1})),
        )
        assert self.run_tick(PeerLost(gateway('g2'))) == {'g1': {}}

    def test_nothing_is_sent_without_change(self) -> None:
        """Guards against messages to every node while nothing changes."""
        self.run_tick(Received(gateway('g1'), OpenAttempts({}, wants_totals=True)))
        assert not self.run_tick()


class TestSharing:
    def test_totals_come_from_the_same_zone(self) -> None:
        """Guards against totals that needlessly cross availability zones."""
        hosts = {CONTROL.node: Zone('b'), OTHER_CONTROL.node: Zone('a')}
        assert choose_totals_host(hosts, Zone('a')) == OTHER_CONTROL.node

    def test_lost_host_is_replaced_and_its_totals_dropped(self) -> None:
        """Guards against totals that stay forever when their host is lost."""
        world = World('up-1')
        world.report_others({'up-1': 3})
        world.apply(PeerFound(OTHER_CONTROL))
        effects = world.apply(PeerLost(CONTROL))
        assert world.state.pools.other_attempts is None
        assert Send(OTHER_CONTROL.node, OpenAttempts({}, wants_totals=True)) in effects

    def test_open_attempts_are_sent_on_change(self) -> None:
        """Guards against gateways that don't know each other's load."""
        world = World('up-1')
        world.ask()
        assert Send(CONTROL.node, OpenAttempts({'up-1': 1}, wants_totals=True)) in world.apply(Tick())
        assert not world.apply(Tick())
