"""Estimate of a quantity that is observed with noise."""

import math

__all__ = ["OUTLIER_SDS", "Estimate"]

OUTLIER_SDS = 2.0
"""Standard deviations to which a surprise is cut off before it is learned from: a few
tasks take several times as long as their siblings on any worker."""


class Estimate:
    """Normal estimate of a logarithm, with its uncertainty.

    Parameters
    ----------
    mean : float
        Expected value.
    variance : float
        Variance of the error of the mean.

    Examples
    --------
    >>> estimate = Estimate(0.0, 0.1)
    >>> estimate.update(0.4, gain=0.5)
    >>> estimate.mean, estimate.variance
    (0.2, 0.05)
    """

    __slots__ = ("mean", "variance")

    def __init__(self, mean: float, variance: float) -> None:
        self.mean = mean
        self.variance = variance

    def update(self, surprise: float, gain: float) -> None:
        """Correct the estimate by a part of an observation's deviation from it.

        Parameters
        ----------
        surprise : float
            Observed minus expected value.
        gain : float
            Part of the surprise that is due to this quantity, from 0 to 1.
        """
        self.mean += gain * surprise
        self.variance *= 1.0 - gain

    @staticmethod
    def cut_off(surprise: float, variance: float) -> float:
        """Return a surprise limited to `OUTLIER_SDS` standard deviations."""
        bound = OUTLIER_SDS * math.sqrt(variance)
        return max(-bound, min(bound, surprise))
