import asyncio
from http import HTTPStatus

from adapter.instances import INSTANCES_PATH, InstanceCalls
from adapter.registrations import read_announcement

from basilcove.core.events import Effect
from basilcove.core.reducer import Context, Node, handles
from basilcove.core.runtime import Runtime
from basilcove.http1.headers import HttpRequest
from basilcove.registry.events import UpstreamLeft, UpstreamRegistered
from basilcove.registry.models import RegistryState
from tests.platform.test_registrations import ANNOUNCEMENT


class Departures:
    """Records what the registry is told of departures."""

    def __init__(self) -> None:
        self.left: list[UpstreamLeft] = []


@handles(UpstreamLeft, Departures)
def _on_left(state: Departures, event: UpstreamLeft, ctx: Context) -> list[Effect]:
    state.left.append(event)
    return []


class TestDepartures:
    def test_call_that_may_be_late(self) -> None:
        """Guards against a late call that ends a newer start of an engine under the same id."""
        departures = Departures()
        runtime = Runtime(Node(RegistryState(), departures))
        calls = InstanceCalls(runtime)
        runtime.apply(UpstreamRegistered(read_announcement('i-1', ANNOUNCEMENT)))
        request = HttpRequest(b'DELETE', f'{INSTANCES_PATH}i-1'.encode(), [], b'', keeps_alive=True)
        # The type returns False where it is called without an argument.
        status, _ = asyncio.run(calls.remove(request, bool))
        assert (status, departures.left) == (HTTPStatus.SERVICE_UNAVAILABLE, [])
