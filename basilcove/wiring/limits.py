"""Hands the limits of a document, and a planned stop, to the gateway's server."""

from dataclasses import dataclass

from basilcove.core.events import Effect, StopRequested, Tick
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import carries_out
from basilcove.environment.events import EnvironmentChanged
from basilcove.gateway.const import STOP_NOTICE_S
from basilcove.gateway.driver import GatewayDriver
from basilcove.http1.server import ConnectionLimits


@dataclass(frozen=True, slots=True)
class BoundCallers(Effect):
    """Sets the bounds of callers' requests."""

    limits: ConnectionLimits


@dataclass(frozen=True, slots=True)
class LeaveCallers(Effect):
    """Lets each answer end its connection; ``closes_idle`` closes those that wait for nothing too."""

    closes_idle: bool


@dataclass
class CallerLimits:
    """When the process was asked to stop, in monotonic seconds, and whether idle callers were left."""

    stopping_since: float | None = None
    has_left: bool = False


@handles(EnvironmentChanged, CallerLimits)
def _on_environment(state: CallerLimits, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    limits = event.environment.limits
    bounds = ConnectionLimits(
        limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout_s, limits.idle_timeout_s
    )
    return [BoundCallers(bounds)]


@handles(StopRequested, CallerLimits)
def _on_stop(state: CallerLimits, event: StopRequested, ctx: Context) -> list[Effect]:
    state.stopping_since = ctx.now
    return [LeaveCallers(closes_idle=False)]


@handles(Tick, CallerLimits)
def _on_tick(state: CallerLimits, event: Tick, ctx: Context) -> list[Effect]:
    if state.stopping_since is None or state.has_left or ctx.now - state.stopping_since < STOP_NOTICE_S:
        return []
    state.has_left = True
    return [LeaveCallers(closes_idle=True)]


@carries_out(BoundCallers, GatewayDriver)
def _bound(driver: GatewayDriver, effect: BoundCallers) -> None:
    driver.apply_limits(effect.limits)


@carries_out(LeaveCallers, GatewayDriver)
def _leave(driver: GatewayDriver, effect: LeaveCallers) -> None:
    driver.server.stop_accepting()
    if effect.closes_idle:
        driver.server.close_idle()
