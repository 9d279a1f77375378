"""HTTP calls of the event loop, to the store, to workers and between entries."""

from ._client import HttpClient, HttpReply

__all__ = ["HttpClient", "HttpReply"]
