"""Connects the membership of upstreams to the agent of this host."""

from dataclasses import dataclass

from basilcove.agents.coordinator import current_load, on_environment
from basilcove.agents.events import LeaveRequested, ReturnRequested
from basilcove.agents.models import AgentState
from basilcove.core.events import Effect, Emit, Tick
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import carries_out
from basilcove.environment.events import EnvironmentChanged
from basilcove.http.upstreams import UpstreamClient
from basilcove.membership import events as membership
from basilcove.membership.messages import LevelWork, Load
from basilcove.membership.models import AnnouncerState
from basilcove.routing.models import UpstreamLoad
from basilcove.routing.reports import is_report_due
from basilcove.wiring.const import LOAD_INTERVAL_S


@dataclass(frozen=True, slots=True)
class TargetUpstream(Effect):
    """Directs calls to the upstream at this URL."""

    url: str


@dataclass
class LoadTimer:
    """Time of an agent's next measurement of its load, and its last report; on the monotonic clock."""

    due_at: float = 0
    last: UpstreamLoad | None = None
    reported_at: float = 0


@carries_out(TargetUpstream, UpstreamClient)
def target(client: UpstreamClient, effect: TargetUpstream) -> None:
    """Direct calls to an upstream."""
    client.set_base_url(effect.url)


@handles(membership.LocalUpstreamJoined, AgentState)
def on_local_joined(state: AgentState, event: membership.LocalUpstreamJoined, ctx: Context) -> list[Effect]:
    """Accept attempts for the upstream on this host."""
    effects: list[Effect] = [TargetUpstream(event.url), Emit(ReturnRequested())]
    environment = ctx.node.part(AnnouncerState).environment
    if state.upstream == event.upstream or environment is None or state.revision is None:
        return effects
    state.upstream = event.upstream
    environment_changed = EnvironmentChanged(state.revision, environment)
    state.revision = None
    return [*effects, *on_environment(state, environment_changed, ctx)]


@handles(membership.LocalUpstreamJoined, LoadTimer)
def on_upstream_restarted(
    state: LoadTimer, event: membership.LocalUpstreamJoined, ctx: Context
) -> list[Effect]:
    """Report the load of a new process, even if it equals that of the former one."""
    state.last = None
    return []


@handles(membership.LocalUpstreamLost, AgentState)
def on_local_lost(state: AgentState, event: membership.LocalUpstreamLost, ctx: Context) -> list[Effect]:
    """Accept no attempts while the upstream on this host is silent."""
    return [Emit(LeaveRequested(f'{event.upstream}: {event.reason}'))]


@handles(membership.UpstreamLeavingRequested, AgentState)
def on_local_leaving(
    state: AgentState, event: membership.UpstreamLeavingRequested, ctx: Context
) -> list[Effect]:
    """Accept no new attempts."""
    return [Emit(LeaveRequested(f'{event.name} is leaving'))]


@handles(Tick, LoadTimer)
def on_tick(state: LoadTimer, event: Tick, ctx: Context) -> list[Effect]:
    """Measure the load, and report a change that matters for routing."""
    agent = ctx.node.part(AgentState)
    if ctx.now < state.due_at or not agent.upstream:
        return []
    state.due_at = ctx.now + LOAD_INTERVAL_S
    load = current_load(agent)
    if not is_report_due(state.last, state.reported_at, load, ctx.now):
        return []
    state.last = load
    state.reported_at = ctx.now
    by_level = tuple(LevelWork(level, work) for level, work in load.work_by_level if work)
    announced = Load(load.queued_work, load.running, load.tokens_per_s, by_level)
    return [Emit(membership.LoadMeasured(agent.upstream, announced))]
