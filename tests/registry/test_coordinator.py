from dataclasses import replace

from basilcove.core.events import Effect, Peer, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import Incarnation, InstanceId, NodeId, Revision, Role, ServiceName, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.models import Environment
from basilcove.registry import coordinator as _registry  # noqa: F401
from basilcove.registry.const import DEPARTURE_TIMEOUT_S, FORGOTTEN_AFTER_S, SILENT_AFTER_S
from basilcove.registry.events import ConfirmDeparture, UpstreamLeft, UpstreamRegistered
from basilcove.registry.messages import DeparturesStored, Registration, Registrations, RegistrationState
from basilcove.registry.models import RegistryState
from tests.gateway.world import document, registration

GATEWAY = Peer(NodeId('g1'), (Role.GATEWAY,), Incarnation(1), Zone('a'))
HOST = Peer(NodeId('c2'), (Role.CONTROL,), Incarnation(1), Zone('b'))


class Control:
    """A control host's registry with one linked gateway and one other control host."""

    def __init__(self) -> None:
        self.state = RegistryState()
        self.node = Node(self.state)
        self.now = 0.0
        for peer in (GATEWAY, HOST):
            self.apply(PeerFound(peer))

    def apply(self, event: object) -> list[Effect]:
        return reduce(self.node, event, self.now, 0)  # type: ignore[arg-type]

    def call(self, upstream: Registration) -> None:
        self.apply(UpstreamRegistered(upstream))

    def leave(self, name: str) -> list[Effect]:
        departure = self.state.departure_of(InstanceId(name))
        assert departure is not None
        return self.apply(UpstreamLeft(departure))

    def run_tick(self, node: NodeId) -> list[Registrations]:
        sends = [effect for effect in self.apply(Tick()) if isinstance(effect, Send)]
        return [send.message for send in sends if send.node == node]  # type: ignore[misc]

    def run(self, seconds: float) -> list[Registrations]:
        msgs = []
        for _ in range(int(seconds / 0.1)):
            self.now += 0.1
            msgs.extend(self.run_tick(GATEWAY.node))
        return msgs


class TestRegistry:
    def test_gateways_are_notified_of_changes_only(self) -> None:
        """Guards against a message to every gateway for each call of every upstream."""
        control = Control()
        control.call(registration('up', 1))
        assert [msg.registrations for msg in control.run_tick(GATEWAY.node)] == [(registration('up', 1),)]
        control.call(registration('up', 2))
        assert not control.run_tick(GATEWAY.node)

    def test_other_hosts_are_notified_of_each_call(self) -> None:
        """Guards against an upstream that looks silent to a host because it calls another one."""
        control = Control()
        control.call(registration('up', 1))
        control.run_tick(HOST.node)
        control.call(registration('up', 2))
        assert control.run_tick(HOST.node)

    def test_draining_is_sent_with_the_next_tick(self) -> None:
        """Guards against new requests for an upstream whose drain was acknowledged."""
        control = Control()
        control.call(registration('up', 1))
        control.run_tick(GATEWAY.node)
        control.call(registration('up', 2, standing=RegistrationState.DRAINING))
        msg = control.run_tick(GATEWAY.node)[0]
        assert msg.registrations[0].standing is RegistrationState.DRAINING

    def test_late_calls_change_nothing(self) -> None:
        """Guards against an upstream that becomes ready again by a late call from before its drain."""
        control = Control()
        control.call(registration('up', 5, standing=RegistrationState.DRAINING))
        control.call(registration('up', 4))
        assert control.state.rows[InstanceId('up')].registration.standing is RegistrationState.DRAINING

    def test_departure_is_final_for_a_start(self) -> None:
        """Guards against a late call that restores an upstream, and an id that can't be used again."""
        control = Control()
        control.call(registration('up', 5))
        departure = control.state.departure_of(InstanceId('up'))
        assert departure is not None
        control.call(departure)
        control.call(registration('up', 6))
        assert control.state.rows[InstanceId('up')].registration.standing is RegistrationState.GONE
        control.call(registration('up', 1, born_ms=2))
        assert control.state.rows[InstanceId('up')].registration.standing is RegistrationState.READY

    def test_unknown_departure(self) -> None:
        """Guards against the acknowledgement of a departure of which no gateway can be notified."""
        assert Control().state.departure_of(InstanceId('up')) is None

    def test_older_start_does_not_take_an_address_back(self) -> None:
        """Guards against a call delayed by a partition, whose sender's address now belongs to another."""
        control = Control()
        control.call(registration('new', 1, born_ms=2, address='a:1', service=ServiceName('other')))
        control.call(registration('old', 9, born_ms=1, address='a:1'))
        assert InstanceId('old') not in control.state.rows

    def test_former_holder_of_an_address_counts_as_silent(self) -> None:
        """Guards against requests for a process that ended without a departure."""
        control = Control()
        control.call(registration('old', 1, address='a:1'))
        control.call(registration('new', 1, born_ms=2, address='a:1'))
        msg = control.run_tick(GATEWAY.node)[0]
        assert msg.silent == ('old',)


class TestSilence:
    def test_silent_upstream_is_reported_and_recovers(self) -> None:
        """Guards against requests for an upstream that crashed without a departure."""
        control = Control()
        control.call(registration('up', 1))
        msgs = control.run(SILENT_AFTER_S + 0.3)
        assert [msg.silent for msg in msgs] == [(), ('up',)]
        control.call(registration('up', 2))
        assert [msg.silent for msg in control.run_tick(GATEWAY.node)] == [()]

    def test_pause_of_the_host_does_not_count_as_silence(self) -> None:
        """Guards against a host that resumes after a pause and takes all upstreams for dead."""
        control = Control()
        control.call(registration('up', 1))
        control.run_tick(GATEWAY.node)
        control.now += 20
        assert not control.run_tick(GATEWAY.node)

    def test_silent_upstream_of_another_host_is_not_renewed(self) -> None:
        """Guards against two hosts that keep a dead upstream alive by notifying each other."""
        control = Control()
        control.apply(Received(HOST, Registrations((registration('up', 1),), (InstanceId('up'),))))
        assert not control.state.rows

    def test_silent_upstream_is_dropped_eventually(self) -> None:
        """Guards against a table that grows with every upstream that ever registered."""
        control = Control()
        control.call(registration('up', 1))
        control.run(FORGOTTEN_AFTER_S + 1)
        assert not control.state.rows
        assert not control.state.addresses


class TestRestart:
    def test_late_call_of_an_upstream_that_left(self) -> None:
        """Guards against a restarted control host that brings back what has left."""
        kept, restarted = RegistryState(), RegistryState()
        upstream = registration('up-1', sequence=4)
        reduce(Node(kept), UpstreamRegistered(upstream), 1, 1)
        departure = kept.departure_of(upstream.instance)
        assert departure is not None
        reduce(Node(kept), UpstreamRegistered(departure), 2, 2)
        # The restarted host is linked to the other one, which tells it all that it knows.
        told = [
            effect.message for effect in reduce(Node(kept), PeerFound(HOST), 3, 3) if isinstance(effect, Send)
        ]
        for message in told:
            reduce(Node(restarted), Received(HOST, message), 3, 3)
        reduce(Node(restarted), UpstreamRegistered(registration('up-1', sequence=5)), 4, 4)
        assert restarted.rows[upstream.instance].registration.standing is RegistrationState.GONE


class TestDepartures:
    def test_other_hosts_and_gateways_are_told_at_once(self) -> None:
        """Guards against an upstream that gets requests, as the host that it told of its end lost power."""
        control = Control()
        control.call(registration('up', 1))
        control.apply(Tick())
        effects = control.leave('up')
        assert [effect.node for effect in effects if isinstance(effect, Send)] == [HOST.node, GATEWAY.node]
        assert not control.run_tick(GATEWAY.node)

    def test_departure_is_confirmed_once_another_host_knows_it(self) -> None:
        """Guards against an acknowledged departure that is lost with one control host."""
        control = Control()
        control.call(registration('up', 1))
        effects = control.leave('up')
        assert not confirmed(effects)
        told = next(effect for effect in effects if isinstance(effect, Send) and effect.node == HOST.node)
        other = Control()
        answers = [effect for effect in other.apply(Received(HOST, told.message)) if isinstance(effect, Send)]
        assert [answer.node for answer in answers] == [HOST.node]
        assert confirmed(control.apply(Received(HOST, answers[0].message)))

    def test_five_hosts_bear_the_loss_of_two(self) -> None:
        """Guards against an acknowledgement that only one of four other hosts backs."""
        control = Control()
        hosts = [
            Peer(NodeId(f'c{number}'), (Role.CONTROL,), Incarnation(1), Zone('b')) for number in (3, 4, 5)
        ]
        for host in hosts:
            control.apply(PeerFound(host))
        control.call(registration('up', 1))
        control.leave('up')
        stored = DeparturesStored((registration('up').departure,))
        assert not confirmed(control.apply(Received(HOST, stored)))
        assert not confirmed(control.apply(Received(HOST, stored)))
        assert confirmed(control.apply(Received(hosts[0], stored)))

    def test_departure_of_a_start_whose_address_another_one_has(self) -> None:
        """Guards against an upstream whose late departure no host ever acknowledges."""
        control = Control()
        former = registration('up', 1)
        control.call(former)
        control.call(replace(registration('next', 1), address=former.address, born_ms=former.born_ms + 1))
        assert confirmed(control.leave('up'))

    def test_single_host_confirms_alone(self) -> None:
        """Guards against a departure that a group of one host never acknowledges."""
        control = Control()
        control.apply(PeerLost(HOST))
        control.call(registration('up', 1))
        assert confirmed(control.leave('up'))

    def test_late_word_of_another_host_confirms_nothing(self) -> None:
        """Guards against an answer to a caller that was told otherwise, and a table that grows."""
        control = Control()
        control.call(registration('up', 1))
        control.leave('up')
        control.now += DEPARTURE_TIMEOUT_S + 0.1
        control.apply(Tick())
        stored = DeparturesStored((registration('up').departure,))
        assert not confirmed(control.apply(Received(HOST, stored)))
        assert not control.state.unconfirmed


def confirmed(effects: list[Effect]) -> bool:
    return any(isinstance(effect, ConfirmDeparture) for effect in effects)


class TestWarmth:
    def control(self, services: dict[str, dict[str, float]]) -> Control:
        control = Control()
        environment = Environment.model_validate(document(services={'desk': {}, **services}))
        control.apply(EnvironmentChanged(Revision(1), environment))
        control.call(registration('up', 1))
        control.run_tick(GATEWAY.node)
        return control

    def test_gateways_are_told_when_an_upstream_turns_cold_or_warm(self) -> None:
        """Guards against a cold upstream that gets its usual load, and a message for each of its calls."""
        control = self.control({'desk': {'cold_limit_per_s': 26, 'cold_time_s': 6}})
        told = []
        for sequence, cold_s in enumerate((0, 0, 6, 5, 4, 0, 0, 3, 9), start=2):
            upstream = registration('up', sequence, cold_s=cold_s)
            effects = control.apply(UpstreamRegistered(upstream))
            sends = [effect for effect in effects if isinstance(effect, Send)]
            later = control.run_tick(GATEWAY.node)
            told.append((len(sends), len(later)))
            control.now += 1
        # The second registration confirms that it is warm; all are told at once that it is cold.
        nothing, soon, at_once = (0, 0), (0, 1), (2, 0)
        assert told == [soon, nothing, at_once, nothing, nothing, soon, nothing, at_once, at_once]

    def test_remaining_time_ages_on_the_control_host(self) -> None:
        """Guards against a gateway that starts late in a cold time and counts the whole of it again."""
        control = self.control({'desk': {'cold_limit_per_s': 26, 'cold_time_s': 6}})
        control.call(registration('up', 2, cold_s=6))
        for now, left_s in ((4.0, 2.0), (7.0, 0.0)):
            control.now = now
            sends = [effect for effect in control.apply(PeerFound(GATEWAY)) if isinstance(effect, Send)]
            assert sends[0].message.registrations[0].cold_s == left_s  # type: ignore[attr-defined]

    def test_service_without_a_limit(self) -> None:
        """Guards against messages that deployments without cold upstreams don't need."""
        control = self.control({})
        for sequence, cold_s in ((2, 0), (3, 6), (4, 0)):
            effects = control.apply(UpstreamRegistered(registration('up', sequence, cold_s=cold_s)))
            assert not any(isinstance(effect, Send) for effect in effects)
            assert not control.run_tick(GATEWAY.node)
