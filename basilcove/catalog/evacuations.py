"""Applies evacuations and restores of availability zones."""

from basilcove.catalog.commands import EvacuateZone, RestoreZone
from basilcove.catalog.models import CatalogState
from basilcove.catalog.outcomes import CommandRefused, ZoneChanged, ZoneConflict
from basilcove.catalog.registry import applies
from basilcove.core.events import Message
from basilcove.zones.const import MAX_EVACUATED_ZONES, MAX_ZONE_LENGTH
from basilcove.zones.models import Evacuation, Evacuations


@applies(EvacuateZone)
def _evacuate_zone(state: CatalogState, command: EvacuateZone) -> Message:
    if not 0 < len(command.zone) <= MAX_ZONE_LENGTH:
        return CommandRefused(f'the name of a zone has 1 to {MAX_ZONE_LENGTH} characters')
    changed = state.evacuations.evacuate(Evacuation(command.zone, state.time, command.requester))
    if len(changed.rows) > MAX_EVACUATED_ZONES:
        return CommandRefused(f'{MAX_EVACUATED_ZONES} zones are evacuated already')
    return _change(state, changed, command.seen_version)


@applies(RestoreZone)
def _restore_zone(state: CatalogState, command: RestoreZone) -> Message:
    changed = state.evacuations.restore(command.zone, state.time, command.requester)
    return _change(state, changed, command.seen_version)


def _change(state: CatalogState, changed: Evacuations, seen_version: int | None) -> Message:
    """Replace the set; a late change, whose sender didn't see the present one, has no effect."""
    version = state.evacuations.version
    if changed.version != version and seen_version not in {None, version}:
        return ZoneConflict(version)
    state.evacuations = changed
    return ZoneChanged(changed.version)
