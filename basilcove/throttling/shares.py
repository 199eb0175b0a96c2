"""The shares of one gateway in the limits of an upstream."""

import math
from dataclasses import dataclass, field

from basilcove.core.ids import NodeId
from basilcove.throttling.cold_state import ColdState
from basilcove.throttling.const import LEASE_S, LIMIT_LIFETIME_S
from basilcove.throttling.leases import Lease

# Sums of small parts of a request don't reach 1 exactly.
_ROUNDING = 1e-9


@dataclass(slots=True)
class LeasedShare:
    """Leases from control hosts, which add up; times are monotonic seconds.

    ``saved`` is the part of a request that the leases have allowed since the last one. It is never more than
    1 and is lost when all leases have ended. In any time the gateways together thus send no more than the
    limit allows, and one request more for each gateway that had a lease before.
    """

    leases: dict[NodeId, Lease] = field(default_factory=dict)
    saved: float = 0
    updated_at: float = 0

    def grant(self, host: NodeId, share_per_s: float, asked_at: float, now: float) -> None:
        """Add or renew the lease of a host; it ends ``LEASE_S`` after this gateway asked for it."""
        self._advance(now)
        if now < asked_at + LEASE_S:
            self.leases[host] = Lease(share_per_s, asked_at + LEASE_S)

    def count_request(self, now: float) -> None:
        """Count a request that is sent."""
        self._advance(now)
        self.saved = max(0, self.saved - 1)

    def wait_s(self, now: float) -> float | None:
        """Return the time until a request may be sent; None without a lease."""
        self._advance(now)
        if not self.leases:
            return None
        if self.saved >= 1 - _ROUNDING:
            return 0
        return (1 - self.saved) / sum(lease.share_per_s for lease in self.leases.values())

    def _advance(self, now: float) -> None:
        if not self.leases:
            self.updated_at = now
            return
        for held in self.leases.values():
            self.saved += held.share_per_s * max(0, min(now, held.ends_at) - self.updated_at)
        self.updated_at = now
        self.saved = min(1, self.saved)
        if min(lease.ends_at for lease in self.leases.values()) <= now:
            self.leases = {host: kept for host, kept in self.leases.items() if kept.ends_at > now}
        if not self.leases:
            self.saved = 0


@dataclass(slots=True)
class Throttle:
    """Limits the requests to one start of an upstream; times are monotonic seconds.

    ``stated_limit_per_s`` is the limit in the last answer that this gateway read, and ``limit_per_s`` that of
    control hosts; 0 if there is none. ``shares`` has what each linked control host assigns to this gateway,
    in requests a second. Requests are sent at even intervals, the next one at ``open_at`` or later.

    While the upstream is cold, only the leases apply. Control hosts grant them for the lower one of its two
    limits.
    """

    stated_limit_per_s: float = 0
    reported_at: float = 0
    limit_per_s: float = 0
    shares: dict[NodeId, float] = field(default_factory=dict)
    open_at: float = 0
    # When the share from the last linked host ends; no host could tell that the limit has ended.
    expires_at: float = math.inf
    cold: ColdState = field(default_factory=ColdState)
    leased: LeasedShare = field(default_factory=LeasedShare)

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
        if self.leased.leases:
            self.leased.count_request(now)
        share = self.share_per_s(now)
        if share:
            self.open_at = max(self.open_at, now) + 1 / share

    def wait_s(self, now: float) -> float | None:
        """Return the time until a request may be sent; None if this gateway leaves the upstream to others."""
        if self.cold.is_cold(now):
            return self.leased.wait_s(now)
        share = self.share_per_s(now)
        if share is None:
            return 0
        return max(0, self.open_at - now) if share else None

    def return_s(self, now: float) -> float | None:
        """Return the time until this gateway may send again; None if it doesn't know when.

        A cold upstream takes requests of this gateway by its leases or when it is warm.
        """
        wait_s = self.wait_s(now)
        if not self.cold.is_cold(now):
            return wait_s
        warm_s = self.cold.until - now
        return warm_s if wait_s is None else min(wait_s, warm_s)
