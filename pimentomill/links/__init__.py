"""Client and server of the HTTP calls between entries."""

from ._client import LeaseOutcome, LinkClient, RemotePolicyClient, Watcher
from ._messages import CallerAnswer, CallerRequest, LeaseQuery, WatchOutcome
from ._server import EntryServices, LinkServer

__all__ = [
    "CallerAnswer",
    "CallerRequest",
    "EntryServices",
    "LeaseOutcome",
    "LeaseQuery",
    "LinkClient",
    "LinkServer",
    "RemotePolicyClient",
    "WatchOutcome",
    "Watcher",
]
