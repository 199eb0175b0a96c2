"""The gateway's share of the budget of repeats."""

from collections import deque
from dataclasses import dataclass, field

from basilcove.gateway.config import RetryConfig
from basilcove.gateway.const import ASSUMED_GATEWAYS, BUDGET_BASE_SHARE, BUDGET_SHARE


@dataclass(slots=True)
class RetryBudget:
    """Requests and repeats of one service in the last window, by monotonic seconds.

    The base is divided among the gateways, so the shares hold whatever the others spend.
    """

    cfg: RetryConfig
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)
        self._drop(now)

    def left(self, now: float, gateways: int) -> int:
        """Return how many more repeats the window allows."""
        self._drop(now)
        base = self.cfg.base * BUDGET_BASE_SHARE / (gateways or ASSUMED_GATEWAYS)
        allowed = int(self.cfg.ratio * BUDGET_SHARE * len(self.requests) + base)
        return allowed - len(self.repeats)

    def take(self, now: float, gateways: int) -> bool:
        """Spend a repeat if the window allows it."""
        if self.left(now, gateways) <= 0:
            return False
        self.repeats.append(now)
        return True

    def _drop(self, now: float) -> None:
        oldest = now - self.cfg.window_s
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()
