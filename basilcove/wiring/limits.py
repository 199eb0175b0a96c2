"""Passes the limits of a document, and a planned stop, to the gateway's server."""

from dataclasses import dataclass

from basilcove.core.events import Effect, StopRequested, Tick
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import carries_out
from basilcove.environment.events import EnvironmentChanged
from basilcove.gateway.driver import GatewayDriver
from basilcove.gateway.stopping import Stop
from basilcove.http1.config import ConnectionLimits


@dataclass(frozen=True, slots=True)
class SetConnectionLimits(Effect):
    """Sets the limits of callers' connections and requests."""

    limits: ConnectionLimits


@dataclass(frozen=True, slots=True)
class CloseConnections(Effect):
    """Closes each connection after its answer; with ``closes_idle``, closes idle connections too."""

    closes_idle: bool


@dataclass
class CallerLimits:
    """The planned stop of the gateway, and whether idle connections were closed for it."""

    stop: Stop
    has_closed_idle: bool = False


@handles(EnvironmentChanged, CallerLimits)
def _on_environment(state: CallerLimits, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    limits = event.environment.limits
    connection_limits = ConnectionLimits(
        limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout_s, limits.idle_timeout_s
    )
    return [SetConnectionLimits(connection_limits)]


@handles(StopRequested, CallerLimits)
def _on_stop(state: CallerLimits, event: StopRequested, ctx: Context) -> list[Effect]:
    return [CloseConnections(closes_idle=False)]


@handles(Tick, CallerLimits)
def _on_tick(state: CallerLimits, event: Tick, ctx: Context) -> list[Effect]:
    if state.has_closed_idle or not state.stop.is_notice_over(ctx.now):
        return []
    state.has_closed_idle = True
    return [CloseConnections(closes_idle=True)]


@carries_out(SetConnectionLimits, GatewayDriver)
def _set_limits(driver: GatewayDriver, effect: SetConnectionLimits) -> None:
    driver.apply_limits(effect.limits)


@carries_out(CloseConnections, GatewayDriver)
def _close_connections(driver: GatewayDriver, effect: CloseConnections) -> None:
    driver.server.close_after_answers()
    if effect.closes_idle:
        driver.server.close_idle()
