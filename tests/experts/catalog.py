"""A fake of the catalog for the agents of a simulated group."""

from dataclasses import dataclass

from basilcove.catalog.commands import ReadLease
from basilcove.catalog.events import Propose, Query
from basilcove.catalog.models import CatalogState
from basilcove.catalog.outcomes import LeaseRead, MapDecided
from basilcove.core.events import Effect, Message
from basilcove.core.ids import FencingNumber, GroupName, Step
from basilcove.core.reducer import Context, handles

GROUP = GroupName('riders')


@dataclass(frozen=True)
class CatalogCall(Effect):
    """A proposal or query to the catalog."""

    question: Propose | Query


@dataclass
class CatalogPort:
    """Fake of the catalog's client on a node."""


@handles(Propose, CatalogPort)
def _on_propose(state: CatalogPort, event: Propose, ctx: Context) -> list[Effect]:
    return [CatalogCall(event)]


@handles(Query, CatalogPort)
def _on_query(state: CatalogPort, event: Query, ctx: Context) -> list[Effect]:
    return [CatalogCall(event)]


def read_catalog(catalog: CatalogState, question: Query) -> Message:
    """Return the answer to a read of a lease or of the newest decision."""
    if isinstance(question.read, ReadLease):
        lease = catalog.leases.get(question.read.name)
        return LeaseRead('', FencingNumber(0), 0) if lease is None else LeaseRead('', lease.fence, 1)
    row = catalog.maps.get(GROUP)
    if row is None:
        return MapDecided(0, Step(0), accepted=False)
    return MapDecided(row.version, row.step, row.accepted)
