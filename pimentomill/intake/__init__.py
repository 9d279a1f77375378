"""Callers' requests about jobs."""

from ._intake import ChangeOutcome, Intake

__all__ = ["ChangeOutcome", "Intake"]
