"""Errors of the operators' tool."""

from basilcove.exceptions import BasilcoveError


class UsageError(BasilcoveError):
    """The command line is invalid, or a file that it names is unusable."""


class UnreachableError(BasilcoveError):
    """No node answered."""


class RefusedError(BasilcoveError):
    """The request was refused for these ``reasons``; ``reply`` is the node's reply, if any."""

    def __init__(self, reasons: tuple[str, ...], reply: object = None) -> None:
        """Store the reasons separately, for output as JSON."""
        super().__init__('; '.join(reasons))
        self.reasons = reasons
        self.reply = reply
