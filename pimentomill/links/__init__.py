"""Client and server of the HTTP calls between entries."""

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
