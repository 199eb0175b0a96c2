"""Remembers the attempts that may no longer start at an agent."""

from collections import OrderedDict
from dataclasses import dataclass

from basilcove.agents.const import ENTRY_MEMORY_S, MAX_REMEMBERED_ATTEMPTS, MEMORY_S
from basilcove.core.events import Peer
from basilcove.core.ids import AttemptId, Incarnation, NodeId


@dataclass(slots=True)
class _Entry:
    incarnation: Incarnation
    seen_at: float
    # Highest number of an evicted attempt; any attempt with a number up to it may have ended.
    evicted_up_to: int = 0


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that ended; ``has_started`` tells whether the upstream was called."""

    entry: NodeId
    incarnation: Incarnation
    number: int
    has_started: bool
    expires_at: float


class AttemptMemory:
    """Ended and barred attempts, bounded in time and number.

    For each entry's process, the highest number of an evicted attempt is stored; attempts with a
    number up to it are refused, because they may have run or been barred.
    """

    def __init__(self) -> None:
        """Start without any attempt."""
        self._ended: OrderedDict[AttemptId, EndedAttempt] = OrderedDict()
        self._entries: dict[NodeId, _Entry] = {}

    def register_sender(self, peer: Peer, now: float) -> bool:
        """Record a message of an entry; return False if it comes from a former process of the entry."""
        entry = self._entries.get(peer.node)
        if entry is None or entry.incarnation < peer.incarnation:
            self._entries[peer.node] = _Entry(peer.incarnation, now)
            return True
        entry.seen_at = now
        return entry.incarnation == peer.incarnation

    def find(self, attempt_id: AttemptId) -> EndedAttempt | None:
        """Return an ended attempt; None if it did not end here or was evicted."""
        return self._ended.get(attempt_id)

    def may_have_ended(self, peer: Peer, number: int) -> bool:
        """Tell whether an attempt that is not found may have ended here."""
        entry = self._entries.get(peer.node)
        return entry is not None and number <= entry.evicted_up_to

    def add(self, attempt_id: AttemptId, ended: EndedAttempt) -> None:
        """Remember an ended attempt, so that it never starts."""
        self._ended[attempt_id] = ended
        if len(self._ended) > MAX_REMEMBERED_ATTEMPTS:
            self._evict_oldest()

    def expire(self, now: float) -> None:
        """Evict attempts and entries that are older than their retention times."""
        while self._ended and next(iter(self._ended.values())).expires_at <= now:
            self._evict_oldest()
        for node, entry in tuple(self._entries.items()):
            if now - entry.seen_at > ENTRY_MEMORY_S:
                self._entries.pop(node)

    def __len__(self) -> int:
        """Return how many ended attempts are remembered."""
        return len(self._ended)

    def _evict_oldest(self) -> None:
        _, ended = self._ended.popitem(last=False)
        entry = self._entries.get(ended.entry)
        if entry is not None and entry.incarnation == ended.incarnation:
            entry.evicted_up_to = max(entry.evicted_up_to, ended.number)


def make_ended(peer: Peer, number: int, now: float, *, has_started: bool) -> EndedAttempt:
    """Return the record of an attempt of this entry that ends now."""
    return EndedAttempt(peer.node, peer.incarnation, number, has_started, now + MEMORY_S)
