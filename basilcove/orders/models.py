"""State of orders at an agent."""

from dataclasses import dataclass

from basilcove.core.ids import FencingNumber, GroupName, NodeId, UpstreamName
from basilcove.orders.messages import EngineStatus, Order

_NO_UPSTREAM = UpstreamName('')
_NO_GROUP = GroupName('')
_NO_FENCE = FencingNumber(0)


@dataclass(frozen=True, slots=True)
class EngineCall:
    """An order that the engine has not answered yet; ``origin`` is None for the agent's own orders."""

    order: Order
    origin: NodeId | None


@dataclass
class OrdersState:
    """The engine on this host and the highest fencing token seen; times in monotonic seconds.

    ``is_fence_current`` is set once no order under a token older than ``fence`` can be valid any more.
    """

    node: NodeId
    incarnation: int
    upstream: UpstreamName = _NO_UPSTREAM
    group: GroupName = _NO_GROUP
    checks_fencing: bool = False
    fence: FencingNumber = _NO_FENCE
    is_fence_current: bool = False
    started_at: float | None = None
    next_token_read_at: float = 0
    token_query_id: str = ''
    # No order is sent to the engine before this time, since an earlier one may still take effect.
    calls_blocked_until: float = 0
    call: EngineCall | None = None
    status: EngineStatus | None = None
    # When an armed rank reads the decision next, and the id of its pending query.
    next_decision_read_at: float = 0
    decision_query_id: str = ''
    last_number: int = 0

    def next_id(self, purpose: str) -> str:
        """Return a new id for a query or an order of this process start."""
        self.last_number += 1
        return f'orders/{self.node}/{self.incarnation}/{purpose}/{self.last_number}'
