"""Passes load reports of upstreams to the router of an entry."""

from basilcove.core.events import Effect, Emit
from basilcove.core.reducer import Context, handles
from basilcove.membership import events as membership
from basilcove.requests import events as requests
from basilcove.requests.models import RequestsState
from basilcove.routing.models import UpstreamLoad


@handles(membership.LoadReported, RequestsState)
def on_load(state: RequestsState, event: membership.LoadReported, ctx: Context) -> list[Effect]:
    """Pass a load report on to the router."""
    load = event.load
    by_level = tuple((each.level, each.work) for each in load.by_level)
    reported = UpstreamLoad(load.queued_work, load.running, load.tokens_per_s, by_level)
    return [Emit(requests.UpstreamReported(event.upstream, reported))]
