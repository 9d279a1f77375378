"""Bound on retries."""

import threading

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allow retries only as a fraction of first tries.

    Parameters
    ----------
    fraction : float, default=0.1
        Retries earned by each first try.
    max_balance : float, default=10.0
        Most retries that can be saved up.

    Examples
    --------
    >>> budget = RetryBudget(fraction=0.5, max_balance=1.0)
    >>> budget.try_withdraw()
    True
    >>> budget.try_withdraw()
    False
    >>> budget.deposit()
    >>> budget.deposit()
    >>> budget.try_withdraw()
    True
    """

    def __init__(self, fraction: float = 0.1, max_balance: float = 10.0) -> None:
        self.fraction = fraction
        self.max_balance = max_balance
        self.balance_ = max_balance
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Note a first try."""
        with self._lock:
            self.balance_ = min(self.balance_ + self.fraction, self.max_balance)

    def try_withdraw(self) -> bool:
        """Spend a retry; return False if none is left."""
        with self._lock:
            if self.balance_ < 1:
                return False
            self.balance_ -= 1
            return True
