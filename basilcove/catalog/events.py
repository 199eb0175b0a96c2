"""Events of the catalog and its client."""

from dataclasses import dataclass

from basilcove.core.events import Event, Message
from basilcove.core.ids import EnvironmentName, Revision, Stage
from basilcove.zones.models import Evacuations


@dataclass(frozen=True, slots=True)
class DocumentAccepted(Event):
    """A control replica applied a document, or found it in its snapshot."""

    environment: EnvironmentName
    stage: Stage
    revision: Revision
    document: str


@dataclass(frozen=True, slots=True)
class EvacuationsCommitted(Event):
    """A control replica applied a change of the evacuated zones, or found them in its snapshot."""

    evacuations: Evacuations


@dataclass(frozen=True, slots=True)
class Propose(Event):
    """Asks for a command to be committed; ``deadline`` is on the monotonic clock."""

    proposal_id: str
    command: Message
    deadline: float


@dataclass(frozen=True, slots=True)
class Proposed(Event):
    """The command was committed with this outcome."""

    proposal_id: str
    result: Message


@dataclass(frozen=True, slots=True)
class ProposalFailed(Event):
    """The outcome is unknown; unless ``sent``, the command has not been and will not be carried out."""

    proposal_id: str
    reason: str
    sent: bool


@dataclass(frozen=True, slots=True)
class Query(Event):
    """Asks for a linearizable read; ``deadline`` is on the monotonic clock."""

    query_id: str
    read: Message
    deadline: float


@dataclass(frozen=True, slots=True)
class QueryAnswered(Event):
    """The answer was current at some time after the query."""

    query_id: str
    answer: Message


@dataclass(frozen=True, slots=True)
class QueryFailed(Event):
    """No majority of the control hosts answered in time."""

    query_id: str
    reason: str
