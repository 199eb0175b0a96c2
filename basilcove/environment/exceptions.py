"""Errors of the environment document."""

from basilcove.exceptions import BasilcoveError


class DeltaError(BasilcoveError):
    """A delta doesn't lead from the given document to the stated one."""


class DocumentError(BasilcoveError):
    """An accepted document can't be read by this version; lists its faults."""

    def __init__(self, *faults: str) -> None:
        """Describe each fault in a text."""
        super().__init__('; '.join(faults))
        self.faults = faults
