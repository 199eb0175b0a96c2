"""Joins the membership of upstreams to the requests of an entry."""

from basilcove.core.events import Effect, Emit
from basilcove.core.reducer import Context, handles
from basilcove.membership import events as membership
from basilcove.requests import events as requests
from basilcove.requests.models import RequestsState
from basilcove.routing.models import UpstreamLoad


@handles(membership.UpstreamJoined, RequestsState)
def on_joined(state: RequestsState, event: membership.UpstreamJoined, ctx: Context) -> list[Effect]:
    """Let an entry choose an upstream."""
    joined = requests.UpstreamJoined(
        upstream=event.upstream,
        agent=event.agent,
        incarnation=event.incarnation,
        zone=event.zone,
        models=frozenset(event.models),
        services=frozenset(event.services),
        slots=event.slots,
    )
    return [Emit(joined)]


@handles(membership.UpstreamLeaving, RequestsState)
def on_leaving(state: RequestsState, event: membership.UpstreamLeaving, ctx: Context) -> list[Effect]:
    """Let an entry send nothing new to an upstream."""
    return [Emit(requests.UpstreamLeaving(event.upstream))]


@handles(membership.UpstreamLost, RequestsState)
def on_lost(state: RequestsState, event: membership.UpstreamLost, ctx: Context) -> list[Effect]:
    """Let an entry forget an upstream."""
    return [Emit(requests.UpstreamLost(event.upstream))]


@handles(membership.LoadReported, RequestsState)
def on_load(state: RequestsState, event: membership.LoadReported, ctx: Context) -> list[Effect]:
    """Pass a load report on to the router."""
    load = event.load
    by_level = tuple((each.level, each.work) for each in load.by_level)
    reported = UpstreamLoad(load.queued_work, load.running, load.tokens_per_s, by_level)
    return [Emit(requests.UpstreamReported(event.upstream, reported))]
