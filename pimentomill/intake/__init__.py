"""Submission, cancellation and state queries of jobs."""

from ._intake import ChangeOutcome, Intake

__all__ = ["ChangeOutcome", "Intake"]
