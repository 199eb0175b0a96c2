"""Leases with a fencing number, and decisions made under them."""

from basilcove.catalog.commands import AcquireLease, DecideMap, RenewLease
from basilcove.catalog.const import LEASE_RETENTION_S, MAX_LEASE_S, MAX_LEASES, MAX_MAPS
from basilcove.catalog.models import CatalogState, LeaseRow, MapRow
from basilcove.catalog.outcomes import CommandRefused, LeaseGranted, LeaseHeld, LeaseLost, MapDecided
from basilcove.catalog.registry import applies
from basilcove.core.events import Message
from basilcove.core.ids import FencingNumber


@applies(AcquireLease)
def _acquire(state: CatalogState, command: AcquireLease) -> Message:
    if not 0 < command.duration_s <= MAX_LEASE_S:
        return CommandRefused(f'the duration must be in (0, {MAX_LEASE_S:.0f}] s')
    lease = state.leases.get(command.name)
    if lease is None and len(state.leases) >= MAX_LEASES:
        return CommandRefused('the table of leases is full')
    is_live = lease is not None and lease.expires > state.time
    if lease is not None and is_live and lease.holder != command.holder:
        return LeaseHeld(lease.holder, lease.expires - state.time)
    fence = lease.fence if lease is not None and is_live else FencingNumber(state.fence + 1)
    state.fence = max(state.fence, fence)
    return _grant(state, command.name, command.holder, fence, command.duration_s)


@applies(RenewLease)
def _renew(state: CatalogState, command: RenewLease) -> Message:
    if not 0 < command.duration_s <= MAX_LEASE_S:
        return CommandRefused(f'the duration must be in (0, {MAX_LEASE_S:.0f}] s')
    lease = state.leases.get(command.name)
    if lease is None or (lease.holder, lease.fence) != (command.holder, command.fence):
        return LeaseLost()
    if lease.expires <= state.time:
        return LeaseLost()
    return _grant(state, command.name, command.holder, command.fence, command.duration_s)


def _grant(state: CatalogState, name: str, holder: str, fence: FencingNumber, duration_s: float) -> Message:
    lease = state.leases.get(name)
    expires = state.time + duration_s
    if lease is not None and lease.fence == fence:
        # A renewal never shortens the duration that the holder was granted before.
        expires = max(expires, lease.expires)
    state.leases[name] = LeaseRow(name, holder, fence, expires)
    return LeaseGranted(fence, duration_s)


@applies(DecideMap)
def _decide_map(state: CatalogState, command: DecideMap) -> Message:
    decided = state.maps.get(command.group)
    if decided is not None and decided.version == command.version:
        return MapDecided(decided.version, decided.step, decided.accepted)
    if decided is not None and decided.version > command.version:
        return CommandRefused(f'version {decided.version} is decided already')
    if decided is None and len(state.maps) >= MAX_MAPS:
        return CommandRefused('the table of maps is full')
    if not _is_live(state, command.fence):
        return CommandRefused(f'no lease is held under fencing number {command.fence}')
    state.maps[command.group] = MapRow(command.group, command.version, command.step, command.accepted)
    return MapDecided(command.version, command.step, command.accepted)


def _is_live(state: CatalogState, fence: FencingNumber) -> bool:
    return any(lease.fence == fence and lease.expires > state.time for lease in state.leases.values())


def drop_expired_leases(state: CatalogState) -> None:
    """Drop leases that expired more than ``LEASE_RETENTION_S`` ago; fencing numbers are not reused."""
    oldest_kept = state.time - LEASE_RETENTION_S
    expired = [name for name, lease in state.leases.items() if lease.expires < oldest_kept]
    for name in expired:
        state.leases.pop(name)
