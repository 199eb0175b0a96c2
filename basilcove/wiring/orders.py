"""Connects orders and the activation of expert maps to links, documents and the engine."""

from collections.abc import Callable
from dataclasses import dataclass

from basilcove.core.events import Effect, Emit, Event, Message, Peer, Received, Tick
from basilcove.core.ids import GroupName, NodeId, UpstreamName
from basilcove.core.reducer import Context, handles
from basilcove.core.runtime import carries_out
from basilcove.environment.events import EnvironmentChanged
from basilcove.environment.models import Environment, Group
from basilcove.experts.activation import coordinator as _activation  # noqa: F401 (registers the handlers)
from basilcove.experts.activation.events import GroupAssigned, MapWanted
from basilcove.experts.activation.models import ActivationState, Phase
from basilcove.experts.models import Layer, covers
from basilcove.experts.placement import greedy
from basilcove.experts.planning import coordinator as _planning  # noqa: F401 (registers the handlers)
from basilcove.experts.planning import reporting as _reporting  # noqa: F401 (registers the handlers)
from basilcove.experts.planning.events import GroupShape, PlanningAssigned
from basilcove.http.orders import EngineClient
from basilcove.membership.events import LocalUpstreamJoined
from basilcove.orders import decisions as _decisions  # noqa: F401 (registers the handlers)
from basilcove.orders.events import CallEngine, EngineAssigned, SendOrder
from basilcove.orders.rules import order_in_force
from basilcove.wiring.const import RESIZE_RETRY_S

_NO_UPSTREAM = UpstreamName('')


@dataclass(frozen=True, slots=True)
class TargetEngine(Effect):
    """Directs orders to the engine at this URL."""

    url: str


@dataclass
class EngineOfHost:
    """The engine on this host and the document, which determine the engine's group.

    A map of another size is requested at ``resize_at`` on the monotonic clock, or later.
    """

    node: NodeId
    upstream: UpstreamName = _NO_UPSTREAM
    url: str = ''
    environment: Environment | None = None
    resize_at: float = 0


class OrderSender:
    """Sends orders over links, or directly to this process; the driver of ``SendOrder``."""

    def __init__(
        self,
        own: Peer,
        send: Callable[[NodeId, Message], object],
        post: Callable[[Event], object],
        clock: Callable[[], float],
    ) -> None:
        """Send to other nodes with ``send`` and to this process with ``post``; ``clock`` is monotonic."""
        self._own = own
        self._send = send
        self._post = post
        self._clock = clock

    def send(self, effect: SendOrder) -> None:
        """Send an order unless its lease has ended since it was decided."""
        order = order_in_force(effect, self._clock())
        if order is None:
            return
        if effect.node == self._own.node:
            self._post(Received(self._own, order))
        else:
            self._send(effect.node, order)


@carries_out(SendOrder, OrderSender)
def send_order(sender: OrderSender, effect: SendOrder) -> None:
    """Send an order."""
    sender.send(effect)


@carries_out(CallEngine, EngineClient)
def call_engine(client: EngineClient, effect: CallEngine) -> None:
    """Pass an order to the engine."""
    client.call(effect)


@carries_out(TargetEngine, EngineClient)
def target_engine(client: EngineClient, effect: TargetEngine) -> None:
    """Direct orders to an engine."""
    client.set_base_url(effect.url)


@handles(EnvironmentChanged, EngineOfHost)
def on_environment(state: EngineOfHost, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    """Assign the group that the newer document names."""
    state.environment = event.environment
    return _assign(state)


@handles(LocalUpstreamJoined, EngineOfHost)
def on_joined(state: EngineOfHost, event: LocalUpstreamJoined, ctx: Context) -> list[Effect]:
    """Assign the engine's group and direct orders to it."""
    state.upstream, state.url = event.upstream, event.url
    return [TargetEngine(event.url), *_assign(state)]


@handles(Tick, EngineOfHost)
def on_tick(state: EngineOfHost, event: Tick, ctx: Context) -> list[Effect]:
    """Request a map if the group has none of its size; the planner requests later ones."""
    activation = ctx.node.part(ActivationState)
    assigned = _find_group(state)
    if assigned is None or activation.phase is not Phase.IDLE or activation.wanted is not None:
        return []
    group = assigned[1]
    if activation.current is not None:
        if ctx.now < state.resize_at or fits(group, activation.current.layers):
            return []
        state.resize_at = ctx.now + RESIZE_RETRY_S
    return [Emit(MapWanted(first_layers(group)))]


def fits(group: Group, layers: tuple[Layer, ...]) -> bool:
    """Tell whether a map has the layers, ranks, experts and slots of a group; all layers have one shape."""
    slots = group.experts if group.expert_slots is None else group.ranks * group.expert_slots
    if not covers(layers, group.layers, group.experts):
        return False
    return (len(layers[0]), sum(map(len, layers[0]))) == (group.ranks, slots)


def first_layers(group: Group) -> tuple[Layer, ...]:
    """Return a map for experts that are equally popular, with a replica in each spare slot."""
    ranks = range(group.ranks)
    if group.expert_slots is None:
        layer: Layer = tuple(tuple(range(rank, group.experts, group.ranks)) for rank in ranks)
    else:
        shares = tuple(1.0 for _ in range(group.experts))
        layer = greedy(shares, [1.0 for _ in ranks], group.expert_slots)
    return tuple(layer for _ in range(group.layers))


def _find_group(state: EngineOfHost) -> tuple[GroupName, Group] | None:
    if state.environment is None:
        return None
    for name, group in state.environment.groups.items():
        if state.upstream in group.upstreams:
            return name, group
    return None


def _assign(state: EngineOfHost) -> list[Effect]:
    assigned = _find_group(state)
    if assigned is None or state.environment is None:
        return []
    name, group = assigned
    upstreams = state.environment.upstreams
    effects: list[Effect] = [
        Emit(EngineAssigned(state.upstream, name, upstreams[state.upstream].checks_fencing))
    ]
    members = tuple((member, upstreams[member].agent) for member in group.upstreams)
    addressable = tuple((member, agent) for member, agent in members if agent is not None)
    # Without the agents' names in the document the coordinator can not address the ranks.
    if len(addressable) == len(members):
        effects.append(Emit(GroupAssigned(name, addressable)))
        shape = GroupShape(name, group.layers, group.experts, group.upstreams)
        effects.append(Emit(PlanningAssigned(state.upstream, state.url, shape)))
    return effects
