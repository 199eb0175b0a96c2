"""Answers to reads of the applied state."""

from basilcove.catalog.commands import (
    ReadDocument,
    ReadEvacuations,
    ReadLease,
    ReadMap,
    ReadMembers,
    ReadRevision,
)
from basilcove.catalog.control import ControlState
from basilcove.catalog.models import CatalogState
from basilcove.catalog.outcomes import (
    CommandRefused,
    DocumentRead,
    EvacuationsRead,
    LeaseRead,
    MapDecided,
    MembersRead,
    RevisionRead,
)
from basilcove.consensus.models import ConsensusState
from basilcove.core.events import Message
from basilcove.core.ids import FencingNumber, NodeId, Revision, Step


def answer_read(state: ControlState, consensus: ConsensusState, read: Message) -> Message:
    """Return the answer to a read; CommandRefused if the message is no read."""
    catalog = state.catalog
    if isinstance(read, ReadDocument):
        row = catalog.documents.get((read.environment, read.stage))
        return DocumentRead(Revision(0), '') if row is None else DocumentRead(row.revision, row.text)
    if isinstance(read, ReadRevision):
        row = catalog.documents.get((read.environment, read.stage))
        return RevisionRead(Revision(0) if row is None else row.revision, catalog.evacuations.version)
    if isinstance(read, ReadEvacuations):
        return EvacuationsRead(catalog.evacuations)
    if isinstance(read, ReadLease):
        return _read_lease(catalog, read)
    if isinstance(read, ReadMap):
        decided = catalog.maps.get(read.group)
        if decided is None:
            return MapDecided(0, Step(0), accepted=False)
        return MapDecided(decided.version, decided.step, decided.accepted)
    if isinstance(read, ReadMembers):
        return _read_members(state, consensus)
    return CommandRefused(f'{type(read).__name__} is not a read')


def _read_lease(catalog: CatalogState, read: ReadLease) -> Message:
    lease = catalog.leases.get(read.name)
    if lease is None:
        return LeaseRead('', FencingNumber(0), 0)
    return LeaseRead(lease.holder, lease.fence, max(0, lease.expires - catalog.time))


def _read_members(state: ControlState, consensus: ConsensusState) -> Message:
    members = consensus.members.members
    return MembersRead(
        consensus.leader_node or NodeId(''),
        tuple(member.node for member in members if member.voter),
        tuple(member.node for member in members if not member.voter),
        consensus.commit,
        tuple(
            f'{row.environment}/{row.stage.value}@{row.revision}' for row in state.catalog.documents.values()
        ),
    )
