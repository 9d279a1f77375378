"""Callers' requests about jobs."""

from ._intake import Intake, Kept, Unavailable

__all__ = ["Intake", "Kept", "Unavailable"]
