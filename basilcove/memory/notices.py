"""Bounds the rate of messages about long requests.

Guards against control hosts that send most of their messages for a flood of long requests: each one goes to
every gateway.
"""

from dataclasses import dataclass

from basilcove.memory.const import MAX_NOTICE_BURST, MAX_NOTICES_PER_S


@dataclass(slots=True)
class NoticeRate:
    """Messages that may be sent; times are monotonic seconds."""

    available: float = MAX_NOTICE_BURST
    updated_at: float = 0

    def spend(self, messages: int, now: float) -> bool:
        """Return whether all of so many messages may be sent now; if not, none is counted."""
        gained = (now - self.updated_at) * MAX_NOTICES_PER_S
        self.available = min(MAX_NOTICE_BURST, self.available + gained)
        self.updated_at = now
        if messages > self.available:
            return False
        self.available -= messages
        return True
