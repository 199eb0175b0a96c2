import pytest

from basilcove.catalog.commands import RestoreZone
from basilcove.catalog.events import Propose, Proposed, Query, QueryAnswered, QueryFailed
from basilcove.catalog.outcomes import EvacuationsRead, ZoneConflict
from basilcove.cli.messages import (
    DrainReply,
    DrainRequest,
    HostReply,
    HostRequest,
    Reply,
    ZoneReply,
    ZoneRequest,
)
from basilcove.core.events import Effect, Event, Message, Tick
from basilcove.core.ids import (
    EnvironmentName,
    Incarnation,
    NodeId,
    RequestId,
    Role,
    Stage,
    UpstreamName,
    Zone,
)
from basilcove.core.pauses import PauseState
from basilcove.core.reducer import Context, Node, handles, reduce
from basilcove.rpc import events as rpc
from basilcove.rpc.envelopes import Identity
from basilcove.wiring import zone_calls as _zone_calls  # noqa: F401
from basilcove.wiring.operators import OperatorsState
from basilcove.zones.models import Evacuation, Evacuations

ID = RequestId('request-1')
CALL = rpc.CallId('call-1')
ZONE = Zone('a')
RESTORE = ZoneRequest(ZONE, evacuate=False, requester='tool', request_id=ID)
EVACUATIONS = Evacuations(5, (Evacuation(ZONE, 0, 'tool'),))


class Asked:
    """Records what is asked of the catalog."""

    def __init__(self) -> None:
        self.queries: list[Query] = []
        self.proposals: list[Propose] = []


@handles(Query, Asked)
def _on_query(state: Asked, event: Query, ctx: Context) -> list[Effect]:
    state.queries.append(event)
    return []


@handles(Propose, Asked)
def _on_propose(state: Asked, event: Propose, ctx: Context) -> list[Effect]:
    state.proposals.append(event)
    return []


class Host:
    """A node that answers the operators' tool."""

    def __init__(self) -> None:
        identity = Identity(NodeId('c-1'), (Role.CONTROL,), Incarnation(1), ZONE)
        self.asked = Asked()
        self.operators = OperatorsState(identity, EnvironmentName('e'), Stage.TRIAL)
        self.node = Node(self.operators, PauseState(), self.asked)
        self.apply(Tick(), 0)

    def apply(self, event: Event, now: float = 0.1) -> list[Reply]:
        """Apply an event, and return the replies to the tool."""
        effects = reduce(self.node, event, now, now)
        replies = [effect.message for effect in effects if isinstance(effect, rpc.Reply)]
        return [reply for reply in replies if isinstance(reply, Reply)]

    def call(self, message: Message, now: float = 0.1) -> list[Reply]:
        return self.apply(rpc.OperatorCalled(CALL, message), now)


class TestCallsAfterAPause:
    @pytest.mark.parametrize(
        ('message', 'reply'),
        [
            (RESTORE, ZoneReply),
            (HostRequest(NodeId('c-2'), admit=True, request_id=ID), HostReply),
            (DrainRequest(UpstreamName('u-1'), ID), DrainReply),
        ],
    )
    def test_change_is_refused(self, message: Message, reply: type[Reply]) -> None:
        """Guards against a change of before that reverts one which another host acknowledged since."""
        host = Host()
        answers = host.call(message, now=5)
        assert [(type(answer), answer.unavailable) for answer in answers] == [(reply, True)]
        assert not host.asked.queries
        assert not host.asked.proposals


class TestZoneChange:
    def test_change_names_the_version_that_was_confirmed(self) -> None:
        host = Host()
        assert not host.call(RESTORE)
        host.apply(QueryAnswered(host.asked.queries[0].query_id, EvacuationsRead(EVACUATIONS)))
        assert [each.command for each in host.asked.proposals] == [
            RestoreZone(ZONE, 'tool', ID, seen_version=5)
        ]

    def test_zones_have_changed_meanwhile(self) -> None:
        """Guards against a tool that takes a change without effect for done, or doesn't ask again."""
        host = Host()
        host.call(RESTORE)
        host.apply(QueryAnswered(host.asked.queries[0].query_id, EvacuationsRead(EVACUATIONS)))
        replies = host.apply(Proposed(host.asked.proposals[0].proposal_id, ZoneConflict(6)))
        assert [(type(reply), reply.unavailable) for reply in replies] == [(ZoneReply, True)]

    def test_version_is_not_confirmed(self) -> None:
        host = Host()
        host.call(RESTORE)
        replies = host.apply(QueryFailed(host.asked.queries[0].query_id, 'no leader'))
        assert [reply.unavailable for reply in replies] == [True]
        assert not host.operators.zone_changes
