"""Counts the bytes of answers that a gateway holds until they, or an event in them, are complete."""

from dataclasses import dataclass

from basilcove.gateway.const import MAX_HELD_BYTES
from basilcove.http1.account import ReceiveAccount


class HeldBytes:
    """Bytes that all open attempts hold together, charged to the account of the process."""

    def __init__(self, account: ReceiveAccount) -> None:
        """Hold nothing; half of the account is left for requests."""
        self.total = 0
        self.max_bytes = min(MAX_HELD_BYTES, account.max_bytes // 2)
        self._share = account.open(_do_nothing)
        # Answers in progress are not evicted; ``HeldShare.is_exhausted`` bounds them.
        self._share.complete()

    def add(self, size: int) -> None:
        """Hold more bytes, or fewer if ``size`` is negative."""
        self.total += size
        self._share.resize(self.total)


@dataclass(slots=True)
class HeldShare:
    """Bytes that one attempt holds."""

    held: HeldBytes
    size: int = 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether no answer may be held any longer."""
        return self.held.total > self.held.max_bytes

    def resize(self, size: int) -> None:
        """Set the number of bytes that the attempt holds now."""
        if size != self.size:
            self.held.add(size - self.size)
            self.size = size

    def release(self) -> None:
        """Hold nothing more."""
        self.resize(0)


def _do_nothing() -> None:
    """Do nothing; a complete share is never evicted."""
