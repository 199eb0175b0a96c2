"""Commands on availability zones, as fire calls them."""

from basilcove.cli import rendering
from basilcove.cli.client import user_name
from basilcove.cli.exceptions import UsageError
from basilcove.cli.messages import ZoneReply, ZoneRequest, ZonesReply, ZonesRequest
from basilcove.cli.session import Session
from basilcove.core.ids import Zone
from basilcove.zones.const import MAX_ZONE_LENGTH


class Zones:
    """Evacuates and restores availability zones.

    Commands:
        list            print the evacuated zones
        evacuate ZONE   send no requests to the upstreams of a zone
        restore ZONE    revert the evacuation of a zone
    """

    def __init__(self, session: Session) -> None:
        """Use the options of the tool."""
        self._session = session

    def list(self) -> None:
        """Print the evacuated zones, as a majority of the control group confirms them."""
        reply = self._session.ask(ZonesRequest(), ZonesReply)
        self._session.print(reply, rendering.format_zones(reply))

    def evacuate(self, zone: str, *, request_id: str = '') -> None:
        """Send no requests to the upstreams of a zone; running ones go on.

        Args:
            zone: Name of the zone; it need not be known yet.
            request_id: Repeat it to learn the outcome of a request whose answer was lost.
        """
        self._change(zone, 'evacuated', request_id)

    def restore(self, zone: str, *, request_id: str = '') -> None:
        """Revert the evacuation of a zone.

        Args:
            zone: Name of the zone.
            request_id: Repeat it to learn the outcome of a request whose answer was lost.
        """
        self._change(zone, 'restored', request_id)

    def _change(self, zone: str, change: str, request_id: str) -> None:
        if not 0 < len(zone) <= MAX_ZONE_LENGTH:
            raise UsageError(f'the name of a zone has 1 to {MAX_ZONE_LENGTH} characters')
        identifier = self._session.request_id(request_id)
        request = ZoneRequest(Zone(zone), change == 'evacuated', user_name(), identifier)
        reply = self._session.ask(request, ZoneReply)
        self._session.print(reply, f'{zone}: {change}, version {reply.version}', request_id=identifier)
