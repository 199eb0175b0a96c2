"""A planned stop of a gateway: which requests it still takes, and when the open ones are ended."""

from dataclasses import dataclass, field

from basilcove.gateway.const import ANSWER_TIME_LIFETIME_S, STOP_MARGIN_S, STOP_NOTICE_S


@dataclass(slots=True)
class AnswerTimes:
    """How long the slowest recent answer of each route took; times are monotonic seconds."""

    _slowest: dict[str, tuple[float, float]] = field(default_factory=dict)

    def record(self, route: str, duration_s: float, now: float) -> None:
        """Count an answer that has just ended."""
        if duration_s >= self.slowest_s(route, now):
            self._slowest[route] = (duration_s, now)

    def slowest_s(self, route: str, now: float) -> float:
        """Return the duration of the slowest recent answer; zero without one."""
        duration_s, ended_at = self._slowest.get(route, (0.0, now))
        return duration_s if now - ended_at < ANSWER_TIME_LIFETIME_S else 0.0


@dataclass(slots=True)
class Stop:
    """A planned stop; ``timeout_s`` is the time that it may take, ``requested_at`` is None before it.

    A request that may run only once is taken late only if the answers of its route are fast enough: if it
    were cut off, its caller wouldn't know whether it ran.
    """

    timeout_s: float
    requested_at: float | None = None
    is_complete: bool = False
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)

    def is_notice_over(self, now: float) -> bool:
        """Return whether load balancers have had time to send new requests elsewhere."""
        return self.requested_at is not None and now - self.requested_at >= STOP_NOTICE_S

    def has_time_for(self, route: str, now: float) -> bool:
        """Return whether a new request of a route is likely to be answered before the process ends."""
        if self.requested_at is None:
            return True
        return self.answer_times.slowest_s(route, now) < self._left_s(now)

    def is_due(self, now: float) -> bool:
        """Return whether open requests must get their final answer, as the process is about to end."""
        return self.requested_at is not None and self._left_s(now) <= 0

    def _left_s(self, now: float) -> float:
        assert self.requested_at is not None
        return self.requested_at + self.timeout_s - STOP_MARGIN_S - now
