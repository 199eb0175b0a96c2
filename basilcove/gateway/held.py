"""Counts the bytes of answers that a gateway holds until they, or an event in them, are complete."""

from dataclasses import dataclass

from basilcove.gateway.const import MAX_HELD_BYTES


@dataclass(slots=True)
class HeldBytes:
    """Bytes that all open attempts hold together."""

    total: int = 0


@dataclass(slots=True)
class HeldShare:
    """Bytes that one attempt holds."""

    held: HeldBytes
    size: int = 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether no answer may be held any longer."""
        return self.held.total > MAX_HELD_BYTES

    def resize(self, size: int) -> None:
        """Set the number of bytes that the attempt holds now."""
        self.held.total += size - self.size
        self.size = size

    def release(self) -> None:
        """Hold nothing more."""
        self.resize(0)
