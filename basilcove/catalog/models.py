"""The replicated state."""

import enum
from dataclasses import dataclass, field

from basilcove.core.ids import (
    AttemptId,
    EnvironmentName,
    FencingNumber,
    GroupName,
    NodeId,
    Revision,
    Stage,
    Step,
)
from basilcove.environment.models import Limits
from basilcove.zones.models import Evacuations

_NO_FENCE = FencingNumber(0)

DocumentKey = tuple[EnvironmentName, Stage]


class ClaimState(enum.Enum):
    """Known state of the call that a claim protects."""

    GRANTED = 0
    COMPLETED = 1
    UNKNOWN = 2
    RELEASED = 3


@dataclass(frozen=True, slots=True)
class DocumentRow:
    """A document as canonical JSON; ``promoted_from`` is the trial revision, 0 in trial."""

    environment: EnvironmentName
    stage: Stage
    revision: Revision
    text: str
    accepted_at: float
    promoted_from: Revision


@dataclass(slots=True)
class ClaimRow:
    """One claim; ``former`` are attempts that released it."""

    fingerprint: str
    owner: NodeId
    attempt_id: AttemptId
    state: ClaimState
    updated_at: float
    answer: bytes | None = None
    former: tuple[AttemptId, ...] = ()


@dataclass(slots=True)
class ClaimTable:
    """Claims of one environment by key, oldest change first."""

    rows: dict[str, ClaimRow] = field(default_factory=dict)
    answer_bytes: int = 0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """A lease; ``expires`` is in replicated time."""

    name: str
    holder: str
    fence: FencingNumber
    expires: float


@dataclass(frozen=True, slots=True)
class MapRow:
    """The newest decision on a group's expert map."""

    group: GroupName
    version: int
    step: Step
    accepted: bool


@dataclass(frozen=True, slots=True)
class AnswerRow:
    """First answer to a request or proposal; ``digest`` identifies the command."""

    key: str
    time: float
    digest: int
    kind: str
    body: bytes


@dataclass(slots=True)
class CatalogState:
    """State that is equal in all replicas after the same entry.

    ``time`` is the replicated time: the newest time of an applied entry, in seconds since the epoch.
    """

    time: float = 0
    fence: FencingNumber = _NO_FENCE
    documents: dict[DocumentKey, DocumentRow] = field(default_factory=dict)
    leases: dict[str, LeaseRow] = field(default_factory=dict)
    maps: dict[GroupName, MapRow] = field(default_factory=dict)
    requests: dict[str, AnswerRow] = field(default_factory=dict)
    proposals: dict[str, AnswerRow] = field(default_factory=dict)
    claims: dict[EnvironmentName, ClaimTable] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)
    # Read from the documents when they are first needed, so that the copies of two replicas may differ.
    limits: dict[EnvironmentName, Limits] = field(default_factory=dict, compare=False)
