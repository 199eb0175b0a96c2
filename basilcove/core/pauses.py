"""Notices that this process stood still, after which what it reads may have been sent long before.

Guards against a call that its caller has given up, and whose effect the caller has reverted elsewhere since.
"""

from dataclasses import dataclass
from typing import Final

from basilcove.core.events import Count, Effect, Log, Tick
from basilcove.core.reducer import Context, handles

# Callers ask another host after a second without an answer; a call that waited for less is current.
MAX_TICK_GAP_S: Final = 0.8
# By then what had arrived before the end of a pause has been read.
LATE_READS_S: Final = 1.0


@dataclass(slots=True)
class PauseState:
    """Times of the last tick by both clocks, in seconds; ``late_until`` is monotonic."""

    ticked_at: float | None = None
    ticked_wall_time: float = 0
    late_until: float = 0

    def reads_late(self, now: float, wall_time: float) -> bool:
        """Tell whether what is read now may have arrived before a pause of this process."""
        return now < self.late_until or self.gap_s(now, wall_time) > MAX_TICK_GAP_S

    def gap_s(self, now: float, wall_time: float) -> float:
        """Return the time since the last tick.

        The monotonic clock doesn't count the time for which a machine is suspended. A step of the time of day
        looks like a pause.
        """
        if self.ticked_at is None:
            return 0
        return max(now - self.ticked_at, wall_time - self.ticked_wall_time)


@handles(Tick, PauseState)
def _on_tick(state: PauseState, event: Tick, ctx: Context) -> list[Effect]:
    gap_s = state.gap_s(ctx.now, ctx.wall_time)
    state.ticked_at, state.ticked_wall_time = ctx.now, ctx.wall_time
    if gap_s <= MAX_TICK_GAP_S:
        return []
    state.late_until = ctx.now + LATE_READS_S
    return [Log('warning', 'the process stood still', (('paused_s', f'{gap_s:.1f}'),)), Count('pauses')]
