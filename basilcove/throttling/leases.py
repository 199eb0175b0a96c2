"""Leases of shares of limits with an end, as one control host grants them.

Guards against more requests than a cold upstream stands while hosts disagree, gateways are cut off or shares
change hands. Control hosts agree on nothing: each has an equal part of a limit and grants it to few gateways
of its own choice. A part passes to another gateway only after the lease of the former one has ended.
"""

import functools
import heapq
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from basilcove.core.ids import InstanceId, NodeId
from basilcove.helpers.hashing import stable_hash
from basilcove.throttling.const import COUNTED_LEASE_S, HASH_MASK, LIMIT_PER_SENDER, MAX_GRANTERS, MAX_LIMITS
from basilcove.throttling.messages import LimitShare, TimedLimit

Voters = frozenset[NodeId]


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted share in requests a second, and its end in monotonic seconds."""

    share_per_s: float
    ends_at: float


@dataclass(slots=True)
class LeasedLimit:
    """The limit of an upstream until ``ends_at``, in monotonic seconds; ``senders`` may get leases."""

    born_ms: int
    limit_per_s: float
    ends_at: float
    senders: frozenset[NodeId] = frozenset()
    leases: dict[NodeId, Lease] = field(default_factory=dict)

    def drop_ended(self, now: float) -> None:
        """Drop the leases that have ended."""
        if any(lease.ends_at <= now for lease in self.leases.values()):
            self.leases = {node: lease for node, lease in self.leases.items() if lease.ends_at > now}

    def grant(self, node: NodeId, part_per_s: float, now: float) -> float:
        """Grant or renew a lease from a part of the limit; return the share in requests a second or 0."""
        self.drop_ended(now)
        others = [lease.share_per_s for holder, lease in self.leases.items() if holder != node]
        count = sender_count(self.limit_per_s)
        if len(others) >= count:
            return 0
        share = min(part_per_s / count, part_per_s - sum(others))
        if share <= 0:
            return 0
        former = self.leases.get(node)
        # The gateway may have missed a lower share than before until its former lease ends.
        counted = max(share, former.share_per_s) if former else share
        self.leases[node] = Lease(counted, now + COUNTED_LEASE_S)
        return share


@dataclass(slots=True)
class LeaseBook:
    """All limits with an end; ``host`` is this control host, and ``gateways`` are those linked to it.

    A change of the voters takes effect at once where it lowers the part of this host, and otherwise when
    leases of the former parts have ended. As there are no voters at first, a host that has just started
    grants nothing while leases of its former process may last.
    """

    host: NodeId
    gateways: set[NodeId] = field(default_factory=set)
    limits: dict[InstanceId, LeasedLimit] = field(default_factory=dict)
    is_in_contact: bool = False
    _by_sender: dict[NodeId, set[InstanceId]] = field(default_factory=lambda: defaultdict(set))
    # Hashes of gateways; one of each pair with an upstream took 1.9 s with 400 gateways and 1,800 upstreams.
    _keys: dict[NodeId, int] = field(default_factory=dict)
    _voters: Voters = frozenset()
    _former_voters: Voters = frozenset()
    _changed_at: float = -math.inf

    def update_voters(self, voters: Voters, now: float, *, is_in_contact: bool) -> None:
        """Note the voters of the control group; a host without contact to the leader grants nothing."""
        self.is_in_contact = is_in_contact
        if voters != self._voters:
            settled = now - self._changed_at >= COUNTED_LEASE_S
            # Of two changes at once, the part of a host is the lowest only if it was one under both.
            self._former_voters = self._voters if settled else frozenset()
            self._voters, self._changed_at = voters, now

    def state_limit(self, limit: TimedLimit, now: float) -> None:
        """Note a limit that a gateway knows of; the longest one of the newest start applies."""
        ends_at = now + limit.left_s
        known = self.limits.get(limit.instance)
        if known is None:
            if len(self.limits) < MAX_LIMITS:
                self.limits[limit.instance] = LeasedLimit(limit.born_ms, limit.limit_per_s, ends_at)
                self._choose_senders(limit.instance)
            return
        if limit.born_ms < known.born_ms:
            return
        # A new start answers at the address of the former one, so leases for that one count as well.
        known.ends_at = ends_at if limit.born_ms > known.born_ms else max(known.ends_at, ends_at)
        known.born_ms = limit.born_ms
        if limit.limit_per_s != known.limit_per_s:
            known.limit_per_s = limit.limit_per_s
            self._choose_senders(limit.instance)

    def grant(
        self, node: NodeId, other_limit: Callable[[InstanceId], float], now: float
    ) -> tuple[LimitShare, ...]:
        """Return the leases of a gateway; of a limit and that of another source the lower one counts.

        The cost grows with the number of cold upstreams of which the gateway is a sender.
        """
        shares = []
        for instance in sorted(self._by_sender.get(node, ())):
            limit = self.limits[instance]
            if now >= limit.ends_at:
                continue
            limit_per_s = min(limit.limit_per_s, other_limit(instance))
            share = limit.grant(node, self._part_per_s(instance, limit_per_s, now), now)
            if share:
                shares.append(LimitShare(instance, limit.born_ms, limit.limit_per_s, share))
        return tuple(shares)

    def add_gateway(self, node: NodeId) -> None:
        """Add a linked gateway; it replaces a sender if it ranks before it."""
        self.gateways.add(node)
        self._keys[node] = stable_hash(self.host, node)
        for instance, limit in self.limits.items():
            # The others that don't send rank behind the senders, so they need no comparison.
            self._set_senders(instance, limit, limit.senders | {node})

    def remove_gateway(self, node: NodeId) -> None:
        """Remove a gateway; its leases count until they end, as it may be cut off only."""
        self.gateways.discard(node)
        for instance in tuple(self._by_sender.get(node, ())):
            self._choose_senders(instance)
        self._by_sender.pop(node, None)
        self._keys.pop(node, None)

    def drop_ended(self, now: float) -> None:
        """Drop limits that have ended, with all their leases."""
        for instance, limit in tuple(self.limits.items()):
            if now < limit.ends_at:
                continue
            limit.drop_ended(now)
            if not limit.leases:
                self._set_senders(instance, limit, frozenset())
                del self.limits[instance]

    def _part_per_s(self, instance: InstanceId, limit_per_s: float, now: float) -> float:
        """Return the part of a limit that this host may grant."""
        if not self.is_in_contact:
            return 0
        part = _part(instance, self._voters, self.host)
        if now - self._changed_at < COUNTED_LEASE_S:
            part = min(part, _part(instance, self._former_voters, self.host))
        return part * limit_per_s

    def _choose_senders(self, instance: InstanceId) -> None:
        self._set_senders(instance, self.limits[instance], frozenset(self.gateways))

    def _set_senders(self, instance: InstanceId, limit: LeasedLimit, nodes: frozenset[NodeId]) -> None:
        # Each host chooses other gateways, or else one gateway would get the parts of all hosts.
        factor = stable_hash(instance) | 1
        ranked = heapq.nsmallest(
            sender_count(limit.limit_per_s), nodes, key=lambda node: self._keys[node] * factor & HASH_MASK
        )
        senders = frozenset(ranked)
        for node in limit.senders - senders:
            self._by_sender[node].discard(instance)
        for node in senders - limit.senders:
            self._by_sender[node].add(instance)
        limit.senders = senders


def sender_count(limit_per_s: float) -> int:
    """Return how many gateways one host lets send to an upstream."""
    return 1 + int(limit_per_s / LIMIT_PER_SENDER)


@functools.lru_cache(maxsize=MAX_LIMITS)
def _part(instance: InstanceId, voters: Voters, host: NodeId) -> float:
    """Return the part of the limit of an upstream that a host may grant, 0 to 1."""
    ranked = sorted(voters, key=lambda voter: stable_hash(instance, voter))
    granters = ranked[:MAX_GRANTERS]
    return 1 / len(granters) if host in granters else 0
