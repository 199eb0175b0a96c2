"""The share of one gateway in the limit that an upstream states."""

import math
from dataclasses import dataclass, field

from basilcove.core.ids import NodeId
from basilcove.throttling.const import LIMIT_LIFETIME_S


@dataclass(slots=True)
class Throttle:
    """Limits the requests to one start of an upstream; times are monotonic seconds.

    ``stated_limit_per_s`` is the limit in the last answer that this gateway read, and ``limit_per_s`` that of
    control hosts; 0 if there is none. ``shares`` has what each linked control host assigns to this gateway,
    in requests a second. Requests are sent at even intervals, the next one at ``open_at`` or later.
    """

    stated_limit_per_s: float = 0
    reported_at: float = 0
    limit_per_s: float = 0
    shares: dict[NodeId, float] = field(default_factory=dict)
    open_at: float = 0
    # When the share from the last linked host ends; no host could tell that the limit has ended.
    expires_at: float = math.inf

    def share_per_s(self, now: float) -> float | None:
        """Return the lowest share; None without a limit or a share."""
        if not self.limit_per_s or now >= self.expires_at:
            return None
        return min(self.shares.values(), default=None)

    def state_limit(self, limit_per_s: float, now: float) -> None:
        """Note the limit in an answer."""
        self.stated_limit_per_s = limit_per_s
        self.reported_at = now

    def apply_share(self, host: NodeId, limit_per_s: float, share_per_s: float, now: float) -> None:
        """Apply the share from a control host; the first request comes an interval later.

        Others may have sent requests shortly before they lost a part of the limit.
        """
        former = self.share_per_s(now)
        if not limit_per_s or self.expires_at < math.inf:
            self.shares.clear()
            self.expires_at = math.inf
        self.limit_per_s = limit_per_s
        if limit_per_s:
            self.shares[host] = share_per_s
        else:
            self.stated_limit_per_s = 0
        share = self.share_per_s(now)
        if share and (not former or share > former):
            self.open_at = max(self.open_at, now + 1 / share)

    def forget_host(self, host: NodeId, now: float) -> None:
        """Drop the share from a lost host; the last one holds for ``LIMIT_LIFETIME_S``."""
        if len(self.shares) > 1:
            self.shares.pop(host, None)
        elif host in self.shares:
            self.expires_at = min(self.expires_at, now + LIMIT_LIFETIME_S)

    def count_request(self, now: float) -> None:
        """Count a request that is sent."""
        share = self.share_per_s(now)
        if share:
            self.open_at = max(self.open_at, now) + 1 / share

    def wait_s(self, now: float) -> float | None:
        """Return the time until a request may be sent; None if this gateway leaves the upstream to others."""
        share = self.share_per_s(now)
        if share is None:
            return 0
        return max(0, self.open_at - now) if share else None
