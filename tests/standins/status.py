"""Serialization of the status that engines report."""

import dataclasses
from typing import Any

from basilcove.orders.engine import layers_to_json
from basilcove.orders.messages import EngineStatus


def status_to_json(status: EngineStatus) -> dict[str, Any]:
    """Return a status in the JSON form of an engine's report."""
    content = dataclasses.asdict(status)
    return {**content, 'layers': layers_to_json(status.layers)}
