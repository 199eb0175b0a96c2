"""State of orders at an agent."""

from dataclasses import dataclass

from basilcove.core.ids import FencingNumber, GroupName, NodeId, UpstreamName
from basilcove.orders.messages import EngineStatus, Order

_NO_UPSTREAM = UpstreamName('')
_NO_GROUP = GroupName('')
_NO_FENCE = FencingNumber(0)


@dataclass(frozen=True, slots=True)
class EngineCall:
    """An order that the engine has not answered; ``origin`` is None for the agent's own."""

    order: Order
    origin: NodeId | None


@dataclass
class OrdersState:
    """The engine on this host and the highest fencing token seen; times in monotonic seconds.

    ``is_current`` tells whether no order under an older token than ``fence`` can still be valid.
    """

    node: NodeId
    incarnation: int
    upstream: UpstreamName = _NO_UPSTREAM
    group: GroupName = _NO_GROUP
    checks_fencing: bool = False
    fence: FencingNumber = _NO_FENCE
    is_current: bool = False
    started_at: float | None = None
    learn_at: float = 0
    learn_id: str = ''
    # No order goes to the engine before this time, since an earlier one may still take effect.
    quiet_until: float = 0
    call: EngineCall | None = None
    status: EngineStatus | None = None
    # When an armed rank reads the decision next.
    ask_at: float = 0
    ask_id: str = ''
    numbers: int = 0

    def next_name(self, purpose: str) -> str:
        """Return a new id for a query or an order of this process start."""
        self.numbers += 1
        return f'orders/{self.node}/{self.incarnation}/{purpose}/{self.numbers}'
