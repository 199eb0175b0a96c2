"""The limits of upstreams, as one control host knows them."""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from basilcove.core.ids import InstanceId, NodeId
from basilcove.helpers.hashing import stable_hash
from basilcove.throttling.const import BASE_SENDERS, LIMIT_LIFETIME_S, MAX_LIMITS, MAX_SENDERS
from basilcove.throttling.leases import LeaseBook
from basilcove.throttling.messages import LimitShare, ShareRequest, StatedLimit


@dataclass(slots=True)
class LimitRecord:
    """The limit of one start of an upstream; ``stated_at`` is in monotonic seconds.

    ``senders`` are the gateways that may send requests to it; they share its limit in equal parts.
    """

    born_ms: int
    limit_per_s: float
    stated_at: float
    senders: frozenset[NodeId] = frozenset()

    def is_repeated_by(self, stated: StatedLimit) -> bool:
        """Return whether this is what the upstream states."""
        return (self.born_ms, self.limit_per_s) == (stated.born_ms, stated.limit_per_s)

    def replace_senders(self, senders: frozenset[NodeId]) -> frozenset[NodeId]:
        """Set the senders; return the gateways whose share changes."""
        former, self.senders = self.senders, senders
        return frozenset() if senders == former else former | senders

    def share_per_s(self, node: NodeId) -> float:
        """Return how many requests a second a gateway may send."""
        return self.limit_per_s / len(self.senders) if node in self.senders else 0


@dataclass(slots=True)
class ThrottlingState:
    """Limits by upstream, and the gateways among which they are divided.

    ``records`` are limits that upstreams state, and ``book`` has those that are known with their end.
    """

    gateways: set[NodeId] = field(default_factory=set)
    records: dict[InstanceId, LimitRecord] = field(default_factory=dict)
    book: LeaseBook = field(default_factory=lambda: LeaseBook(NodeId('')))

    def update(self, stated: StatedLimit, now: float) -> bool:
        """Note what an upstream states; return whether shares change."""
        record = self.records.get(stated.instance)
        if record is not None and stated.born_ms < record.born_ms:
            return False
        if record is None and (not stated.limit_per_s or len(self.records) >= MAX_LIMITS):
            return False
        if record is not None and record.is_repeated_by(stated):
            record.stated_at = now
            return False
        senders = self._choose_senders(stated.instance, stated.limit_per_s, self.gateways)
        self.records[stated.instance] = LimitRecord(stated.born_ms, stated.limit_per_s, now, senders)
        return True

    def add_gateway(self, node: NodeId) -> dict[InstanceId, frozenset[NodeId]]:
        """Add a gateway; return the gateways whose share of a limit changes, by upstream."""
        self.gateways.add(node)
        self.book.add_gateway(node)
        changed = {}
        for instance, record in self.records.items():
            # The others that don't send rank behind the senders, so they need no comparison.
            senders = self._choose_senders(instance, record.limit_per_s, record.senders | {node})
            changed[instance] = record.replace_senders(senders)
        return changed

    def remove_gateway(self, node: NodeId) -> dict[InstanceId, frozenset[NodeId]]:
        """Remove a gateway; return the gateways whose share of a limit changes, by upstream."""
        self.gateways.discard(node)
        self.book.remove_gateway(node)
        changed = {}
        for instance, record in self.records.items():
            if node in record.senders:
                senders = self._choose_senders(instance, record.limit_per_s, self.gateways)
                changed[instance] = record.replace_senders(senders) - {node}
        return changed

    def lease(self, node: NodeId, request: ShareRequest, now: float) -> tuple[LimitShare, ...]:
        """Note the limits that a gateway knows of, and return its leases."""
        for limit in request.limits:
            self.book.state_limit(limit, now)
        return self.book.grant(node, self._stated_limit, now)

    def _stated_limit(self, instance: InstanceId) -> float:
        record = self.records.get(instance)
        return record.limit_per_s if record is not None and record.limit_per_s else math.inf

    def find_expired(self, now: float) -> list[InstanceId]:
        """Return the upstreams whose limit nobody has repeated lately."""
        records = self.records.items()
        return [name for name, record in records if now - record.stated_at > LIMIT_LIFETIME_S]

    def _choose_senders(
        self, instance: InstanceId, limit_per_s: float, nodes: Collection[NodeId]
    ) -> frozenset[NodeId]:
        """Return those of the gateways that send to an upstream."""
        count = min(MAX_SENDERS, BASE_SENDERS + int(limit_per_s))
        ranked = sorted(nodes, key=lambda node: stable_hash(instance, node))
        return frozenset(ranked[:count])
