"""Bound on retries."""

import threading

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allow retries only as a fraction of first tries.

    Parameters
    ----------
    fraction : float, default=0.1
        Retries earned by each first try.
    most : float, default=10.0
        Most retries that can be saved up.

    Examples
    --------
    >>> budget = RetryBudget(fraction=0.5, most=1.0)
    >>> budget.take()
    True
    >>> budget.take()
    False
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.take()
    True
    """

    def __init__(self, fraction: float = 0.1, most: float = 10.0) -> None:
        self.fraction = fraction
        self.most = most
        self.saved_ = most
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Note a first try."""
        with self._lock:
            self.saved_ = min(self.saved_ + self.fraction, self.most)

    def take(self) -> bool:
        """Spend a retry; return False if none is left."""
        with self._lock:
            if self.saved_ < 1:
                return False
            self.saved_ -= 1
            return True
