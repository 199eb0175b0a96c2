"""Errors of the replicated state machine."""

from basilcove.exceptions import BasilcoveError


class CatalogError(BasilcoveError):
    """An internal contract of the catalog was violated."""
