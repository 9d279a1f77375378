"""Callers' requests about jobs."""

from ._intake import Intake, Kept

__all__ = ["Intake", "Kept"]
