"""Statuses for errors."""

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

__all__ = ["ErrorBody", "response_of"]

RETRY_SOON_S = 1
MS_PER_S = 1_000
Answer = tuple[int, "ErrorBody", dict[str, str]]


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """Body of an answer that is not a success.

    Parameters
    ----------
    error : str
        Stable short name of the error.
    message : str
        What is wrong, with the field and the value got.
    column : int, default=0
        Position in a command, from 1.
    """

    error: str
    message: str
    column: int = 0


def _retry_after(seconds: int) -> dict[str, str]:
    return {"Retry-After": str(max(seconds, 1))}


@singledispatch
def response_of(exc: Exception) -> Answer:
    """Return status, body and headers for an error."""
    body = ErrorBody("internal", "the request failed inside the entry")
    return HTTPStatus.INTERNAL_SERVER_ERROR, body, {}


@response_of.register
def _(exc: ValidationError) -> Answer:
    return HTTPStatus.BAD_REQUEST, ErrorBody("invalid", str(exc)), {}


@response_of.register
def _(exc: QuerySyntaxError) -> Answer:
    body = ErrorBody("syntax", str(exc), exc.column)
    return HTTPStatus.BAD_REQUEST, body, {}


@response_of.register
def _(exc: UnauthorizedError) -> Answer:
    headers = {"WWW-Authenticate": "Bearer"}
    return HTTPStatus.UNAUTHORIZED, ErrorBody("unauthorized", str(exc)), headers


@response_of.register
def _(exc: NotFoundError) -> Answer:
    return HTTPStatus.NOT_FOUND, ErrorBody("not_found", str(exc)), {}


@response_of.register
def _(exc: ConflictError) -> Answer:
    return HTTPStatus.CONFLICT, ErrorBody("conflict", str(exc)), {}


@response_of.register
def _(exc: CapacityError) -> Answer:
    body = ErrorBody("never_fits", str(exc))
    return HTTPStatus.UNPROCESSABLE_ENTITY, body, {}


@response_of.register
def _(exc: AdmissionError) -> Answer:
    seconds = -(-exc.retry_after_ms // MS_PER_S)
    body = ErrorBody("not_run", str(exc))
    return HTTPStatus.TOO_MANY_REQUESTS, body, _retry_after(seconds)


@response_of.register
def _(exc: LogUnavailableError) -> Answer:
    body = ErrorBody("not_run", str(exc))
    return HTTPStatus.SERVICE_UNAVAILABLE, body, _retry_after(RETRY_SOON_S)


@response_of.register
def _(exc: NotHolderError) -> Answer:
    body = ErrorBody("no_holder", str(exc))
    return HTTPStatus.SERVICE_UNAVAILABLE, body, _retry_after(RETRY_SOON_S)


@response_of.register
def _(exc: TransportError) -> Answer:
    body = ErrorBody("unreachable", str(exc))
    return HTTPStatus.SERVICE_UNAVAILABLE, body, _retry_after(RETRY_SOON_S)


@response_of.register
def _(exc: AppendUnknownError) -> Answer:
    return HTTPStatus.GATEWAY_TIMEOUT, ErrorBody("unknown", str(exc)), {}
