"""Assembles an agent: the queue and the calls of the upstream on its host."""

import asyncio
import time

from basilcove.agents import coordinator as _agents  # noqa: F401
from basilcove.agents.config import AgentsConfig
from basilcove.agents.models import AgentState
from basilcove.core.events import Peer
from basilcove.core.ids import NodeId, Role, UpstreamName
from basilcove.daemon import Assembly, builds
from basilcove.experts.activation.models import ActivationState
from basilcove.experts.planning.driver import PlanRunner
from basilcove.experts.planning.models import PlanningState, ReportingState
from basilcove.http import driver as _http  # noqa: F401
from basilcove.http.announcements import AnnouncementServer
from basilcove.http.counts import CountsClient
from basilcove.http.orders import EngineClient
from basilcove.http.upstreams import UpstreamClient
from basilcove.membership import announcer as _announcer  # noqa: F401
from basilcove.membership.models import AnnouncerState
from basilcove.orders.models import OrdersState
from basilcove.requests.messages import AnswerChunk
from basilcove.roles.common import add_common
from basilcove.wiring.agents import LoadTimer
from basilcove.wiring.orders import EngineOfHost, OrderSender
from basilcove.wiring.sampling import EntrySample


@builds(Role.AGENT)
def build_agent(assembly: Assembly) -> None:
    """Add the queue and the calls of the upstream on this host."""
    cfg = assembly.settings.agent
    assert cfg is not None
    add_common(assembly)
    settings, identity, runtime = assembly.settings, assembly.identity, assembly.runtime
    agents_cfg = AgentsConfig(
        progress_timeout_s=cfg.progress_timeout_s,
        stop_timeout_s=settings.stop_timeout_s,
    )
    state = AgentState.from_config(agents_cfg, UpstreamName(''), identity.incarnation)
    runtime.node.add(state)
    announcer = AnnouncerState(identity.node, identity.zone, identity.incarnation)
    runtime.node.add(announcer)
    assembly.links.set_peer_filter(EntrySample(announcer, settings.rpc.max_sampled_upstreams).is_wanted)
    runtime.node.add(LoadTimer())
    client = UpstreamClient(cfg.max_calls, cfg.progress_timeout_s)
    runtime.add_driver(client)
    server = AnnouncementServer.from_config(cfg, assembly.metrics, assembly.account)

    def send_chunk(entry: NodeId, chunk: AnswerChunk) -> None:
        assembly.links.send(entry, chunk)

    def setup() -> None:
        loop = asyncio.get_running_loop()
        client.setup(runtime.apply, loop.call_soon_threadsafe, send_chunk)
        server.setup(runtime.post, assembly.not_ready)

    assembly.metrics.gauge('attempts_running', 'Attempts that run.', lambda: len(state.running))
    assembly.metrics.gauge('attempts_open', 'Attempts that wait or run.', lambda: len(state.attempts))
    assembly.readiness.append(lambda: state.leaving_reason)
    assembly.setups.append(setup)
    assembly.unloads.extend((client.unload, server.unload))
    _add_orders(assembly)
    _add_planning(assembly, cfg.counts_interval_s)


def _add_orders(assembly: Assembly) -> None:
    """Add the orders to the engine on this host, and the coordinator of its group."""
    identity, runtime = assembly.identity, assembly.runtime
    activation = ActivationState(identity.node, identity.incarnation)
    orders = OrdersState(identity.node, identity.incarnation)
    for state in (orders, activation, EngineOfHost(identity.node)):
        runtime.node.add(state)
    gauge = assembly.metrics.gauge
    gauge('orders_lease_held', 'Lease of the group.', lambda: int(activation.lease is not None))
    gauge('orders_fence', 'Highest fencing token seen.', lambda: orders.fence)
    client = EngineClient()
    own = Peer(identity.node, (Role.AGENT,), identity.incarnation, identity.zone)
    runtime.add_driver(client)
    runtime.add_driver(OrderSender(own, assembly.links.send, runtime.post, time.monotonic))
    assembly.setups.append(lambda: client.setup(runtime.post))
    assembly.unloads.append(client.unload)


def _add_planning(assembly: Assembly, interval_s: float) -> None:
    """Add the expert counts of the engine on this host, and the plans of its group."""
    identity, runtime = assembly.identity, assembly.runtime
    planning = PlanningState(identity.node, identity.incarnation, interval_s)
    runtime.node.add(ReportingState(identity.node, identity.incarnation, interval_s))
    runtime.node.add(planning)
    gauge = assembly.metrics.gauge
    gauge('expert_skew', 'Expected skew of the map; 1 without the lease.', lambda: planning.skew)
    gauge('expert_plan_seconds', 'Time that the last plan took.', lambda: planning.took_s)
    runner, client = PlanRunner(runtime.post), CountsClient(runtime.post)
    for driver in (runner, client):
        runtime.add_driver(driver)
        assembly.unloads.append(driver.unload)
