"""Errors of the replicated log."""

from basilcove.exceptions import BasilcoveError


class ConsensusError(BasilcoveError):
    """The replicated log was used against its contract."""


class LogGapError(ConsensusError):
    """Entries do not continue the log."""
