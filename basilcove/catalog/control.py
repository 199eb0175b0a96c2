"""State of a control replica: the replicated state, and the proposals and reads in progress."""

from dataclasses import dataclass, field
from typing import Self

from basilcove.catalog.messages import Ask, TrialReport
from basilcove.catalog.models import CatalogState
from basilcove.catalog.snapshot import decode_state
from basilcove.core.ids import EnvironmentName, Incarnation, NodeId
from basilcove.storage.models import Recovered


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """A proposal or read in progress and the peer to answer; ``index`` is 0 until it is in the log."""

    ask: Ask
    peer: NodeId
    index: int = 0
    term: int = 0


@dataclass(slots=True)
class ControlState:
    """The replicated state of this replica, applied up to the entry at ``applied``, and pending answers.

    ``seen_attempts`` holds the time at which each attempt arrived, oldest first.
    """

    node: NodeId
    catalog: CatalogState = field(default_factory=CatalogState)
    applied: int = 0
    has_announced_documents: bool = False
    is_stopping: bool = False
    is_stopped: bool = False
    pending_proposals: dict[str, PendingAnswer] = field(default_factory=dict)
    proposals_by_index: dict[int, str] = field(default_factory=dict)
    pending_reads: dict[str, PendingAnswer] = field(default_factory=dict)
    seen_attempts: dict[tuple[NodeId, str, int], float] = field(default_factory=dict)
    reports: dict[EnvironmentName, dict[tuple[NodeId, Incarnation], TrialReport]] = field(
        default_factory=dict
    )

    @classmethod
    def from_recovered(cls, node: NodeId, recovered: Recovered) -> Self:
        """Return the state of a process that starts with the recovered data of its disk."""
        state = cls(node)
        if recovered.snapshot is not None:
            state.catalog = decode_state(recovered.snapshot.body)
            state.applied = recovered.snapshot.index
        return state
