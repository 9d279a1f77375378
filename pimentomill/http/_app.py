"""HTTP requests, responses and the routing to handlers."""

import re
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec

from ..exceptions import PimentomillError, ValidationError
from ..utils import TrafficMeter, header_bytes
from ._errors import ErrorBody, build_error_response

__all__ = ["HttpRequest", "HttpResponse", "Router"]

T = TypeVar("T")
JSON = "application/json"
TEXT = "text/plain; charset=utf-8"
REQUEST_LINE_BYTES = 64
RESPONSE_OVERHEAD_BYTES = 80


class HttpRequest(msgspec.Struct):
    """HTTP request as passed to a handler.

    Parameters
    ----------
    method, path : str
        Method and path from the request line.
    query : str
        Query string without the question mark.
    headers : dict
        Header values by lowercase name.
    body : bytes
        Complete request body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def decode(self, message_type: type[T]) -> T:
        """Decode the JSON body into a message.

        Parameters
        ----------
        message_type : type
            Type of the message.

        Raises
        ------
        ValidationError
            If the body does not match the type; the error contains the path of
            the offending field.
        """
        try:
            return msgspec.json.decode(self.body, type=message_type)
        except msgspec.DecodeError as exc:
            raise ValidationError(f"body: {exc}") from exc


class HttpResponse(msgspec.Struct):
    """HTTP response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Complete response body.
    content_type : str
        Media type of the body.
    headers : dict
        Additional headers.
    """

    status: int
    body: bytes
    content_type: str = JSON
    headers: dict[str, str] = {}

    @classmethod
    def json(cls, message: Any, status: int = HTTPStatus.OK) -> "HttpResponse":
        """Return a response with a message encoded as JSON."""
        return cls(int(status), msgspec.json.encode(message))

    @classmethod
    def text(cls, text: str, status: int = HTTPStatus.OK) -> "HttpResponse":
        """Return a plain-text response."""
        return cls(int(status), text.encode(), TEXT)


Handler = Callable[..., HttpResponse]


class Router:
    """Dispatch requests to handlers by method and path.

    Parameters
    ----------
    on_error : callable, default=None
        Called with the request and an exception that is not a `PimentomillError`.
    meter : TrafficMeter or None, default=None
        Counts the bytes of requests and responses.
    """

    def __init__(
        self,
        on_error: Callable[[HttpRequest, Exception], None] | None = None,
        meter: TrafficMeter | None = None,
    ) -> None:
        self.on_error = on_error
        self.meter = meter
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route.

        Parameters
        ----------
        method : str
            HTTP method.
        pattern : str
            Path in which ``{name}`` matches one segment, passed to the handler
            as a keyword argument of that name.
        handler : callable
            Takes the request and the named segments.
        """
        regex = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append((method, re.compile(regex), handler))

    def dispatch(self, req: HttpRequest) -> HttpResponse:
        """Call the handler of a request; exceptions are mapped to error responses."""
        try:
            return self._route(req)
        except PimentomillError as exc:
            return self._error_response(exc)
        except Exception as exc:
            if self.on_error is not None:
                self.on_error(req, exc)
            return self._error_response(exc)

    def _route(self, req: HttpRequest) -> HttpResponse:
        methods = []
        for method, regex, handler in self._routes:
            match = regex.fullmatch(req.path)
            if match is None:
                continue
            if method == req.method:
                return handler(req, **match.groupdict())
            methods.append(method)
        if not methods:
            body = ErrorBody("not_found", f"no route for path {req.path}")
            return HttpResponse.json(body, HTTPStatus.NOT_FOUND)
        body = ErrorBody("method", f"{req.path} allows {', '.join(methods)}")
        response = HttpResponse.json(body, HTTPStatus.METHOD_NOT_ALLOWED)
        response.headers["Allow"] = ", ".join(methods)
        return response

    @staticmethod
    def _error_response(exc: Exception) -> HttpResponse:
        status, body, headers = build_error_response(exc)
        response = HttpResponse.json(body, status)
        response.headers.update(headers)
        return response

    def serve(self, req: HttpRequest) -> HttpResponse:
        """Dispatch a request and count the bytes of it and of its response."""
        response = self.dispatch(req)
        if self.meter is not None:
            sent = header_bytes(response.headers) + len(response.body)
            received = header_bytes(req.headers) + len(req.body)
            self.meter.add(
                RESPONSE_OVERHEAD_BYTES + sent, REQUEST_LINE_BYTES + received
            )
        return response
