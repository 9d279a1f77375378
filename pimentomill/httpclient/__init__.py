"""HTTP calls of the event loop, to the store, to workers and between entries."""

from ._caller import HttpCaller, HttpReply

__all__ = ["HttpCaller", "HttpReply"]
