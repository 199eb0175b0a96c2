"""Applies evacuations and restores of availability zones."""

from basilcove.catalog.commands import EvacuateZone, RestoreZone
from basilcove.catalog.models import CatalogState
from basilcove.catalog.outcomes import CommandRefused, ZoneChanged
from basilcove.catalog.registry import applies
from basilcove.core.events import Message
from basilcove.zones.const import MAX_EVACUATED_ZONES, MAX_ZONE_LENGTH
from basilcove.zones.models import Evacuation


@applies(EvacuateZone)
def _evacuate_zone(state: CatalogState, command: EvacuateZone) -> Message:
    if not 0 < len(command.zone) <= MAX_ZONE_LENGTH:
        return CommandRefused(f'the name of a zone has 1 to {MAX_ZONE_LENGTH} characters')
    changed = state.evacuations.evacuate(Evacuation(command.zone, state.time, command.requester))
    if len(changed.rows) > MAX_EVACUATED_ZONES:
        return CommandRefused(f'{MAX_EVACUATED_ZONES} zones are evacuated already')
    state.evacuations = changed
    return ZoneChanged(changed.version)


@applies(RestoreZone)
def _restore_zone(state: CatalogState, command: RestoreZone) -> Message:
    state.evacuations = state.evacuations.restore(command.zone, state.time, command.requester)
    return ZoneChanged(state.evacuations.version)
