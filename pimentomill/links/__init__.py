"""Calls between the system's own entries."""

from ._links import LinkServer, RemoteAdvisor, is_gone, relay_append

__all__ = ["LinkServer", "RemoteAdvisor", "is_gone", "relay_append"]
