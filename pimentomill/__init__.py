"""Cluster scheduler for services, batch runs and gangs that share one cell."""

__version__ = "0.1.0"

__all__ = ["__version__"]
