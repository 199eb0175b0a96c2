"""Errors of the replicated state machine."""

from basilcove.exceptions import BasilcoveError


class CatalogError(BasilcoveError):
    """The catalog was used against its contract."""
