"""Errors of the operators' tool."""

from basilcove.exceptions import BasilcoveError


class UsageError(BasilcoveError):
    """The command line or a file that it names is unusable."""


class UnreachableError(BasilcoveError):
    """No node answered."""


class RefusedError(BasilcoveError):
    """The request was refused; ``reasons`` says why, ``reply`` is the node's."""

    def __init__(self, reasons: tuple[str, ...], reply: object = None) -> None:
        """Keep the reasons apart, for output as JSON."""
        super().__init__('; '.join(reasons))
        self.reasons = reasons
        self.reply = reply
