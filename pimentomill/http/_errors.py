"""Mapping of exceptions to HTTP error responses."""

from functools import singledispatch
from http import HTTPStatus

import msgspec

from ..exceptions import (
    AdmissionError,
    AppendUnknownError,
    CapacityError,
    ConflictError,
    LogUnavailableError,
    NotFoundError,
    NotHolderError,
    QuerySyntaxError,
    TransportError,
    UnauthorizedError,
    ValidationError,
)

__all__ = ["ErrorBody", "build_error_response"]

RETRY_AFTER_S = 1
MS_PER_S = 1_000
ErrorResponse = tuple[int, "ErrorBody", dict[str, str]]


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """Body of an error response.

    Parameters
    ----------
    error : str
        Stable error code.
    message : str
        Description of the error, with the field and the value received.
    column : int, default=0
        Position in a statement, counted from 1; 0 if it does not apply.
    """

    error: str
    message: str
    column: int = 0


def _retry_after(seconds: int) -> dict[str, str]:
    return {"Retry-After": str(max(seconds, 1))}


@singledispatch
def build_error_response(exc: Exception) -> ErrorResponse:
    """Return the HTTP status, body and headers for an exception."""
    body = ErrorBody("internal", "internal error while handling the request")
    return HTTPStatus.INTERNAL_SERVER_ERROR, body, {}


@build_error_response.register
def _(exc: ValidationError) -> ErrorResponse:
    return HTTPStatus.BAD_REQUEST, ErrorBody("invalid", str(exc)), {}


@build_error_response.register
def _(exc: QuerySyntaxError) -> ErrorResponse:
    body = ErrorBody("syntax", str(exc), exc.column)
    return HTTPStatus.BAD_REQUEST, body, {}


@build_error_response.register
def _(exc: UnauthorizedError) -> ErrorResponse:
    headers = {"WWW-Authenticate": "Bearer"}
    return HTTPStatus.UNAUTHORIZED, ErrorBody("unauthorized", str(exc)), headers


@build_error_response.register
def _(exc: NotFoundError) -> ErrorResponse:
    return HTTPStatus.NOT_FOUND, ErrorBody("not_found", str(exc)), {}


@build_error_response.register
def _(exc: ConflictError) -> ErrorResponse:
    return HTTPStatus.CONFLICT, ErrorBody("conflict", str(exc)), {}


@build_error_response.register
def _(exc: CapacityError) -> ErrorResponse:
    body = ErrorBody("never_fits", str(exc))
    return HTTPStatus.UNPROCESSABLE_ENTITY, body, {}


@build_error_response.register
def _(exc: AdmissionError) -> ErrorResponse:
    seconds = -(-exc.retry_after_ms // MS_PER_S)
    body = ErrorBody("not_run", str(exc))
    return HTTPStatus.TOO_MANY_REQUESTS, body, _retry_after(seconds)


@build_error_response.register
def _(exc: LogUnavailableError) -> ErrorResponse:
    body = ErrorBody("not_run", str(exc))
    return HTTPStatus.SERVICE_UNAVAILABLE, body, _retry_after(RETRY_AFTER_S)


@build_error_response.register
def _(exc: NotHolderError) -> ErrorResponse:
    body = ErrorBody("no_holder", str(exc))
    return HTTPStatus.SERVICE_UNAVAILABLE, body, _retry_after(RETRY_AFTER_S)


@build_error_response.register
def _(exc: TransportError) -> ErrorResponse:
    body = ErrorBody("unreachable", str(exc))
    return HTTPStatus.SERVICE_UNAVAILABLE, body, _retry_after(RETRY_AFTER_S)


@build_error_response.register
def _(exc: AppendUnknownError) -> ErrorResponse:
    return HTTPStatus.GATEWAY_TIMEOUT, ErrorBody("unknown", str(exc)), {}
