"""Registry of the functions that apply commands."""

from collections.abc import Callable
from typing import Any, TypeVar

from basilcove.catalog.models import CatalogState
from basilcove.core.events import Message

CommandT = TypeVar('CommandT')
Applier = Callable[[CatalogState, CommandT], Message]

APPLIERS: dict[type, Applier[Any]] = {}


def applies(command_type: type[CommandT]) -> Callable[[Applier[CommandT]], Applier[CommandT]]:
    """Register the function that applies a type of command; it must be deterministic."""

    def register(applier: Applier[CommandT]) -> Applier[CommandT]:
        APPLIERS[command_type] = applier
        return applier

    return register
