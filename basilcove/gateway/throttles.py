"""The share of one gateway in the limit that an upstream states."""

from dataclasses import dataclass, field

from basilcove.core.ids import NodeId


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

    @property
    def share_per_s(self) -> float | None:
        """Return the lowest share; None without a limit or a share."""
        return min(self.shares.values(), default=None) if self.limit_per_s else None

    def state_limit(self, limit_per_s: float, now: float) -> None:
        """Note the limit in an answer."""
        self.stated_limit_per_s = limit_per_s
        self.reported_at = now

    def apply_share(self, host: NodeId, limit_per_s: float, share_per_s: float, now: float) -> None:
        """Apply the share from a control host; the first request comes an interval later.

        Others may have sent requests shortly before they lost a part of the limit.
        """
        former = self.share_per_s
        self.limit_per_s = limit_per_s
        if limit_per_s:
            self.shares[host] = share_per_s
        else:
            self.stated_limit_per_s = 0
            self.shares.clear()
        share = self.share_per_s
        if share and (not former or share > former):
            self.open_at = max(self.open_at, now + 1 / share)

    def forget_host(self, host: NodeId) -> None:
        """Drop the share from a lost host, unless no other has assigned one."""
        if len(self.shares) > 1:
            self.shares.pop(host, None)

    def count_request(self, now: float) -> None:
        """Count a request that is sent."""
        share = self.share_per_s
        if share:
            self.open_at = max(self.open_at, now) + 1 / share

    def wait_s(self, now: float) -> float | None:
        """Return the time until a request may be sent; None if this gateway leaves the upstream to others."""
        share = self.share_per_s
        if share is None:
            return 0
        return max(0, self.open_at - now) if share else None
