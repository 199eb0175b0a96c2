"""Orders to engines and their results."""

import enum
from dataclasses import dataclass

from basilcove.core.events import Message
from basilcove.core.ids import FencingNumber, GroupName, Step, UpstreamName
from basilcove.helpers.codec import message
from basilcove.orders import orders_pb2 as pb

_NO_STEP = Step(0)


class OrderKind(enum.Enum):
    """Kind of an order."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    LOAD_VERSION = 'load_version'
    CHANGE_ROLE = 'change_role'
    PREPARE_MAP = 'prepare_map'
    ARM_MAP = 'arm_map'
    DECIDE_MAP = 'decide_map'


@dataclass(frozen=True, slots=True)
class RankSlots:
    """Experts in the slots of one rank, in one layer."""

    experts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LayerSlots:
    """One layer of an expert map."""

    ranks: tuple[RankSlots, ...]


@message('orders.order', pb.Order)
@dataclass(frozen=True, slots=True)
class Order(Message):
    """An order under a group's lease, which ends ``lease_s`` after the order was sent.

    A map is installed by three orders: prepare fetches its weights, arm stops the ranks
    before ``step``, decide lets them continue with the map, or without it.
    """

    order_id: str
    group: GroupName
    upstream: UpstreamName
    fence: FencingNumber
    lease_s: float
    kind: OrderKind
    model: str = ''
    adapter: str = ''
    model_version: str = ''
    role: str = ''
    map_version: int = 0
    step: Step = _NO_STEP
    accepted: bool = False
    layers: tuple[LayerSlots, ...] = ()
    wants_layers: bool = False


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Versions of expert maps at an engine, 0 for none; ``step`` is the next one to start.

    ``active`` is the newest map that the ranks run or will run from an agreed step on.
    """

    active: int = 0
    prepared: int = 0
    armed: int = 0
    armed_step: Step = _NO_STEP
    decided: int = 0
    step: Step = _NO_STEP
    layers: tuple[LayerSlots, ...] = ()


@message('orders.order_result', pb.OrderResult)
@dataclass(frozen=True, slots=True)
class OrderResult(Message):
    """The result of an order; ``fence`` is the highest token that the agent knows."""

    order_id: str
    fence: FencingNumber
    taken: bool
    reason: str
    status: EngineStatus | None = None
