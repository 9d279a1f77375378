"""Calls between the system's own entries."""

from ._links import LifeSign, LinkServer, RemoteAdvisor, relay_append, watch_life

__all__ = ["LifeSign", "LinkServer", "RemoteAdvisor", "relay_append", "watch_life"]
