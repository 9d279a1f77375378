"""Retry budget."""

import threading

__all__ = ["RetryBudget"]


class RetryBudget:
    """Limit retries to a fraction of first attempts.

    Parameters
    ----------
    fraction : float, default=0.1
        Retries that each first attempt adds to the balance.
    max_balance : float, default=10.0
        Upper limit of the balance, which is also its initial value.

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
        """Add the fraction for a first attempt to the balance."""
        with self._lock:
            self.balance_ = min(self.balance_ + self.fraction, self.max_balance)

    def try_withdraw(self) -> bool:
        """Deduct one retry; return False if the balance is below one."""
        with self._lock:
            if self.balance_ < 1:
                return False
            self.balance_ -= 1
            return True
