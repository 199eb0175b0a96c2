"""Binds what this gateway knows of cold upstreams to its events, and asks control hosts for leases.

Guards against upstreams that crash because they get the usual load while they are cold.
"""

from collections.abc import Collection, Iterator

from basilcove.core.events import Effect, Log, PeerFound, Send, Tick
from basilcove.core.ids import InstanceId, NodeId, Role
from basilcove.core.reducer import Context, handles
from basilcove.environment.events import EnvironmentChanged
from basilcove.gateway.events import AttemptEnded, AttemptResult
from basilcove.gateway.models import GatewayState
from basilcove.gateway.pools import PooledUpstream
from basilcove.registry.messages import RegistrationState
from basilcove.throttling.cold_state import ColdSource, Statement, read_limits
from basilcove.throttling.const import ASK_INTERVAL_S, MAX_STATED_LIMITS
from basilcove.throttling.messages import ShareRequest, TimedLimit

_LOST_CONNECTIONS = frozenset((AttemptResult.UNSENT, AttemptResult.LOST, AttemptResult.BROKEN))


def update_cold_state(
    state: GatewayState,
    upstream: PooledUpstream,
    former: PooledUpstream | None,
    *,
    is_start: bool,
    now: float,
) -> None:
    """Apply the registration of an upstream; ``former`` is what was known of its instance before.

    ``is_start`` tells whether this process or the whole system has just started.
    """
    cold, registration = upstream.throttle.cold, upstream.registration
    unsure = None if is_start else ColdSource.FIRST_SEEN
    if former is not None and former is not upstream:
        unsure = ColdSource.RESTARTED
    cold.apply_statement(Statement(registration.age_key, registration.cold_s), unsure, now)
    cold.update_limit(state.cold.limits.get(registration.service))


@handles(EnvironmentChanged, GatewayState)
def _on_environment(state: GatewayState, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    limits = read_limits(event.environment)
    if limits == state.cold.limits:
        return []
    state.cold.limits = limits
    for upstream in state.pools.by_instance.values():
        upstream.throttle.cold.update_limit(limits.get(upstream.registration.service))
    return []


@handles(AttemptEnded, GatewayState)
def _on_attempt_ended(state: GatewayState, event: AttemptEnded, ctx: Context) -> list[Effect]:
    """Suspect a new start after a lost connection if no control host could tell of it."""
    req = state.requests.get(event.key)
    if state.sharing.hosts or req is None or req.number != event.number or req.instance is None:
        return []
    upstream = state.pools.by_instance.get(req.instance)
    if upstream is not None and event.result in _LOST_CONNECTIONS:
        upstream.throttle.cold.assume_cold(ctx.now)
    return []


@handles(PeerFound, GatewayState)
def _on_peer_found(state: GatewayState, event: PeerFound, ctx: Context) -> Iterator[Effect]:
    """Tell a host that has just been linked which upstreams are cold."""
    if Role.CONTROL not in event.peer.roles:
        return
    limits = tuple(
        limit
        for instance, upstream in state.pools.by_instance.items()
        if (limit := _timed_limit(instance, upstream, ctx.now)) is not None
    )
    if limits:
        yield Send(event.peer.node, ShareRequest(ctx.now, limits))


@handles(Tick, GatewayState)
def _on_tick(state: GatewayState, event: Tick, ctx: Context) -> Iterator[Effect]:
    """Log which upstreams have become cold or warm, and ask for leases while any is cold."""
    if not state.cold.limits:
        return
    told: list[TimedLimit] = []
    is_any_cold = False
    for instance, upstream in state.pools.by_instance.items():
        upstream.throttle.cold.expire(ctx.now)
        limit = _timed_limit(instance, upstream, ctx.now)
        if limit is not None:
            is_any_cold = True
        yield from _note_change(instance, upstream, limit, told)
    if is_any_cold and (told or ctx.now - state.cold.asked_at >= ASK_INTERVAL_S):
        state.cold.asked_at = ctx.now
        yield from _ask(state.sharing.hosts, ShareRequest(ctx.now, tuple(told)))


def _note_change(
    instance: InstanceId, upstream: PooledUpstream, limit: TimedLimit | None, told: list[TimedLimit]
) -> Iterator[Effect]:
    """Log whether an upstream has become cold or warm, and add a new limit to those to be told."""
    cold = upstream.throttle.cold
    if limit is not None and cold.until != cold.told_until:
        if len(told) >= MAX_STATED_LIMITS:
            return
        told.append(limit)
    yield from _log_change(instance, upstream, limit)
    cold.told_until = 0 if limit is None else cold.until


def _ask(hosts: Collection[NodeId], request: ShareRequest) -> Iterator[Effect]:
    for node in hosts:
        yield Send(node, request)


def _timed_limit(instance: InstanceId, upstream: PooledUpstream, now: float) -> TimedLimit | None:
    cold = upstream.throttle.cold
    if cold.limit is None or not cold.is_cold(now):
        return None
    if upstream.registration.standing is RegistrationState.GONE:
        return None
    return TimedLimit(instance, upstream.registration.born_ms, cold.limit.limit_per_s, cold.until - now)


def _log_change(instance: InstanceId, upstream: PooledUpstream, limit: TimedLimit | None) -> Iterator[Effect]:
    cold = upstream.throttle.cold
    if (limit is None) == (not cold.told_until):
        return
    fields = (
        ('instance', instance),
        ('service', upstream.registration.service),
        ('source', cold.source.value),
        ('left_s', f'{0 if limit is None else limit.left_s:.1f}'),
        ('sequence', str(upstream.registration.sequence)),
    )
    yield Log('info', 'upstream is warm again' if limit is None else 'upstream is cold', fields)
