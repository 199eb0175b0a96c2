"""Budget of retries as a share of first attempts."""

from basilcove.requests.const import MAX_RETRY_BALANCE, RETRY_ADVANCE

# Rounding makes sums of shares such as 0.1 fall short of whole numbers.
_ROUNDING = 1e-9


class RetryBudget:
    """Token bucket to which each first attempt adds ``share``, and from which each retry withdraws 1.

    After ``n`` first attempts, at most ``max(RETRY_ADVANCE, share * n)`` retries were allowed.
    """

    def __init__(self, share: float = 0) -> None:
        """Allow retries up to this share of the first attempts; 0 allows none."""
        self.share = share
        self._balance = RETRY_ADVANCE
        self._debt = RETRY_ADVANCE

    def deposit(self) -> None:
        """Add the share of a first attempt."""
        repaid = min(self._debt, self.share)
        self._debt -= repaid
        self._balance = min(MAX_RETRY_BALANCE, self._balance + self.share - repaid)

    def withdraw(self) -> bool:
        """Withdraw one retry; return False if the budget is spent."""
        if self.share == 0 or self._balance < 1 - _ROUNDING:
            return False
        self._balance -= 1
        return True
