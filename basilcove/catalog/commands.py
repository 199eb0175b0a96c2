"""Commands of the replicated state machine, and reads of it."""

from dataclasses import dataclass

from basilcove.catalog import catalog_pb2 as pb
from basilcove.core.events import Message
from basilcove.core.ids import (
    AttemptId,
    EnvironmentName,
    FencingNumber,
    GroupName,
    NodeId,
    RequestId,
    Revision,
    Stage,
    Step,
    Zone,
)
from basilcove.helpers.codec import message

NO_ENVIRONMENT = EnvironmentName('')
NO_REQUEST_ID = RequestId('')


@message('catalog.apply_document', pb.ApplyDocument)
@dataclass(frozen=True, slots=True)
class ApplyDocument(Message):
    """Replaces a document (canonical JSON) if its revision is the expected one; 0 for none."""

    environment: EnvironmentName
    stage: Stage
    expected_revision: Revision
    document: str
    request_id: RequestId


@message('catalog.put_document', pb.PutDocument)
@dataclass(frozen=True, slots=True)
class PutDocument(Message):
    """Replaces a document (canonical JSON) by one of a higher revision; any other changes nothing.

    The operator numbers the revisions, so a resend needs no request id.
    """

    environment: EnvironmentName
    stage: Stage
    revision: Revision
    document: str


@message('catalog.trial_evidence', pb.TrialEvidence)
@dataclass(frozen=True, slots=True)
class TrialEvidence(Message):
    """Request counts of a trial revision, summed by the leader."""

    revision: Revision
    requests: int
    failures: int
    violations: int


@message('catalog.promote_document', pb.PromoteDocument)
@dataclass(frozen=True, slots=True)
class PromoteDocument(Message):
    """Copies trial to production if trial has the expected revision and enough evidence.

    The leader sets ``evidence``; a value from the proposer is ignored.
    """

    environment: EnvironmentName
    expected_revision: Revision
    request_id: RequestId
    evidence: TrialEvidence | None = None


@message('catalog.claim', pb.Claim)
@dataclass(frozen=True, slots=True)
class Claim(Message):
    """Asks for the right to run a call once; ``fingerprint`` identifies its content.

    The limits in the environment's document bound the number of claims and their retention.
    """

    key: str
    fingerprint: str
    owner: NodeId
    attempt_id: AttemptId
    environment: EnvironmentName = NO_ENVIRONMENT


@message('catalog.complete_claim', pb.CompleteClaim)
@dataclass(frozen=True, slots=True)
class CompleteClaim(Message):
    """Completes a claim with the first answer; one over 16 KiB is recorded without its body."""

    key: str
    attempt_id: AttemptId
    answer: bytes
    environment: EnvironmentName = NO_ENVIRONMENT


@message('catalog.release_claim', pb.ReleaseClaim)
@dataclass(frozen=True, slots=True)
class ReleaseClaim(Message):
    """Releases a claim; the attempt is confirmed not to have run, and can't be granted the claim again."""

    key: str
    attempt_id: AttemptId
    environment: EnvironmentName = NO_ENVIRONMENT


@message('catalog.abandon_claim', pb.AbandonClaim)
@dataclass(frozen=True, slots=True)
class AbandonClaim(Message):
    """Records that the outcome of the attempt is unknown."""

    key: str
    attempt_id: AttemptId
    environment: EnvironmentName = NO_ENVIRONMENT


@message('catalog.acquire_lease', pb.AcquireLease)
@dataclass(frozen=True, slots=True)
class AcquireLease(Message):
    """Asks for a lease; a new holder gets a fencing number above all earlier ones."""

    name: str
    holder: str
    duration_s: float


@message('catalog.renew_lease', pb.RenewLease)
@dataclass(frozen=True, slots=True)
class RenewLease(Message):
    """Extends a lease that is still held under this fencing number."""

    name: str
    holder: str
    fence: FencingNumber
    duration_s: float


@message('catalog.decide_map', pb.DecideMap)
@dataclass(frozen=True, slots=True)
class DecideMap(Message):
    """Records whether a version of an expert map is activated at a step; the first decision is final."""

    group: GroupName
    version: int
    step: Step
    fence: FencingNumber
    accepted: bool


@message('catalog.admit_host', pb.AdmitHost)
@dataclass(frozen=True, slots=True)
class AdmitHost(Message):
    """Allows a host to join the control group as a learner."""

    node: NodeId
    request_id: RequestId


@message('catalog.remove_host', pb.RemoveHost)
@dataclass(frozen=True, slots=True)
class RemoveHost(Message):
    """Removes a host from the control group."""

    node: NodeId
    request_id: RequestId


@message('catalog.refuse_host_change', pb.RefuseHostChange)
@dataclass(frozen=True, slots=True)
class RefuseHostChange(Message):
    """Records the refusal of a change of the control group, so that a resend is refused too.

    Proposed by the leader; ``digest`` is that of the refused command.
    """

    request_id: RequestId
    digest: int
    reason: str


@message('catalog.evacuate_zone', pb.EvacuateZone)
@dataclass(frozen=True, slots=True)
class EvacuateZone(Message):
    """Asks that no request be sent to the upstreams of an availability zone, whether it is known or not.

    Without a request id, a resend that arrives after the opposite change can't be told from a new command.
    ``seen_version`` is the version of the zones that the sender saw; a newer one is not changed.
    """

    zone: Zone
    requester: str
    request_id: RequestId = NO_REQUEST_ID
    seen_version: int | None = None


@message('catalog.restore_zone', pb.RestoreZone)
@dataclass(frozen=True, slots=True)
class RestoreZone(Message):
    """Reverts the evacuation of an availability zone; the fields are those of ``EvacuateZone``."""

    zone: Zone
    requester: str
    request_id: RequestId = NO_REQUEST_ID
    seen_version: int | None = None


@message('catalog.read_document', pb.ReadDocument)
@dataclass(frozen=True, slots=True)
class ReadDocument(Message):
    """Reads the newest document of a stage."""

    environment: EnvironmentName
    stage: Stage


@message('catalog.read_revision', pb.ReadRevision)
@dataclass(frozen=True, slots=True)
class ReadRevision(Message):
    """Reads the newest revision of a stage, without its document."""

    environment: EnvironmentName
    stage: Stage


@message('catalog.read_lease', pb.ReadLease)
@dataclass(frozen=True, slots=True)
class ReadLease(Message):
    """Reads a lease."""

    name: str


@message('catalog.read_map', pb.ReadMap)
@dataclass(frozen=True, slots=True)
class ReadMap(Message):
    """Reads the newest decision on a group's expert map."""

    group: GroupName


@message('catalog.read_members', pb.ReadMembers)
@dataclass(frozen=True, slots=True)
class ReadMembers(Message):
    """Reads the state of the control group."""


@message('catalog.read_evacuations', pb.ReadEvacuations)
@dataclass(frozen=True, slots=True)
class ReadEvacuations(Message):
    """Reads the evacuated availability zones."""
