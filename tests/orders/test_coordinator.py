import dataclasses

import pytest

from basilcove.catalog.const import MAX_LEASE_S
from basilcove.catalog.events import QueryAnswered, QueryFailed
from basilcove.catalog.outcomes import LeaseRead
from basilcove.core.events import Effect, Event, Peer, Received, Send, Tick
from basilcove.core.ids import FencingNumber, GroupName, Incarnation, NodeId, Role, UpstreamName, Zone
from basilcove.core.reducer import Node, reduce
from basilcove.helpers.codec import decode, encode
from basilcove.orders import coordinator as _coordinator  # noqa: F401 (registers the handlers)
from basilcove.orders.engine import order_to_json, status_from_json
from basilcove.orders.events import CallEngine, EngineAnswered, EngineAssigned, EngineFailed, SendOrder
from basilcove.orders.messages import EngineStatus, LayerSlots, Order, OrderKind, OrderResult, RankSlots
from basilcove.orders.models import OrdersState
from basilcove.orders.rules import may_call, order_in_force
from tests.standins.status import status_to_json

_ENGINE, _GROUP = UpstreamName('engine-1'), GroupName('riders')
_SENDER = Peer(NodeId('agent-2'), (Role.AGENT,), Incarnation(1), Zone('nobsa'))
_LAYERS = (LayerSlots((RankSlots((1, 2)), RankSlots((3,)))),)


def _order(fence: int, name: str = 'order', **fields: object) -> Order:
    return Order(name, _GROUP, _ENGINE, FencingNumber(fence), 10, OrderKind.LOAD_MODEL, **fields)


class Agent:
    """The handlers of orders of one agent under a virtual clock."""

    def __init__(self, *, checks_fencing: bool = False) -> None:
        self.now = 100.0
        self.state = OrdersState(NodeId('agent-1'), Incarnation(1))
        self.node = Node(self.state)
        self.apply(EngineAssigned(_ENGINE, _GROUP, checks_fencing))

    def apply(self, event: Event) -> list[Effect]:
        return reduce(self.node, event, self.now, self.now)

    def learn(self, fence: int) -> None:
        self.apply(Tick())
        self.apply(QueryAnswered(self.state.token_query_id, LeaseRead('agent-2', FencingNumber(fence), 5)))
        self.now += 10

    def receive(self, order: Order) -> list[Effect]:
        return self.apply(Received(_SENDER, order))

    def is_called(self, order: Order) -> bool:
        return any(isinstance(effect, CallEngine) for effect in self.receive(order))


class TestTokens:
    def test_older_token_is_refused(self) -> None:
        """Guards against late orders of an old coordinator at an engine that ignores tokens."""
        agent = Agent()
        agent.learn(5)
        sent = [effect.message for effect in agent.receive(_order(4)) if isinstance(effect, Send)]
        assert [(result.taken, result.fence) for result in sent if isinstance(result, OrderResult)] == [
            (False, 5)
        ]
        assert agent.is_called(_order(5))

    @pytest.mark.parametrize('checks_fencing', [True, False])
    def test_restarted_agent_refuses_orders_until_it_has_read_the_token(self, checks_fencing: bool) -> None:
        """Guards against an old order at an agent that has lost its token."""
        agent = Agent(checks_fencing=checks_fencing)
        agent.now += 10
        assert not agent.is_called(_order(4))
        agent.learn(5)
        assert not agent.is_called(_order(4))
        assert agent.is_called(_order(6))

    def test_without_a_majority_the_agent_waits_for_older_leases_to_end(self) -> None:
        """Guards against an agent that never acts, or acts too early, while control is unavailable."""
        agent = Agent()
        for is_over in (False, True):
            agent.apply(Tick())
            agent.apply(QueryFailed(agent.state.token_query_id, 'no majority'))
            assert agent.is_called(_order(4)) is is_over
            agent.now += MAX_LEASE_S + 2
            agent.apply(Tick())

    def test_order_of_a_peer_that_is_no_agent_is_refused(self) -> None:
        """Guards against orders from nodes that never hold a group's lease."""
        agent = Agent()
        agent.learn(5)
        entry = dataclasses.replace(_SENDER, roles=(Role.ENTRY,))
        assert not any(isinstance(effect, CallEngine) for effect in agent.apply(Received(entry, _order(6))))


class TestSequence:
    @pytest.mark.parametrize('checks_fencing', [True, False])
    def test_no_order_follows_one_that_may_still_take_effect(self, checks_fencing: bool) -> None:
        """Guards against an old order that an engine accepts after its call has failed."""
        agent = Agent(checks_fencing=checks_fencing)
        agent.learn(5)
        assert agent.is_called(_order(5, 'first'))
        assert not agent.is_called(_order(6, 'second'))
        agent.apply(EngineFailed('first', 'no answer', sent=True))
        assert agent.is_called(_order(6, 'second')) is checks_fencing
        agent.now += 4
        assert agent.is_called(_order(6, 'third')) is not checks_fencing

    def test_new_agent_process_waits_for_orders_of_the_former_one(self) -> None:
        """Guards against an order that a killed agent had sent just before."""
        agent = Agent()
        agent.learn(5)
        agent.now -= 9
        assert not agent.is_called(_order(5))
        agent.now += 9
        assert agent.is_called(_order(5))

    def test_answer_goes_back_to_the_coordinator(self) -> None:
        """Guards against a coordinator that never gets the result of its order."""
        agent = Agent()
        agent.learn(5)
        assert agent.is_called(_order(5))
        answer = OrderResult('order', FencingNumber(5), True, '', EngineStatus(active=3))
        assert agent.apply(EngineAnswered('order', '', EngineStatus(active=3))) == [
            Send(_SENDER.node, answer)
        ]


class TestLeases:
    def test_order_is_not_sent_after_its_lease(self) -> None:
        """Guards against a frozen coordinator that sends an outdated order when it resumes."""
        effect = SendOrder(_SENDER.node, _order(5), lease_until=50)
        assert order_in_force(effect, 50) is None
        assert order_in_force(effect, 48) == dataclasses.replace(_order(5), lease_s=2)

    def test_engine_is_not_called_after_the_lease(self) -> None:
        """Guards against a frozen agent that passes on an outdated order when it resumes."""
        assert may_call(CallEngine(_order(5), not_after=50), 49)
        assert not may_call(CallEngine(_order(5), not_after=50), 50)


class TestEncoding:
    def test_messages_are_decoded_as_encoded(self) -> None:
        """Guards against fields that differ between a message and its protobuf."""
        status = EngineStatus(1, 2, 3, 4, 5, 6, _LAYERS)
        for message in (_order(5, layers=_LAYERS), OrderResult('order', FencingNumber(5), True, '', status)):
            assert decode(*encode(message)) == message

    def test_engine_json(self) -> None:
        """Guards against a status that changes between engine and agent."""
        status = EngineStatus(1, 2, 3, 4, 5, 6, _LAYERS)
        assert status_from_json(status_to_json(status)) == status
        assert order_to_json(_order(5, model='guide')) == {'fence': 5, 'kind': 'load_model', 'model': 'guide'}
