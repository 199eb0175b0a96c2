"""Handles the events of a gateway: requests, ends of attempts, registrations and the stop."""

from basilcove.core.events import Effect, Log, PeerFound, PeerLost, Received, StopRequested, Tick
from basilcove.core.ids import Role, TeamName
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.environment.events import EnvironmentChanged
from basilcove.gateway import crashes as _crashes  # noqa: F401
from basilcove.gateway import evacuations as _evacuations  # noqa: F401
from basilcove.gateway import hinting as _hinting  # noqa: F401
from basilcove.gateway import limiting as _limiting  # noqa: F401
from basilcove.gateway import memory as _memory  # noqa: F401
from basilcove.gateway import relief as _relief  # noqa: F401
from basilcove.gateway import sharing as _sharing  # noqa: F401
from basilcove.gateway import throttling as _throttling  # noqa: F401
from basilcove.gateway.attempts import expire_if_due, release_upstream, start_attempt
from basilcove.gateway.cold import update_cold_state
from basilcove.gateway.events import (
    AnswerBegun,
    AttemptEnded,
    CallerLeft,
    CancelAttempt,
    RequestArrived,
    RequestHead,
)
from basilcove.gateway.models import GatewayState, OpenRequest
from basilcove.gateway.outcomes import NO_DOCUMENT, NO_ROUTE, STOPPING, UNKNOWN_KEY, refuse
from basilcove.gateway.results import end_attempt
from basilcove.gateway.routes import NamedRoute, RouteTable, pick_service
from basilcove.registry.messages import Registrations
from basilcove.requests.events import StopCompleted

_NO_TEAM = TeamName('')


@handles(EnvironmentChanged, GatewayState)
def _on_environment(state: GatewayState, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    state.table = RouteTable.from_environment(event.environment)
    former, state.revision = state.revision, event.revision
    fields = (
        ('revision', str(event.revision)),
        ('former_revision', str(former)),
        ('routes', str(len(event.environment.routes))),
    )
    return [Log('info', 'document in effect', fields)]


@handles(PeerFound, GatewayState)
def _on_peer_found(state: GatewayState, event: PeerFound, ctx: Context) -> list[Effect]:
    if Role.CONTROL not in event.peer.roles:
        return []
    return [Log('info', 'control host linked', (('peer', event.peer.node),))]


@handles(PeerLost, GatewayState)
def _on_peer_lost(state: GatewayState, event: PeerLost, ctx: Context) -> list[Effect]:
    if Role.CONTROL not in event.peer.roles:
        return []
    state.pools.forget_source(event.peer.node)
    return [Log('warning', 'control host lost', (('peer', event.peer.node),))]


@handles_message(Registrations, GatewayState)
def _on_registrations(state: GatewayState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, Registrations)
    state.pools.gateways = max(state.pools.gateways, msg.gateways)
    effects: list[Effect] = []
    is_start = state.cold.start_detector.is_start(event.peer.node, ctx.now)
    for registration in msg.registrations:
        is_silent = registration.instance in msg.silent
        former = state.pools.by_instance.get(registration.instance)
        upstream = state.pools.update(registration, event.peer.node, silent=is_silent)
        if upstream is None:
            continue
        update_cold_state(state, upstream, former, is_start=is_start, now=ctx.now)
        fields = (
            ('instance', registration.instance),
            ('service', registration.service),
            ('standing', registration.standing.value),
            ('silent', str(is_silent)),
            ('sequence', str(registration.sequence)),
            ('source', event.peer.node),
        )
        effects.append(Log('info', 'upstream learned', fields))
    return effects


@handles(RequestArrived, GatewayState)
def _on_arrived(state: GatewayState, event: RequestArrived, ctx: Context) -> list[Effect]:
    head = event.head
    if state.table is None:
        return refuse(state, event.key, head.request_id, NO_DOCUMENT, ctx)
    if state.stop.is_notice_over(ctx.now):
        return refuse(state, event.key, head.request_id, STOPPING, ctx)
    named_route = state.table.find(head.host, head.path)
    if named_route is None:
        return refuse(state, event.key, head.request_id, NO_ROUTE, ctx)
    team = _authenticate(state.table, named_route, head)
    if team is None:
        return refuse(state, event.key, head.request_id, UNKNOWN_KEY, ctx)
    req = _open_request(state, event.key, head, named_route, team, ctx.now)
    if not req.is_retryable and not state.stop.has_time_for(named_route.name, ctx.now):
        return refuse(state, event.key, head.request_id, STOPPING, ctx)
    state.requests[event.key] = req
    state.budget(req.service).count_request(ctx.now)
    return start_attempt(state, req, ctx)


def _authenticate(table: RouteTable, named_route: NamedRoute, head: RequestHead) -> TeamName | None:
    """Return the team of a request; without a known key, an empty one on public routes, None on others."""
    team = table.find_team(head.credential) if head.credential else None
    if team is not None:
        return team
    return _NO_TEAM if named_route.route.is_public else None


def _open_request(
    state: GatewayState, key: int, head: RequestHead, named_route: NamedRoute, team: TeamName, now: float
) -> OpenRequest:
    table = state.table
    assert table is not None
    timeout_s = named_route.route.timeout_s
    if head.timeout_s is not None:
        timeout_s = min(timeout_s, head.timeout_s)
    return OpenRequest(
        key,
        head.request_id,
        named_route,
        pick_service(named_route.route, head.request_id),
        team,
        table.resolve_level(team or None, named_route),
        now,
        now + timeout_s,
        head.parts,
        head.digest,
        head.tokens,
    )


@handles(AnswerBegun, GatewayState)
def _on_answer_begun(state: GatewayState, event: AnswerBegun, ctx: Context) -> list[Effect]:
    req = state.requests.get(event.key)
    if req is not None:
        req.has_begun = True
    return []


@handles(AttemptEnded, GatewayState)
def _on_attempt_ended(state: GatewayState, event: AttemptEnded, ctx: Context) -> list[Effect]:
    req = state.requests.get(event.key)
    if req is None or req.number != event.number:
        return []
    return end_attempt(state, req, event, ctx)


@handles(CallerLeft, GatewayState)
def _on_caller_left(state: GatewayState, event: CallerLeft, ctx: Context) -> list[Effect]:
    req = state.requests.pop(event.key, None)
    if req is None:
        return []
    release_upstream(state, req)
    fields = (
        ('request', req.request_id),
        ('instance', req.instance or ''),
        ('waited_s', f'{ctx.now - req.arrived_at:.3f}'),
        ('left_s', f'{req.deadline - ctx.now:.3f}'),
    )
    return [CancelAttempt(event.key), Log('info', 'caller left', fields)]


@handles(Tick, GatewayState)
def _on_tick(state: GatewayState, event: Tick, ctx: Context) -> list[Effect]:
    effects: list[Effect] = []
    for req in tuple(state.requests.values()):
        effects.extend(expire_if_due(state, req, ctx))
    if state.stop.is_notice_over(ctx.now) and not state.requests and not state.stop.is_complete:
        state.stop.is_complete = True
        effects.append(StopCompleted(Role.GATEWAY))
    return effects


@handles(StopRequested, GatewayState)
def _on_stop(state: GatewayState, event: StopRequested, ctx: Context) -> list[Effect]:
    state.stop.requested_at = ctx.now
    return []
