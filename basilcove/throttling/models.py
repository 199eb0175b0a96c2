"""The limits that upstreams state, as one control host knows them."""

from dataclasses import dataclass, field

from basilcove.core.ids import InstanceId, NodeId
from basilcove.helpers.hashing import stable_hash
from basilcove.throttling.const import BASE_SENDERS, LIMIT_LIFETIME_S, MAX_LIMITS, MAX_SENDERS
from basilcove.throttling.messages import StatedLimit


@dataclass(slots=True)
class LimitRecord:
    """The limit of one start of an upstream; ``stated_at`` is in monotonic seconds.

    ``senders`` are the gateways that may send requests to it; they share its limit in equal parts.
    """

    born_ms: int
    limit_per_s: float
    stated_at: float
    senders: frozenset[NodeId] = frozenset()

    def share_per_s(self, node: NodeId) -> float:
        """Return how many requests a second a gateway may send."""
        return self.limit_per_s / len(self.senders) if node in self.senders else 0


@dataclass(slots=True)
class ThrottlingState:
    """Limits by upstream, and the gateways among which they are divided."""

    gateways: set[NodeId] = field(default_factory=set)
    records: dict[InstanceId, LimitRecord] = field(default_factory=dict)

    def update(self, stated: StatedLimit, now: float) -> bool:
        """Note what an upstream states; return whether shares change."""
        record = self.records.get(stated.instance)
        if record is not None and stated.born_ms < record.born_ms:
            return False
        if record is None and (not stated.limit_per_s or len(self.records) >= MAX_LIMITS):
            return False
        latest = LimitRecord(stated.born_ms, stated.limit_per_s, now)
        self.records[stated.instance] = latest
        latest.senders = self._choose_senders(stated.instance, stated.limit_per_s)
        return record is None or record.born_ms != latest.born_ms or record.limit_per_s != latest.limit_per_s

    def choose_again(self) -> list[InstanceId]:
        """Choose the senders after gateways have come or gone; return the upstreams whose senders change."""
        changed = []
        for instance, record in self.records.items():
            senders = self._choose_senders(instance, record.limit_per_s)
            if senders != record.senders:
                record.senders = senders
                changed.append(instance)
        return changed

    def find_expired(self, now: float) -> list[InstanceId]:
        """Return the upstreams whose limit nobody has repeated lately."""
        records = self.records.items()
        return [name for name, record in records if now - record.stated_at > LIMIT_LIFETIME_S]

    def _choose_senders(self, instance: InstanceId, limit_per_s: float) -> frozenset[NodeId]:
        """Return the gateways that send to an upstream; a lost one changes at most one of them."""
        count = min(MAX_SENDERS, BASE_SENDERS + int(limit_per_s))
        ranked = sorted(self.gateways, key=lambda node: stable_hash(instance, node))
        return frozenset(ranked[:count])
