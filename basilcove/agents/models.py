"""State of attempts at an agent."""

from dataclasses import dataclass, field
from typing import Self

from basilcove.admission.queue import AdmissionQueue
from basilcove.agents.config import AgentsConfig
from basilcove.agents.memory import AttemptMemory
from basilcove.core.events import Peer
from basilcove.core.ids import AttemptId, Incarnation, NodeId, Revision, UpstreamName
from basilcove.requests.messages import StartAttempt


@dataclass(slots=True)
class AgentAttempt:
    """An attempt that waits or runs; times in monotonic seconds.

    ``tokens`` is how many tokens the upstream has generated. ``entry`` is the entry's process,
    to which nothing is sent once ``is_orphaned``.
    """

    start: StartAttempt
    entry: Peer
    deadline: float
    arrived_at: float
    is_running: bool = False
    called_at: float = 0
    is_orphaned: bool = False
    progressed_at: float = 0
    tokens: int = 0

    @property
    def work(self) -> float:
        """Return the work done so far in tokens, or the estimate if the upstream reported none."""
        if self.tokens == 0:
            return self.start.work
        return self.start.prompt_work + self.tokens


@dataclass
class AgentState:
    """All attempts at one agent; ``leaving_reason`` states why no new work is accepted, or is None."""

    upstream: UpstreamName
    incarnation: Incarnation
    queue: AdmissionQueue
    config: AgentsConfig = field(default_factory=AgentsConfig)
    revision: Revision | None = None
    is_allowed: bool = False
    leaving_reason: str | None = None
    grace_ends_at: float | None = None
    stop_by: float | None = None
    stop_completed: bool = False
    links: dict[NodeId, Peer] = field(default_factory=dict)
    attempts: dict[AttemptId, AgentAttempt] = field(default_factory=dict)
    running: dict[AttemptId, AgentAttempt] = field(default_factory=dict)
    memory: AttemptMemory = field(default_factory=AttemptMemory)

    @classmethod
    def from_config(cls, cfg: AgentsConfig, upstream: UpstreamName, incarnation: Incarnation) -> Self:
        """Return the state of an agent that has just started; the document sets the number of slots."""
        return cls(upstream, incarnation, AdmissionQueue(1), cfg)
