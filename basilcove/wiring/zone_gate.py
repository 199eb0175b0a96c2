"""Lets an adapter evacuate and restore availability zones."""

import time

from basilcove.catalog.commands import EvacuateZone, ReadEvacuations, RestoreZone
from basilcove.catalog.outcomes import EvacuationsRead, ZoneChanged, ZoneConflict
from basilcove.core.ids import NodeId, Zone
from basilcove.wiring.catalog_gate import CatalogGate
from basilcove.wiring.const import ZONE_TIMEOUT_S
from basilcove.wiring.current_calls import IsCurrent


class ZoneGate:
    """Changes of the evacuated zones, as an adapter makes them.

    The calls have no number, so one that is carried out late may revert a newer one. A change is proposed for
    the version that a majority confirmed while the caller waited, and has no effect on a newer version.
    """

    def __init__(self, catalog: CatalogGate, node: NodeId) -> None:
        """Make changes in the name of the adapter of a node."""
        self._catalog = catalog
        self._requester = f'adapter of {node}'

    async def evacuate(self, zone: Zone, is_current: IsCurrent) -> int | None:
        """Evacuate a zone; return the version once a majority holds it durably, None if it isn't known.

        Nothing is begun once ``is_current`` says that the caller may have given up.
        """
        return await self._change(zone, is_current, is_evacuated=True)

    async def restore(self, zone: Zone, is_current: IsCurrent) -> int | None:
        """Restore a zone; the same as for ``evacuate`` holds."""
        return await self._change(zone, is_current, is_evacuated=False)

    async def _change(self, zone: Zone, is_current: IsCurrent, *, is_evacuated: bool) -> int | None:
        until = time.monotonic() + ZONE_TIMEOUT_S
        while is_current() and time.monotonic() < until:
            read = await self._catalog.query(ReadEvacuations(), until - time.monotonic())
            if not isinstance(read, EvacuationsRead):
                return None
            seen = read.evacuations
            if (zone in seen.zones) is is_evacuated:
                return seen.version
            if not is_current():
                return None
            command = self._build(zone, seen.version, is_evacuated=is_evacuated)
            outcome = await self._catalog.propose(command, until - time.monotonic())
            if not isinstance(outcome, ZoneConflict):
                return outcome.version if isinstance(outcome, ZoneChanged) else None
        return None

    def _build(self, zone: Zone, seen_version: int, *, is_evacuated: bool) -> EvacuateZone | RestoreZone:
        change = EvacuateZone if is_evacuated else RestoreZone
        return change(zone, self._requester, seen_version=seen_version)
