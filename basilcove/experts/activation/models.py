"""State of the activation of a group's expert maps."""

import enum
from dataclasses import dataclass, field

from basilcove.core.ids import FencingNumber, GroupName, Incarnation, NodeId, Step, UpstreamName
from basilcove.experts.models import ExpertMap
from basilcove.orders.messages import EngineStatus, Order

_NO_GROUP = GroupName('')
_NO_STEP = Step(0)


class Phase(enum.Enum):
    """What the coordinator of a group is at."""

    NO_LEASE = 'no_lease'
    READING = 'reading'
    SETTLING = 'settling'
    IDLE = 'idle'
    PREPARING = 'preparing'
    ARMING = 'arming'
    DECIDING = 'deciding'


@dataclass(frozen=True, slots=True)
class Lease:
    """The group's lease; times on this process's monotonic clock."""

    fence: FencingNumber
    until: float
    renew_at: float


@dataclass(frozen=True, slots=True)
class Decision:
    """The newest recorded decision; version 0 if there is none."""

    version: int = 0
    step: Step = _NO_STEP
    accepted: bool = False


@dataclass
class Member:
    """An upstream of the group; ``is_done`` in the present phase."""

    agent: NodeId
    status: EngineStatus | None = None
    send_at: float = 0
    is_done: bool = False


@dataclass
class ActivationState:
    """The coordinator of a group, at each agent of the group; it acts only under the lease.

    ``current`` is the accepted map as far as its content is known, ``target`` the one that is
    being installed, ``wanted`` the next one.
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
    # Counts the phases, so that results of an earlier one are told apart.
    epoch: int = 0
    # Orders that are no part of an activation, by id, with the time of the next sending.
    orders: dict[str, tuple[Order, float]] = field(default_factory=dict)
    # Proposal or query under way for the lease, and for the decision.
    lease_id: str = ''
    lease_asked_at: float = 0
    lease_at: float = 0
    decision_id: str = ''
    decide_at: float = 0
    numbers: int = 0

    @property
    def holder(self) -> str:
        """Name of this process start as the holder of leases."""
        return f'{self.node}/{self.incarnation}'

    def next_name(self, purpose: str) -> str:
        """Return a new id of a proposal, query or order of this process start."""
        self.numbers += 1
        return f'activation/{self.holder}/{purpose}/{self.numbers}'

    def enter(self, phase: Phase, deadline: float = 0) -> None:
        """Begin a phase."""
        self.phase = phase
        self.deadline = deadline
        self.epoch += 1
        self.decision_id = ''
        self.decide_at = 0
        for member in self.members.values():
            member.is_done = False
            member.send_at = 0

    def drop_lease(self) -> None:
        """Act no longer for the group; another coordinator takes the activation over."""
        self.lease = None
        self.lease_id = ''
        self.target = None
        self.current = None
        self.wanted = None
        self.orders.clear()
        self.enter(Phase.NO_LEASE)
