"""Tagged outcomes of commands and answers to reads."""

from dataclasses import dataclass

from basilcove.catalog import catalog_pb2 as pb
from basilcove.core.events import Message
from basilcove.core.ids import AttemptId, FencingNumber, NodeId, Revision, Step
from basilcove.helpers.codec import message
from basilcove.zones.models import Evacuations


@message('catalog.document_applied', pb.DocumentApplied)
@dataclass(frozen=True, slots=True)
class DocumentApplied(Message):
    """The document was accepted under this revision of its stage."""

    revision: Revision


@message('catalog.revision_conflict', pb.RevisionConflict)
@dataclass(frozen=True, slots=True)
class RevisionConflict(Message):
    """The expected revision is not the current one."""

    current: Revision


@message('catalog.document_refused', pb.DocumentRefused)
@dataclass(frozen=True, slots=True)
class DocumentRefused(Message):
    """The document has faults."""

    faults: tuple[str, ...]


@message('catalog.promotion_refused', pb.PromotionRefused)
@dataclass(frozen=True, slots=True)
class PromotionRefused(Message):
    """The evidence for the trial revision is insufficient; lists the missing parts."""

    missing: tuple[str, ...]


@message('catalog.claim_granted', pb.ClaimGranted)
@dataclass(frozen=True, slots=True)
class ClaimGranted(Message):
    """The attempt, and no other, may run the call."""


@message('catalog.claim_pending', pb.ClaimPending)
@dataclass(frozen=True, slots=True)
class ClaimPending(Message):
    """Another attempt holds the claim."""

    owner: NodeId
    attempt_id: AttemptId


@message('catalog.claim_completed', pb.ClaimCompleted)
@dataclass(frozen=True, slots=True)
class ClaimCompleted(Message):
    """The call has run; holds the first answer, or None if it was too large to store."""

    answer: bytes | None


@message('catalog.claim_unknown', pb.ClaimUnknown)
@dataclass(frozen=True, slots=True)
class ClaimUnknown(Message):
    """Whether the call ran is unknown."""


@message('catalog.claim_mismatch', pb.ClaimMismatch)
@dataclass(frozen=True, slots=True)
class ClaimMismatch(Message):
    """The key was used for a call with different content."""


@message('catalog.claim_table_full', pb.ClaimTableFull)
@dataclass(frozen=True, slots=True)
class ClaimTableFull(Message):
    """No claim was recorded because the table is full."""


@message('catalog.claim_not_held', pb.ClaimNotHeld)
@dataclass(frozen=True, slots=True)
class ClaimNotHeld(Message):
    """The attempt does not hold the claim."""


@message('catalog.claim_recorded', pb.ClaimRecorded)
@dataclass(frozen=True, slots=True)
class ClaimRecorded(Message):
    """The outcome of the attempt is recorded."""


@message('catalog.lease_granted', pb.LeaseGranted)
@dataclass(frozen=True, slots=True)
class LeaseGranted(Message):
    """The lease is held for ``duration_s`` from when it was asked for."""

    fence: FencingNumber
    duration_s: float


@message('catalog.lease_held', pb.LeaseHeld)
@dataclass(frozen=True, slots=True)
class LeaseHeld(Message):
    """Another holder has the lease."""

    holder: str
    remaining_s: float


@message('catalog.lease_lost', pb.LeaseLost)
@dataclass(frozen=True, slots=True)
class LeaseLost(Message):
    """The lease has expired or has another holder."""


@message('catalog.map_decided', pb.MapDecided)
@dataclass(frozen=True, slots=True)
class MapDecided(Message):
    """The final decision on this version."""

    version: int
    step: Step
    accepted: bool


@message('catalog.command_refused', pb.CommandRefused)
@dataclass(frozen=True, slots=True)
class CommandRefused(Message):
    """The command was not carried out for this reason."""

    reason: str


@message('catalog.members_changed', pb.MembersChanged)
@dataclass(frozen=True, slots=True)
class MembersChanged(Message):
    """The change of the control group is committed."""


@message('catalog.document_read', pb.DocumentRead)
@dataclass(frozen=True, slots=True)
class DocumentRead(Message):
    """The newest document; revision 0 if there is none."""

    revision: Revision
    document: str


@message('catalog.revision_read', pb.RevisionRead)
@dataclass(frozen=True, slots=True)
class RevisionRead(Message):
    """The newest revision, 0 if there is no document, and the version of the evacuated zones."""

    revision: Revision
    evacuations_version: int = 0


@message('catalog.zone_changed', pb.ZoneChanged)
@dataclass(frozen=True, slots=True)
class ZoneChanged(Message):
    """The zone is evacuated or restored as of this version of the evacuated zones."""

    version: int


@message('catalog.zone_conflict', pb.ZoneConflict)
@dataclass(frozen=True, slots=True)
class ZoneConflict(Message):
    """Nothing is changed: the evacuated zones have this version, not the one that the sender saw."""

    version: int


@message('catalog.evacuations_read', pb.EvacuationsRead)
@dataclass(frozen=True, slots=True)
class EvacuationsRead(Message):
    """The evacuated zones."""

    evacuations: Evacuations


@message('catalog.lease_read', pb.LeaseRead)
@dataclass(frozen=True, slots=True)
class LeaseRead(Message):
    """A lease; ``holder`` is empty if none was granted, ``remaining_s`` is 0 if it has expired."""

    holder: str
    fence: FencingNumber
    remaining_s: float


@message('catalog.members_read', pb.MembersRead)
@dataclass(frozen=True, slots=True)
class MembersRead(Message):
    """The control group, and ``environment/stage@revision`` of each document."""

    leader: NodeId
    voters: tuple[NodeId, ...]
    learners: tuple[NodeId, ...]
    commit: int
    documents: tuple[str, ...]
