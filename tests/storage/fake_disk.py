"""In-memory disk that loses unsynced writes in a crash."""

from basilcove.storage.driver import merge_writes
from basilcove.storage.events import Persist, PersistSnapshot
from basilcove.storage.models import Batch, HardState, LogStart, Recovered, Snapshot
from basilcove.storage.replay import Replay


class FakeDisk:
    """Stores batches as the journal does; ``crash`` loses the unsynced tail.

    A torn write is lost as a whole, since the checksum of its frame fails.
    """

    def __init__(self) -> None:
        self.is_full = False
        # Writes that wait while the disk is full.
        self.waiting: list[Persist | PersistSnapshot] = []
        self.synced_at = 0.0
        self.sync_time: float | None = None
        self.hard_state = HardState('', '', 0, '')
        self.last_index = 0
        self._synced: list[Batch] = []
        self._snapshot: Snapshot | None = None
        self._unsynced: list[Persist | PersistSnapshot] = []

    def write(self, effect: Persist | PersistSnapshot) -> None:
        self._unsynced.append(effect)

    @property
    def last_ticket(self) -> int | None:
        """Return the ticket of the last write that is not durable."""
        return self._unsynced[-1].ticket if self._unsynced else None

    def sync(self, ticket: int) -> bool:
        """Make the writes up to a ticket durable; False if a crash lost them."""
        if not self._unsynced or self.is_full:
            return False
        while self._unsynced and self._unsynced[0].ticket <= ticket:
            self._make_durable(self._unsynced.pop(0))
        return True

    def crash(self, torn: bool) -> None:
        """Lose unsynced writes; if torn, a snapshot may exist without its new segment."""
        first = self._unsynced[0] if self._unsynced else None
        if torn and isinstance(first, PersistSnapshot):
            self._snapshot = first.snapshot
        elif torn and len(self._unsynced) > 1:
            self._make_durable(self._unsynced[0])
        self._unsynced.clear()
        self.waiting.clear()

    def recover(self) -> Recovered:
        replay = Replay()
        for batch in self._synced:
            replay.add(batch)
        recovered = replay.finish(self._snapshot)
        missing = replay.find_missing_start(recovered)
        if missing is not None:
            self._synced.append(missing)
        if recovered.entries:
            self.last_index = recovered.entries[-1].index
        elif recovered.snapshot is not None:
            self.last_index = recovered.snapshot.index
        return recovered

    def _make_durable(self, effect: Persist | PersistSnapshot) -> None:
        self.hard_state = effect.hard_state or self.hard_state
        entries = effect.tail if isinstance(effect, PersistSnapshot) else effect.entries
        if entries:
            self.last_index = entries[-1].index
        elif isinstance(effect, PersistSnapshot):
            self.last_index = effect.snapshot.index
        if isinstance(effect, Persist):
            self._synced.append(merge_writes([effect]))
            return
        self._snapshot = effect.snapshot
        start = LogStart(effect.snapshot.index, effect.snapshot.term)
        self._synced = [Batch(effect.hard_state, start, effect.tail)]
