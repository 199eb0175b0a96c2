"""The share of one gateway in the retry budget."""

from collections import deque
from dataclasses import dataclass, field

from basilcove.gateway.config import RetryConfig
from basilcove.gateway.const import ASSUMED_GATEWAYS, BUDGET_BASE_SHARE, BUDGET_SHARE


@dataclass(slots=True)
class RetryBudget:
    """Times of the requests and retries of one service in the last window, in monotonic seconds.

    The base is divided among the gateways, so the shared limit holds regardless of what other gateways spend.
    """

    cfg: RetryConfig
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def count_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)
        self._drop_expired(now)

    def remaining(self, now: float, gateways: int) -> int:
        """Return how many more retries the window allows."""
        self._drop_expired(now)
        base = self.cfg.base * BUDGET_BASE_SHARE / (gateways or ASSUMED_GATEWAYS)
        allowed = int(self.cfg.ratio * BUDGET_SHARE * len(self.requests) + base)
        return allowed - len(self.retries)

    def spend(self, now: float, gateways: int) -> bool:
        """Spend a retry if the window allows it."""
        if self.remaining(now, gateways) <= 0:
            return False
        self.retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        window_start = now - self.cfg.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < window_start:
                times.popleft()
