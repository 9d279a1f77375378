"""Calls between the system's own entries."""

from ._client import LinkClient, RemotePolicyClient
from ._messages import CallerAnswer, CallerRequest, WatchOutcome
from ._server import EntryServices, LinkServer

__all__ = [
    "CallerAnswer",
    "CallerRequest",
    "EntryServices",
    "LinkClient",
    "LinkServer",
    "RemotePolicyClient",
    "WatchOutcome",
]
