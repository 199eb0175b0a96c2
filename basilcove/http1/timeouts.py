"""Decides when a connection is closed for what it has not sent or read in time."""

import enum
from dataclasses import dataclass

from basilcove.http1.config import ConnectionLimits
from basilcove.http1.const import FULL_IDLE_S, MIN_BODY_BYTES_PER_S, REFUSED_LINGER_S


class Overdue(enum.Enum):
    """What a connection has not done in time."""

    REFUSED = 'refused'
    IDLE = 'idle'
    REQUEST = 'request'


@dataclass(slots=True)
class Activity:
    """When a connection was last active, in seconds of the monotonic clock.

    ``refused_at`` is None unless the connection was refused. Bytes before a request are no activity.
    """

    last_at: float
    reading_since: float = 0
    refused_at: float | None = None

    def find_overdue(
        self, now: float, limits: ConnectionLimits, body_bytes: int | None, *, is_full: bool
    ) -> Overdue | None:
        """Return what is overdue on a connection whose requests are answered.

        ``body_bytes`` states how much of an unfinished request's body has arrived; it is None if no request
        is unfinished. While other connections wait to be accepted (``is_full``), idle ones are closed early.
        """
        if self.refused_at is not None:
            return Overdue.REFUSED if now - self.refused_at > REFUSED_LINGER_S else None
        silent_s = now - self.last_at
        if body_bytes is None:
            idle_s = min(limits.idle_timeout_s, FULL_IDLE_S) if is_full else limits.idle_timeout_s
            return Overdue.IDLE if silent_s > idle_s else None
        allowed_s = limits.header_timeout_s + body_bytes / MIN_BODY_BYTES_PER_S
        is_late = now - self.reading_since > allowed_s or silent_s > limits.header_timeout_s
        return Overdue.REQUEST if is_late else None
