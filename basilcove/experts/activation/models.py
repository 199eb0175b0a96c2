"""State of the activation of a group's expert maps."""

import enum
from dataclasses import dataclass, field

from basilcove.core.ids import FencingNumber, GroupName, Incarnation, NodeId, Step, UpstreamName
from basilcove.experts.models import ExpertMap
from basilcove.orders.messages import EngineStatus, Order

_NO_GROUP = GroupName('')
_NO_STEP = Step(0)


class Phase(enum.Enum):
    """Phase of the coordinator of a group."""

    NO_LEASE = 'no_lease'
    # The newest recorded decision is read.
    READING = 'reading'
    # All engines get the newest decision, so that none stays armed.
    SETTLING = 'settling'
    IDLE = 'idle'
    PREPARING = 'preparing'
    ARMING = 'arming'
    # The catalog records whether the map is accepted.
    DECIDING = 'deciding'


@dataclass(frozen=True, slots=True)
class Lease:
    """The group's lease; times on this process's monotonic clock."""

    fence: FencingNumber
    until: float
    renew_at: float


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a map is accepted, and the step of the switch to it; version 0 if there is no decision."""

    version: int = 0
    step: Step = _NO_STEP
    accepted: bool = False


@dataclass
class Member:
    """An upstream of the group; ``is_done`` refers to the present phase."""

    agent: NodeId
    status: EngineStatus | None = None
    next_send_at: float = 0
    is_done: bool = False


@dataclass
class ActivationState:
    """The coordinator of a group, on each agent of the group; it acts only while it holds the lease.

    ``current`` is the accepted map if its content is known, ``target`` the one that is being
    installed, ``wanted`` the next one to install. ``decision`` is the newest recorded decision,
    ``proposed`` the one to record next.
    """

    node: NodeId
    incarnation: Incarnation
    group: GroupName = _NO_GROUP
    members: dict[UpstreamName, Member] = field(default_factory=dict)
    phase: Phase = Phase.NO_LEASE
    lease: Lease | None = None
    decision: Decision = field(default_factory=Decision)
    current: ExpertMap | None = None
    target: ExpertMap | None = None
    wanted: ExpertMap | None = None
    proposed: Decision = field(default_factory=Decision)
    deadline: float = 0
    # Number of phases entered, by which results of an earlier phase are recognised and ignored.
    phase_number: int = 0
    # Orders outside of activations, by id, with the time when each is sent next.
    orders: dict[str, tuple[Order, float]] = field(default_factory=dict)
    # Ids of the pending proposal for the lease, and of the pending query or proposal for the decision.
    lease_proposal_id: str = ''
    lease_requested_at: float = 0
    lease_retry_at: float = 0
    decision_call_id: str = ''
    decision_retry_at: float = 0
    last_number: int = 0

    @property
    def holder(self) -> str:
        """Name under which this process start holds leases."""
        return f'{self.node}/{self.incarnation}'

    def next_id(self, purpose: str) -> str:
        """Return a new id of a proposal, query or order of this process start."""
        self.last_number += 1
        return f'activation/{self.holder}/{purpose}/{self.last_number}'

    def enter(self, phase: Phase, deadline: float = 0) -> None:
        """Begin a phase."""
        self.phase = phase
        self.deadline = deadline
        self.phase_number += 1
        self.decision_call_id = ''
        self.decision_retry_at = 0
        for member in self.members.values():
            member.is_done = False
            member.next_send_at = 0

    def drop_lease(self) -> None:
        """Stop acting for the group; another coordinator takes over."""
        self.lease = None
        self.lease_proposal_id = ''
        self.target = None
        self.current = None
        self.wanted = None
        self.orders.clear()
        self.enter(Phase.NO_LEASE)
