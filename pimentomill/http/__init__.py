"""HTTP server, request router and client for control traffic."""

from ._app import HttpRequest, HttpResponse, Router
from ._client import MeteredClient, is_unsent
from ._errors import build_error_response
from ._server import HttpServer

__all__ = [
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "MeteredClient",
    "Router",
    "build_error_response",
    "is_unsent",
]
