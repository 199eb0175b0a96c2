"""Conversion of orders to the JSON that engines accept, and of the status that they report."""

from typing import Any

from basilcove.core.ids import Step
from basilcove.orders.messages import EngineStatus, LayerSlots, Order, RankSlots


def order_to_json(order: Order) -> dict[str, Any]:
    """Return an order as JSON for engines; omit fields that are not set."""
    content: dict[str, Any] = {
        'fence': order.fence,
        'kind': order.kind.value,
        'model': order.model,
        'adapter': order.adapter,
        'model_version': order.model_version,
        'role': order.role,
        'map_version': order.map_version,
        'step': order.step,
        'accepted': order.accepted,
        'layers': layers_to_json(order.layers),
        'wants_layers': order.wants_layers,
    }
    always = {'fence', 'kind'}
    return {key: entry for key, entry in content.items() if entry or key in always}


def status_from_json(content: dict[str, Any]) -> EngineStatus:
    """Parse the status that an engine reports; ValueError or TypeError if it is malformed."""
    versions = {key: int(content.get(key, 0)) for key in ('active', 'prepared', 'armed', 'decided')}
    return EngineStatus(
        **versions,
        armed_step=Step(int(content.get('armed_step', 0))),
        step=Step(int(content.get('step', 0))),
        layers=_layers_from_json(content.get('layers', ())),
    )


def layers_to_json(layers: tuple[LayerSlots, ...]) -> list[list[list[int]]]:
    """Return layers as lists: by layer, by rank, the expert in each slot."""
    return [[list(rank.experts) for rank in layer.ranks] for layer in layers]


def _layers_from_json(layers: Any) -> tuple[LayerSlots, ...]:
    return tuple(LayerSlots(tuple(RankSlots(tuple(map(int, rank))) for rank in layer)) for layer in layers)
