"""Lets an adapter evacuate and restore availability zones."""

from basilcove.catalog.commands import EvacuateZone, RestoreZone
from basilcove.catalog.outcomes import ZoneChanged
from basilcove.core.ids import NodeId, Zone
from basilcove.wiring.catalog_gate import CatalogGate
from basilcove.wiring.const import ZONE_TIMEOUT_S


class ZoneGate:
    """Changes of the evacuated zones, as an adapter makes them."""

    def __init__(self, catalog: CatalogGate, node: NodeId) -> None:
        """Make changes in the name of the adapter of a node."""
        self._catalog = catalog
        self._requester = f'adapter of {node}'

    async def evacuate(self, zone: Zone) -> int | None:
        """Evacuate a zone; return the version once a majority holds it durably, None if it isn't known."""
        return await self._change(EvacuateZone(zone, self._requester))

    async def restore(self, zone: Zone) -> int | None:
        """Restore a zone; return the version once a majority holds it durably, None if it isn't known."""
        return await self._change(RestoreZone(zone, self._requester))

    async def _change(self, command: EvacuateZone | RestoreZone) -> int | None:
        # Proposed even if this replica has the change: another host may have reverted it since.
        outcome = await self._catalog.propose(command, ZONE_TIMEOUT_S)
        return outcome.version if isinstance(outcome, ZoneChanged) else None
