"""Keeps the registered upstreams on a control host and notifies the gateways and other control hosts."""

from collections.abc import Iterable

from basilcove.core.events import Count, Effect, Log, PeerFound, PeerLost, Received, Send, Tick
from basilcove.core.ids import InstanceId, Role
from basilcove.core.reducer import Context, handles, handles_message
from basilcove.environment.events import EnvironmentChanged
from basilcove.registry.checks import find_fault
from basilcove.registry.const import FORGOTTEN_AFTER_S, MIN_PAUSE_S, SILENT_AFTER_S
from basilcove.registry.departures import confirm_known, confirm_stored
from basilcove.registry.events import ConfirmDeparture, UpstreamLeft, UpstreamRegistered
from basilcove.registry.messages import Registration, Registrations, RegistrationState
from basilcove.registry.models import RegistryState, Row, Unconfirmed


@handles(PeerFound, RegistryState)
def _on_peer_found(state: RegistryState, event: PeerFound, ctx: Context) -> list[Effect]:
    node = event.peer.node
    if Role.CONTROL in event.peer.roles:
        state.hosts.add(node)
    elif Role.GATEWAY in event.peer.roles:
        state.gateways.add(node)
    else:
        return []
    return [Send(node, _build_message(state, state.rows, ctx.now))]


@handles(PeerLost, RegistryState)
def _on_peer_lost(state: RegistryState, event: PeerLost, ctx: Context) -> list[Effect]:
    state.hosts.discard(event.peer.node)
    state.gateways.discard(event.peer.node)
    return []


@handles(UpstreamRegistered, RegistryState)
def _on_registered(state: RegistryState, event: UpstreamRegistered, ctx: Context) -> list[Effect]:
    """Tell all nodes at once of an upstream that becomes cold, as its usual load would crash it."""
    registration = event.registration
    effects = _merge(state, registration, 'call', ctx.now)
    if not _is_news_of_cold(state, registration):
        return effects
    return [*effects, *_tell_all(state, registration.instance, ctx.now)]


@handles(EnvironmentChanged, RegistryState)
def _on_environment(state: RegistryState, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    services = event.environment.services.items()
    state.cold_services = frozenset(name for name, service in services if service.cold_limit_per_s)
    return []


@handles(UpstreamLeft, RegistryState)
def _on_left(state: RegistryState, event: UpstreamLeft, ctx: Context) -> list[Effect]:
    """Tell all nodes at once: the caller is answered as soon as enough control hosts know of it."""
    registration = event.registration
    effects = _merge(state, registration, 'call', ctx.now)
    row = state.rows.get(registration.instance)
    if row is None or row.registration.standing is not RegistrationState.GONE:
        # A later start has the address, so nothing is sent to this one any more.
        return [*effects, ConfirmDeparture(registration.departure)]
    state.unconfirmed[registration.departure] = Unconfirmed(ctx.now)
    effects.extend(_tell_all(state, registration.instance, ctx.now))
    return [*effects, *confirm_known(state, registration.departure)]


def _tell_all(state: RegistryState, instance: InstanceId, now: float) -> list[Effect]:
    msg = _build_message(state, [instance], now)
    state.changed.pop(instance, None)
    state.renewed.pop(instance, None)
    return [Send(node, msg) for node in (*sorted(state.hosts), *sorted(state.gateways))]


@handles_message(Registrations, RegistryState)
def _on_registrations(state: RegistryState, event: Received, ctx: Context) -> list[Effect]:
    msg = event.message
    assert isinstance(msg, Registrations)
    effects: list[Effect] = []
    for registration in msg.registrations:
        if registration.instance not in msg.silent:
            effects.extend(_merge(state, registration, event.peer.node, ctx.now))
    cold = [each.instance for each in msg.registrations if _is_news_of_cold(state, each)]
    if cold:
        news = _build_message(state, cold, ctx.now)
        effects.extend(Send(node, news) for node in sorted(state.gateways))
        for instance in cold:
            state.changed.pop(instance, None)
    return [*effects, *confirm_stored(event.peer.node, msg)]


def _is_news_of_cold(state: RegistryState, registration: Registration) -> bool:
    """Return whether gateways have yet to hear that an upstream has become cold."""
    is_limited = registration.service in state.cold_services
    return is_limited and registration.cold_s > 0 and registration.instance in state.changed


def _merge(state: RegistryState, registration: Registration, source: str, now: float) -> list[Effect]:
    fault = find_fault(registration)
    if fault is not None:
        return _drop(registration, fault, source)
    former = state.rows.get(registration.instance)
    if not state.merge(registration, now):
        return []
    if source == 'call':
        state.renewed[registration.instance] = None
    if registration.instance not in state.changed:
        return []
    fields = (
        ('instance', registration.instance),
        ('service', registration.service),
        ('address', registration.address),
        ('standing', registration.standing.value),
        ('former_standing', former.registration.standing.value if former else 'unknown'),
        ('born_ms', str(registration.born_ms)),
        ('sequence', str(registration.sequence)),
        ('source', source),
    )
    return [Log('info', 'upstream registered', fields)]


def _drop(registration: Registration, fault: str, source: str) -> list[Effect]:
    fields = (('instance', repr(registration.instance)), ('reason', fault), ('source', source))
    return [Log('warning', 'registration dropped', fields), Count('registrations_dropped')]


@handles(Tick, RegistryState)
def _on_tick(state: RegistryState, event: Tick, ctx: Context) -> list[Effect]:
    _discount_pause(state, ctx.now)
    state.drop_unconfirmed(ctx.now)
    effects = _expire_rows(state, ctx.now)
    if state.changed:
        msg = _build_message(state, state.changed, ctx.now)
        effects.extend(Send(node, msg) for node in sorted(state.gateways))
    if state.renewed and state.hosts:
        msg = _build_message(state, state.renewed, ctx.now)
        effects.extend(Send(node, msg) for node in sorted(state.hosts))
    state.changed.clear()
    state.renewed.clear()
    return effects


def _discount_pause(state: RegistryState, now: float) -> None:
    if state.ticked_at is not None and now - state.ticked_at > MIN_PAUSE_S:
        paused_s = now - state.ticked_at
        for row in state.rows.values():
            row.renewed_at = min(now, row.renewed_at + paused_s)
    state.ticked_at = now


def _expire_rows(state: RegistryState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for instance, row in tuple(state.rows.items()):
        silent_s = now - row.renewed_at
        if silent_s > FORGOTTEN_AFTER_S:
            _forget(state, instance, row)
        elif (
            silent_s > SILENT_AFTER_S
            and not row.is_silent
            and row.registration.standing is not RegistrationState.GONE
        ):
            row.is_silent = True
            state.changed[instance] = None
            fields = (('instance', instance), ('silent_s', f'{silent_s:.1f}'))
            effects.append(Log('warning', 'upstream no longer registers', fields))
    return effects


def _forget(state: RegistryState, instance: InstanceId, row: Row) -> None:
    del state.rows[instance]
    if state.addresses.get(row.registration.address) is row.registration:
        del state.addresses[row.registration.address]


def _build_message(state: RegistryState, instances: Iterable[InstanceId], now: float) -> Registrations:
    rows = [state.rows[instance] for instance in instances if instance in state.rows]
    silent = tuple(row.registration.instance for row in rows if row.is_silent)
    return Registrations(tuple(row.current(now) for row in rows), silent, len(state.gateways))
