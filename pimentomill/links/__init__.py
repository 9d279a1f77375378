"""Calls between the system's own entries."""

from ._links import LinkServer, RemoteAdvisor

__all__ = ["LinkServer", "RemoteAdvisor"]
