"""The limit of one group, which follows its estimate in small steps."""

from dataclasses import dataclass

from basilcove.concurrency.const import (
    GAIN_OFF,
    GAIN_ON,
    GIVE_UP_S,
    MAX_FLOOR,
    MAX_ON_TIME_SHARE,
    MAX_STEP_DOWN,
    MAX_STEP_UP,
    MAX_STEPS_PER_S,
    MIN_FIRST_SHARE,
    MIN_LIMIT,
    MIN_ON_TIME_SHARE,
    MIN_SEEN_SHARE,
    PROBATION_S,
    STEP_INTERVAL_S,
    SWITCH_TIME_S,
)
from basilcove.concurrency.estimates import Outlook


@dataclass(slots=True)
class LoadLimit:
    """Most requests in flight a rank, None while there is no limit; times are monotonic seconds."""

    load: float | None = None
    _stepped_at: float = 0
    _switched_at: float = 0
    _given_up_until: float = 0
    _pending_since: float | None = None

    def is_due(self, groups: int, now: float) -> bool:
        """Return whether it is time for a step; the time between steps grows with the number of groups."""
        return now - self._stepped_at >= max(STEP_INTERVAL_S, groups / MAX_STEPS_PER_S)

    def follow(self, outlook: Outlook | None, slots: int, now: float) -> None:
        """Switch the limit on or off with hysteresis, or move it one step towards the best load."""
        self._stepped_at = now
        self._switch(outlook, slots, now)
        if self.load is None:
            return
        is_at_floor = self.load <= MAX_FLOOR and now - self._switched_at > PROBATION_S
        if is_at_floor and outlook is not None and outlook.seen_share < MIN_SEEN_SHARE:
            self._given_up_until = now + GIVE_UP_S
        if now < self._given_up_until:
            outlook = None
        wanted = outlook.load if outlook is not None and _is_useful(outlook, GAIN_OFF) else slots
        lowest, highest = self.load * MAX_STEP_DOWN, self.load * MAX_STEP_UP
        self.load = max(MIN_LIMIT, min(highest, max(lowest, wanted)))

    def _switch(self, outlook: Outlook | None, slots: int, now: float) -> None:
        if self.load is None:
            is_pending = now >= self._given_up_until and outlook is not None and _is_needed(outlook)
        else:
            is_pending = self.load >= slots and (outlook is None or not _is_useful(outlook, GAIN_OFF))
        if not is_pending:
            self._pending_since = None
            return
        if self._pending_since is None:
            self._pending_since = now
        if now - self._pending_since < SWITCH_TIME_S:
            return
        self._pending_since = None
        self._switched_at = now
        if self.load is None and outlook is not None:
            self.load = max(outlook.load, MIN_FIRST_SHARE * slots)
        else:
            self.load = None


def _is_needed(outlook: Outlook) -> bool:
    return outlook.recent_share < MAX_ON_TIME_SHARE and _is_useful(outlook, GAIN_ON)


def _is_useful(outlook: Outlook, gain: float) -> bool:
    return outlook.gain >= gain and outlook.on_time_share >= MIN_ON_TIME_SHARE
