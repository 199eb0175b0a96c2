"""Assembles a gateway, which passes requests of callers to upstreams without an agent."""

import time

from basilcove.core.ids import Role
from basilcove.daemon import Assembly, builds
from basilcove.gateway import coordinator as _gateway  # noqa: F401
from basilcove.gateway.driver import GatewayDriver
from basilcove.gateway.models import GatewayState
from basilcove.http1.refusals import Refusals
from basilcove.roles.common import add_common
from basilcove.wiring.limits import CallerLimits
from basilcove.wiring.listeners import add_listener


@builds(Role.GATEWAY)
def build_gateway(assembly: Assembly) -> None:
    """Add the states and drivers that pass requests of callers to upstreams."""
    cfg = assembly.settings.gateway
    assert cfg is not None
    add_common(assembly)
    runtime = assembly.runtime
    state = GatewayState.from_config(cfg, assembly.settings.zone, assembly.settings.stop_timeout_s)
    driver = GatewayDriver.from_config(
        cfg, runtime.apply, assembly.account, Refusals('gateway', assembly.metrics)
    )
    for part in (state, CallerLimits(state.stop)):
        runtime.node.add(part)
    runtime.add_driver(driver)
    assembly.metrics.gauge('gateway_requests_open', 'Requests not ended.', lambda: len(state.requests))
    assembly.metrics.gauge('gateway_revision', 'Revision that routes requests.', lambda: state.revision)
    assembly.metrics.gauge('gateway_upstreams', 'Upstreams known.', lambda: len(state.pools.by_instance))
    assembly.metrics.gauge(
        'gateway_evacuated_zones',
        'Availability zones whose upstreams get no requests.',
        lambda: len(state.pools.evacuated),
    )
    assembly.metrics.gauge('gateway_cold_upstreams', 'Cold.', lambda: state.count_cold(time.monotonic()))
    assembly.metrics.gauge('gateway_connections_opened', 'To upstreams.', lambda: driver.upstreams.opened)
    assembly.metrics.gauge('gateway_held_bytes', 'Held of incomplete answers.', lambda: driver.held_bytes)
    add_listener(assembly, 'gateway', driver.server)
    assembly.readiness.append(lambda: None if state.table is not None else 'no document is in effect')
    assembly.idle_checks.append(lambda: driver.open_exchanges == 0)
    assembly.setups.append(driver.server.setup)
    assembly.unloads.append(driver.unload)
