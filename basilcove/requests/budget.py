"""Budget of retries as a share of first attempts."""

from basilcove.requests.const import MAX_SAVED_RETRIES, RETRY_ADVANCE

# Sums of shares such as 0.1 fall short of whole numbers by rounding.
_ROUNDING = 1e-9


class RetryBudget:
    """Token bucket fed by first attempts.

    After ``n`` first attempts at most ``max(RETRY_ADVANCE, share * n)`` retries were allowed.
    """

    def __init__(self, share: float = 0) -> None:
        """Allow retries up to this share of first attempts; 0 allows none."""
        self.share = share
        self._saved = RETRY_ADVANCE
        self._owed = RETRY_ADVANCE

    def feed(self) -> None:
        """Note a first attempt."""
        repaid = min(self._owed, self.share)
        self._owed -= repaid
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self.share - repaid)

    def take(self) -> bool:
        """Take one retry; False if there is none."""
        if self.share == 0 or self._saved < 1 - _ROUNDING:
            return False
        self._saved -= 1
        return True
