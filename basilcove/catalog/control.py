"""State of a control replica besides the replicated state."""

from dataclasses import dataclass, field
from typing import Self

from basilcove.catalog.messages import Ask, TrialReport
from basilcove.catalog.models import CatalogState
from basilcove.catalog.snapshot import decode_state
from basilcove.core.ids import EnvironmentName, Incarnation, NodeId
from basilcove.storage.models import Recovered


@dataclass(frozen=True, slots=True)
class Waiting:
    """A question under way and the peer to answer; ``index`` is 0 until it is in the log."""

    ask: Ask
    peer: NodeId
    index: int = 0
    term: int = 0


@dataclass(slots=True)
class ControlState:
    """The replicated state of this replica and the questions that it answers."""

    node: NodeId
    catalog: CatalogState = field(default_factory=CatalogState)
    applied: int = 0
    is_announced: bool = False
    is_stopping: bool = False
    is_stopped: bool = False
    waiting: dict[str, Waiting] = field(default_factory=dict)
    tokens: dict[int, str] = field(default_factory=dict)
    reads: dict[str, Waiting] = field(default_factory=dict)
    seen: dict[tuple[NodeId, str, int], float] = field(default_factory=dict)
    reports: dict[EnvironmentName, dict[tuple[NodeId, Incarnation], TrialReport]] = field(
        default_factory=dict
    )

    @classmethod
    def from_recovered(cls, node: NodeId, recovered: Recovered) -> Self:
        """Return the state of a process that starts with what its disk holds."""
        state = cls(node)
        if recovered.snapshot is not None:
            state.catalog = decode_state(recovered.snapshot.body)
            state.applied = recovered.snapshot.index
        return state
