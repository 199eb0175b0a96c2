import asyncio
import json
from http import HTTPStatus

import pytest
from adapter.zones import ZoneCalls

from basilcove.catalog import coordinator as _catalog  # noqa: F401
from basilcove.catalog.client import ClientState
from basilcove.catalog.control import ControlState
from basilcove.catalog.events import ProposalFailed, Propose, Proposed
from basilcove.catalog.outcomes import CommandRefused, ZoneChanged
from basilcove.core.events import Effect, Emit, Message
from basilcove.core.ids import NodeId
from basilcove.core.reducer import Context, Node, handles
from basilcove.core.runtime import Runtime
from basilcove.http1.headers import HttpRequest
from basilcove.storage.models import Recovered
from basilcove.wiring.catalog_gate import CatalogGate
from basilcove.zones.const import MAX_ZONE_LENGTH

NODE = NodeId('c-1')


class FakeCatalog:
    """Answers proposals with a given outcome; without one, they fail."""

    def __init__(self, outcome: Message | None) -> None:
        self.outcome = outcome
        self.proposed: list[Message] = []


@handles(Propose, FakeCatalog)
def _on_propose(state: FakeCatalog, event: Propose, ctx: Context) -> list[Effect]:
    state.proposed.append(event.command)
    if state.outcome is None:
        return [Emit(ProposalFailed(event.proposal_id, 'no leader', sent=False))]
    return [Emit(Proposed(event.proposal_id, state.outcome))]


def call(method: str, target: str, outcome: Message | None = None) -> tuple[HTTPStatus, bytes, list[Message]]:
    """Return the answer to a call, and what was proposed for it."""
    catalog = FakeCatalog(outcome)
    calls = ZoneCalls(CatalogGate(Runtime(Node(catalog)), 'gate/'), NODE)
    request = HttpRequest(method.encode(), target.encode(), [], b'', keeps_alive=True)
    status, body = asyncio.run(calls.change(request))
    return status, body, catalog.proposed


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
            status, _ = await calls.change(request)
            await runtime.stop()
            return asyncio.get_running_loop().time() - began, status

        duration_s, status = asyncio.run(ask())
        assert status == HTTPStatus.SERVICE_UNAVAILABLE
        assert duration_s < 2
