"""Calls between the system's own entries."""

from ._client import EntryLinks, RemoteAdvisor
from ._messages import CallerAnswer, CallerRequest, LifeSign
from ._server import EntryServices, LinkServer

__all__ = [
    "CallerAnswer",
    "CallerRequest",
    "EntryLinks",
    "EntryServices",
    "LifeSign",
    "LinkServer",
    "RemoteAdvisor",
]
