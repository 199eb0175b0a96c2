"""Measures how long an answer has gone on since its first event."""

from dataclasses import dataclass

from basilcove.gateway.const import FIRST_REPORTED_REACH_S


@dataclass(slots=True)
class Reach:
    """The time since the first event of an attempt; all times are monotonic seconds."""

    _first_at: float | None = None
    _next_s: float = FIRST_REPORTED_REACH_S

    def advance(self, now: float) -> float | None:
        """Note an event; return how long the answer has gone on if that is due to be reported.

        It is due ever more rarely: once the time has doubled since the last report.
        """
        if self._first_at is None:
            self._first_at = now
        reach_s = now - self._first_at
        if reach_s < self._next_s:
            return None
        self._next_s = 2 * reach_s
        return reach_s

    def measure(self, now: float) -> float | None:
        """Return how long the answer has gone on; None before its first event."""
        return None if self._first_at is None else now - self._first_at
