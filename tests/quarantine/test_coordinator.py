from collections import deque

from basilcove.core.events import Effect, Event, Peer, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import Incarnation, InstanceId, NodeId, PartId, Role, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.gateway import coordinator as _gateway  # noqa: F401
from basilcove.gateway.config import GatewayConfig
from basilcove.gateway.events import CheckUpstream, UpstreamChecked
from basilcove.gateway.models import GatewayState
from basilcove.quarantine import coordinator as _quarantine  # noqa: F401
from basilcove.quarantine.const import FIRST_QUARANTINE_S, TRIAL_S, TRIAL_STAGE_S
from basilcove.quarantine.models import QuarantineState
from tests.gateway.world import STOP_TIMEOUT_S

DEADLY = PartId('dead')
POPULAR = PartId('popular')


class Fleet:
    """Reducers of control hosts and gateways, all linked to each other, under a virtual clock."""

    def __init__(self, hosts: int, gateways: int) -> None:
        self.now = 100.0
        self.sent = 0
        self.crashes = 0
        self.nodes: dict[NodeId, Node] = {}
        self.peers: dict[NodeId, Peer] = {}
        self._queue: deque[tuple[NodeId, NodeId, Send]] = deque()
        for number in range(hosts):
            self.start(f'c{number}', Role.CONTROL)
        for number in range(gateways):
            self.start(f'g{number}', Role.GATEWAY)

    def start(self, name: str, role: Role) -> None:
        """Start a node without state, in place of a former one of its name."""
        node = NodeId(name)
        peer = Peer(node, (role,), Incarnation(1), Zone('a'))
        former = self.nodes.pop(node, None)
        linked = [name for name in self.nodes if self.peers[name].roles != peer.roles]
        for name in linked if former else ():
            self.apply(name, PeerLost(peer))
        cfg = GatewayConfig(listen='127.0.0.1:0')
        state = (
            QuarantineState()
            if role is Role.CONTROL
            else GatewayState.from_config(cfg, Zone('a'), STOP_TIMEOUT_S)
        )
        self.peers[node] = peer
        self.nodes[node] = Node(state)
        for name in linked:
            self.apply(node, PeerFound(self.peers[name]))
            self.apply(name, PeerFound(peer))

    def apply(self, node: NodeId, event: Event) -> None:
        """Apply an event and deliver all messages that follow from it."""
        self._post(node, reduce(self.nodes[node], event, self.now, self.now))
        while self._queue:
            source, target, send = self._queue.popleft()
            self.sent += 1
            received = Received(self.peers[source], send.message)
            self._post(target, reduce(self.nodes[target], received, self.now, self.now))

    def crash(self, gateway: str, *parts: PartId) -> None:
        """Let a gateway find that an upstream has ended between an answer's head and its first event."""
        self.crashes += 1
        check = CheckUpstream(1, 1, InstanceId(f'up-{self.crashes}'), 'up:80', 1, parts, has_answer_head=True)
        self.apply(NodeId(gateway), UpstreamChecked(check, has_ended=True))

    def gateway(self, name: NodeId | str) -> GatewayState:
        return self.nodes[NodeId(name)].part(GatewayState)

    def refusing(self, part: PartId = DEADLY) -> list[NodeId]:
        """Return the gateways that refuse a part."""
        names = [name for name, peer in self.peers.items() if peer.roles == (Role.GATEWAY,)]
        return [name for name in names if self._refuses(self.gateway(name), part)]

    def _refuses(self, state: GatewayState, part: PartId) -> bool:
        listed = list(state.quarantine.find_listed([part], self.now))
        return bool(listed) and state.quarantine.is_refused(part, self.now)

    def _post(self, node: NodeId, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._queue.append((node, effect.node, effect))


class TestSpread:
    def test_all_gateways_learn_of_a_part(self) -> None:
        """Guards against a gateway that has not seen a crash and sends the next request."""
        fleet = Fleet(hosts=3, gateways=7)
        fleet.crash('g0', POPULAR, DEADLY)
        assert len(fleet.refusing()) == 7
        assert not fleet.refusing(POPULAR)

    def test_messages_grow_with_the_number_of_gateways_only(self) -> None:
        """Guards against a crash that costs a message from each gateway to each other one."""
        few, many = Fleet(hosts=5, gateways=50), Fleet(hosts=5, gateways=400)
        for fleet in (few, many):
            fleet.sent = 0
            fleet.crash('g0', POPULAR, DEADLY)
            assert len(fleet.refusing()) == len(fleet.nodes) - 5
        assert many.sent <= 8 * few.sent
        assert many.sent <= 5 * 402

    def test_sound_part_is_released_everywhere(self) -> None:
        """Guards against a popular part that one gateway knows to be sound and others refuse."""
        fleet = Fleet(hosts=3, gateways=7)
        fleet.gateway('g5').quarantine.note_answer([POPULAR], fleet.now - 4)
        fleet.crash('g0', POPULAR)
        assert not fleet.refusing(POPULAR)

    def test_restarted_gateway_learns_what_is_known(self) -> None:
        """Guards against a restarted gateway that sends the requests that crash upstreams."""
        fleet = Fleet(hosts=3, gateways=7)
        fleet.crash('g0', DEADLY)
        fleet.start('g0', Role.GATEWAY)
        assert 'g0' in fleet.refusing()

    def test_all_control_hosts_are_restarted(self) -> None:
        """Guards against knowledge that is lost with the control hosts."""
        fleet = Fleet(hosts=3, gateways=7)
        fleet.crash('g0', DEADLY)
        for number in range(3):
            fleet.start(f'c{number}', Role.CONTROL)
        fleet.start('g0', Role.GATEWAY)
        assert len(fleet.refusing()) == 7

    def test_released_part_stays_released(self) -> None:
        """Guards against a restarted control host that brings back a part which has been answered since."""
        fleet = Fleet(hosts=3, gateways=7)
        fleet.crash('g0', DEADLY)
        state = fleet.gateway('g1')
        state.quarantine.note_answer([DEADLY], fleet.now)
        fleet.start('c0', Role.CONTROL)
        fleet.apply(NodeId('g1'), Tick())
        assert 'g1' not in fleet.refusing()


class TestTrial:
    def test_gateways_try_a_part_in_stages(self) -> None:
        """Guards against all gateways sending the part at once when its quarantine ends."""
        fleet = Fleet(hosts=3, gateways=100)
        fleet.crash('g0', DEADLY)
        fleet.now += FIRST_QUARANTINE_S + 0.01
        tried = []
        for _ in range(8):
            tried.append(100 - len(fleet.refusing()))
            fleet.now += TRIAL_STAGE_S
        assert tried == [1, 3, 7, 15, 31, 63, 100, 100]

    def test_crash_after_the_trial(self) -> None:
        """Guards against a gateway that ignores a crash since it remembers a higher version than hosts."""
        fleet = Fleet(hosts=3, gateways=100)
        fleet.crash('g0', DEADLY)
        fleet.now += FIRST_QUARANTINE_S + TRIAL_S + 1
        for node in fleet.nodes:
            fleet.apply(node, Tick())
        fleet.crash('g1', DEADLY)
        assert len(fleet.refusing()) == 100

    def test_crash_in_the_trial(self) -> None:
        """Guards against a part that is tried by further gateways after it has crashed an upstream again."""
        fleet = Fleet(hosts=3, gateways=100)
        fleet.crash('g0', DEADLY)
        fleet.now += FIRST_QUARANTINE_S + 0.01
        fleet.crash('g1', DEADLY)
        fleet.now += FIRST_QUARANTINE_S
        assert len(fleet.refusing()) == 100
