import asyncio
import json
from http import HTTPStatus

import pytest
from adapter.zones import ZoneCalls, read_zone

from basilcove.catalog import coordinator as _catalog  # noqa: F401
from basilcove.catalog.client import ClientState
from basilcove.catalog.control import ControlState
from basilcove.catalog.events import ProposalFailed, Propose, Proposed, Query, QueryAnswered
from basilcove.catalog.outcomes import CommandRefused, EvacuationsRead, ZoneChanged, ZoneConflict
from basilcove.core.events import Effect, Emit, Message
from basilcove.core.ids import NodeId, Zone
from basilcove.core.reducer import Context, Node, handles
from basilcove.core.runtime import Runtime
from basilcove.http1.headers import HttpRequest
from basilcove.storage.models import Recovered
from basilcove.wiring.catalog_gate import CatalogGate
from basilcove.wiring.current_calls import IsCurrent
from basilcove.zones.const import MAX_ZONE_LENGTH
from basilcove.zones.models import Evacuation, Evacuations

NODE = NodeId('c-1')


class FakeCatalog:
    """Answers proposals with the given outcomes in turn; without one, they fail.

    A read shows a set of zones with which the next change has an effect.
    """

    def __init__(self, *outcomes: Message | None) -> None:
        self.outcomes = list(outcomes)
        self.evacuations = Evacuations(2)
        self.reads = 0
        self.proposed: list[Message] = []


@handles(Propose, FakeCatalog)
def _on_propose(state: FakeCatalog, event: Propose, ctx: Context) -> list[Effect]:
    state.proposed.append(event.command)
    outcome = state.outcomes.pop(0)
    if outcome is None:
        return [Emit(ProposalFailed(event.proposal_id, 'no leader', sent=False))]
    return [Emit(Proposed(event.proposal_id, outcome))]


@handles(Query, FakeCatalog)
def _on_query(state: FakeCatalog, event: Query, ctx: Context) -> list[Effect]:
    state.reads += 1
    return [Emit(QueryAnswered(event.query_id, EvacuationsRead(state.evacuations)))]


def ask(catalog: FakeCatalog, method: str, target: str, is_current: IsCurrent) -> tuple[HTTPStatus, bytes]:
    calls = ZoneCalls(CatalogGate(Runtime(Node(catalog)), 'gate/'), NODE)
    request = HttpRequest(method.encode(), target.encode(), [], b'', keeps_alive=True)
    return asyncio.run(calls.change(request, is_current))


def call(method: str, target: str, outcome: Message | None = None) -> tuple[HTTPStatus, bytes, list[Message]]:
    """Return the answer to a current call, and what was proposed for it."""
    catalog = FakeCatalog(outcome)
    if method == 'DELETE':
        catalog.evacuations = Evacuations(2, (Evacuation(_zone_of(target), 0, ''),))
    status, body = ask(catalog, method, target, lambda: True)
    return status, body, catalog.proposed


def _zone_of(target: str) -> Zone:
    try:
        return read_zone(target.partition('?')[0])
    except ValueError:
        return Zone('')


class TestCalls:
    @pytest.mark.parametrize(('method', 'name'), [('POST', 'EvacuateZone'), ('DELETE', 'RestoreZone')])
    def test_acknowledged_change(self, method: str, name: str) -> None:
        """Guards against a change that is acknowledged without a commit, or to another zone."""
        status, body, proposed = call(method, '/evacuations/a%2Fb%20%C3%BC?x=1', ZoneChanged(3))
        assert (status, json.loads(body)) == (HTTPStatus.OK, {'zone': 'a/b ü', 'version': 3})
        assert [type(each).__name__ for each in proposed] == [name]
        assert [getattr(each, 'zone', '') for each in proposed] == ['a/b ü']

    @pytest.mark.parametrize('outcome', [None, CommandRefused('too many zones')])
    def test_change_that_is_not_committed(self, outcome: Message | None) -> None:
        """Guards against a 4xx, after which the operator doesn't ask another host."""
        for method in ('POST', 'DELETE'):
            assert call(method, '/evacuations/a', outcome)[0] == HTTPStatus.SERVICE_UNAVAILABLE

    @pytest.mark.parametrize('zone', ['', '%FF', 'x' * (MAX_ZONE_LENGTH + 1)])
    def test_name_that_no_zone_can_have(self, zone: str) -> None:
        """Guards against a name that no host can store, and that breaks the encoding of messages."""
        status, _, proposed = call('POST', f'/evacuations/{zone}', ZoneChanged(1))
        assert (status, proposed) == (HTTPStatus.BAD_REQUEST, [])

    def test_host_without_majority_answers_soon(self) -> None:
        """Guards against a call that hangs while the operator could ask another host."""

        async def ask() -> tuple[float, HTTPStatus]:
            node = Node(ClientState(NODE), ControlState.from_recovered(NODE, Recovered()))
            runtime = Runtime(node)
            await runtime.start()
            calls = ZoneCalls(CatalogGate(runtime, 'gate/'), NODE)
            began = asyncio.get_running_loop().time()
            request = HttpRequest(b'POST', b'/evacuations/a', [], b'', keeps_alive=True)
            status, _ = await calls.change(request, lambda: True)
            await runtime.stop()
            return asyncio.get_running_loop().time() - began, status

        duration_s, status = asyncio.run(ask())
        assert status == HTTPStatus.SERVICE_UNAVAILABLE
        assert duration_s < 2


class TestLateCalls:
    """Each guards against a call of before that reverts a change which another host acknowledged since."""

    @pytest.mark.parametrize('method', ['POST', 'DELETE'])
    def test_caller_has_left_before_the_call_is_read(self, method: str) -> None:
        catalog = FakeCatalog()
        # The type returns False where it is called without an argument.
        status, _ = ask(catalog, method, '/evacuations/a', bool)
        assert (status, catalog.reads, catalog.proposed) == (HTTPStatus.SERVICE_UNAVAILABLE, 0, [])

    def test_caller_leaves_while_the_zones_are_read(self) -> None:
        catalog = FakeCatalog()
        status, _ = ask(catalog, 'POST', '/evacuations/a', lambda: catalog.reads == 0)
        assert (status, catalog.proposed) == (HTTPStatus.SERVICE_UNAVAILABLE, [])

    def test_change_names_the_version_that_was_confirmed(self) -> None:
        _, _, proposed = call('DELETE', '/evacuations/a', ZoneChanged(3))
        assert [getattr(each, 'seen_version', None) for each in proposed] == [2]

    def test_change_after_a_conflict(self) -> None:
        """Guards against an operator that is refused as another zone was changed at the same time."""
        catalog = FakeCatalog(ZoneConflict(3), ZoneChanged(4))
        assert ask(catalog, 'POST', '/evacuations/a', lambda: True)[0] == HTTPStatus.OK
        assert catalog.reads == 2

    def test_caller_leaves_before_a_conflict(self) -> None:
        catalog = FakeCatalog(ZoneConflict(3), ZoneChanged(4))
        status, _ = ask(catalog, 'POST', '/evacuations/a', lambda: not catalog.proposed)
        assert (status, len(catalog.proposed)) == (HTTPStatus.SERVICE_UNAVAILABLE, 1)

    def test_zone_is_as_asked(self) -> None:
        """Guards against a repeated call that isn't acknowledged, or that counts as another change."""
        catalog = FakeCatalog()
        status, body = ask(catalog, 'DELETE', '/evacuations/a', lambda: True)
        assert (status, json.loads(body)['version'], catalog.proposed) == (HTTPStatus.OK, 2, [])
