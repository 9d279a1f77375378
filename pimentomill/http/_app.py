"""WSGI application that routes requests to typed handlers."""

import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec

from ..exceptions import PimentomillError, ValidationError
from ..utils import TrafficMeter, header_bytes
from ._errors import ErrorBody, response_of

__all__ = ["HttpRequest", "HttpResponse", "Router"]

T = TypeVar("T")
JSON = "application/json"
TEXT = "text/plain; charset=utf-8"
REQUEST_LINE_BYTES = 64
ANSWER_OVERHEAD_BYTES = 80


class HttpRequest(msgspec.Struct):
    """A request as a handler sees it.

    Parameters
    ----------
    method, path : str
        From the request line.
    query : str
        Part after the question mark.
    headers : dict
        Values by name in small letters.
    body : bytes
        Whole body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def decode(self, kind: type[T]) -> T:
        """Return the body as a message.

        Raises
        ------
        ValidationError
            If the body is not such a message; the error names the path.
        """
        try:
            return msgspec.json.decode(self.body, type=kind)
        except msgspec.DecodeError as exc:
            raise ValidationError(f"body: {exc}") from exc


class HttpResponse(msgspec.Struct):
    """An answer.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Whole body.
    content_type : str
        Type of the body.
    headers : dict
        Further headers.
    """

    status: int
    body: bytes
    content_type: str = JSON
    headers: dict[str, str] = {}

    @classmethod
    def json(cls, message: Any, status: int = HTTPStatus.OK) -> "HttpResponse":
        """Return a message as JSON."""
        return cls(int(status), msgspec.json.encode(message))

    @classmethod
    def text(cls, text: str, status: int = HTTPStatus.OK) -> "HttpResponse":
        """Return plain text."""
        return cls(int(status), text.encode(), TEXT)


Handler = Callable[..., HttpResponse]


class Router:
    """Choose a handler by method and path.

    Parameters
    ----------
    on_error : callable, default=None
        Called with the request and an exception that no handler expected.
    meter : TrafficMeter or None, default=None
        Where bytes are counted.
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
            Path in which ``{name}`` stands for one segment, passed on to the
            handler by that name.
        handler : callable
            Takes the request and the named segments.
        """
        regex = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append((method, re.compile(regex), handler))

    def answer(self, req: HttpRequest) -> HttpResponse:
        """Return the answer to a request; errors become clear statuses."""
        try:
            return self._route(req)
        except PimentomillError as exc:
            return self._error(exc)
        except Exception as exc:
            if self.on_error is not None:
                self.on_error(req, exc)
            return self._error(exc)

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
            body = ErrorBody("not_found", f"there is no {req.path}")
            return HttpResponse.json(body, HTTPStatus.NOT_FOUND)
        body = ErrorBody("method", f"{req.path} takes {', '.join(methods)}")
        response = HttpResponse.json(body, HTTPStatus.METHOD_NOT_ALLOWED)
        response.headers["Allow"] = ", ".join(methods)
        return response

    @staticmethod
    def _error(exc: Exception) -> HttpResponse:
        status, body, headers = response_of(exc)
        response = HttpResponse.json(body, status)
        response.headers.update(headers)
        return response

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request by the WSGI protocol."""
        try:
            req = _request_of(environ)
        except OSError as exc:
            body = ErrorBody("incomplete", f"the body did not arrive whole: {exc}")
            response = HttpResponse.json(body, HTTPStatus.REQUEST_TIMEOUT)
        else:
            response = self.answer(req)
        phrase = HTTPStatus(response.status).phrase
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers.items(),
        ]
        if self.meter is not None:
            self._count(environ, headers, len(response.body))
        start_response(f"{response.status} {phrase}", headers)
        return [response.body]

    def _count(
        self, environ: dict, headers: list[tuple[str, str]], body_bytes: int
    ) -> None:
        received = sum(len(k) + len(v) for k, v in environ.items() if k[:5] == "HTTP_")
        received += int(environ.get("CONTENT_LENGTH") or 0)
        sent = ANSWER_OVERHEAD_BYTES + header_bytes(dict(headers)) + body_bytes
        self.meter.add(sent, REQUEST_LINE_BYTES + received)


def _request_of(environ: dict) -> HttpRequest:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise OSError(f"got {len(body)} of {length} bytes")
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
    )
