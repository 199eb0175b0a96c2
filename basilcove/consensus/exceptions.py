"""Errors of the replicated log."""

from basilcove.exceptions import BasilcoveError


class ConsensusError(BasilcoveError):
    """An internal contract of the replicated log was violated."""


class LogGapError(ConsensusError):
    """Entries do not continue the log."""
