"""Asynchronous HTTP client for the store, workers and peer entries."""

from ._client import HttpClient, HttpReply

__all__ = ["HttpClient", "HttpReply"]
