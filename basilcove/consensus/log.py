"""The log in memory."""

from basilcove.consensus.const import ENTRY_OVERHEAD_BYTES, MAX_APPEND_BYTES
from basilcove.consensus.exceptions import LogGapError
from basilcove.storage.models import LogEntry


class Log:
    """Entries after ``base_index``; earlier ones are covered by a snapshot."""

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        """Begin an empty log after the given entry."""
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        return tuple(self._entries[first - self.base_index - 1 : last - self.base_index])

    def next_batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` that fit in one message; at least one if there are any."""
        size = 0
        last = first - 1
        for entry in self._entries[first - self.base_index - 1 :]:
            size += len(entry.body) + ENTRY_OVERHEAD_BYTES
            if size > MAX_APPEND_BYTES and last >= first:
                break
            last = entry.index
        return self.between(first, last)

    def extend(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries that continue the log; LogGapError otherwise."""
        if entries and entries[0].index != self.last_index + 1:
            raise LogGapError(f'entry {entries[0].index} does not follow the last entry, {self.last_index}')
        self._entries.extend(entries)

    def truncate(self, first: int) -> None:
        """Drop the entry at ``first`` and all after it."""
        del self._entries[first - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop the entries up to ``index`` from memory."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
