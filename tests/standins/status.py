"""The form in which engines report their status."""

import dataclasses
from typing import Any

from basilcove.orders.engine import layers_to_json
from basilcove.orders.messages import EngineStatus


def status_to_json(status: EngineStatus) -> dict[str, Any]:
    """Return a status as an engine reports it."""
    content = dataclasses.asdict(status)
    return {**content, 'layers': layers_to_json(status.layers)}
