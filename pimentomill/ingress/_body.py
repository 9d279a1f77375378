"""Reading and decoding of request bodies."""

import zlib

from aiohttp import web

from ..exceptions import (
    BodyLostError,
    BodyTimeoutError,
    BodyTooLargeError,
    ValidationError,
)
from ..utils import read_body

__all__ = ["decode_content", "read_request_body", "skip_request_body"]

WINDOW_BITS_BY_ENCODING = {
    "gzip": zlib.MAX_WBITS | 16,
    "deflate": zlib.MAX_WBITS,
}
IDENTITY = ("", "identity")


async def read_request_body(
    req: web.BaseRequest, max_bytes: int, timeout_s: float
) -> bytes:
    """Read the complete body of a request at an `IngressServer`.

    Raises
    ------
    BodyTooLargeError
        If the body is larger than `max_bytes`.
    BodyTimeoutError
        If the body is not complete within `timeout_s`.
    BodyLostError
        If the body is malformed, its caller leaves or the request has been refused.
    """
    if (req.content_length or 0) > max_bytes:
        raise BodyTooLargeError(f"request body exceeds {max_bytes} bytes")
    try:
        if req.content.is_eof():
            body = req.content.read_nowait()
        else:
            body = await read_body(req.content.iter_any(), max_bytes, timeout_s)
    except TimeoutError as exc:
        raise BodyTimeoutError("timed out reading the request body") from exc
    except (ConnectionError, web.RequestPayloadError) as exc:
        raise BodyLostError(f"request body is not complete: {exc}") from exc
    except RuntimeError as exc:
        # The library's error for reading from a connection that has been closed.
        if req.protocol.connected:
            raise
        raise BodyLostError("request was refused meanwhile") from exc
    if len(body) > max_bytes:
        raise BodyTooLargeError(f"request body exceeds {max_bytes} bytes")
    if req.protocol.is_refused_:
        raise BodyLostError("request was refused meanwhile")
    req.protocol.mark_received()
    return body


def skip_request_body(req: web.BaseRequest) -> None:
    """Leave the body of a request unread, so that the request counts as complete."""
    req.protocol.mark_received()


def decode_content(body: bytes, encoding: str, max_bytes: int) -> bytes:
    """Decode a body that was sent with a content encoding.

    Parameters
    ----------
    body : bytes
        Body as it was received.
    encoding : str
        Value of the header field; gzip and deflate are decoded.
    max_bytes : int
        Maximum size of the decoded body.

    Raises
    ------
    BodyTooLargeError
        If the decoded body is larger than `max_bytes`.
    ValidationError
        If the encoding is not known or the body is not encoded like that.

    Examples
    --------
    >>> decode_content(zlib.compress(b"job"), "deflate", 3)
    b'job'
    """
    encoding = encoding.strip().lower()
    if encoding in IDENTITY:
        return body
    window_bits = WINDOW_BITS_BY_ENCODING.get(encoding)
    if window_bits is None:
        raise ValidationError(f"Content-Encoding is not supported, got {encoding!r}")
    decoder = zlib.decompressobj(window_bits)
    try:
        decoded = decoder.decompress(body, max_bytes + 1)
    except zlib.error as exc:
        raise ValidationError(f"body is not in {encoding}: {exc}") from exc
    if len(decoded) > max_bytes:
        raise BodyTooLargeError(f"request body exceeds {max_bytes} bytes")
    if not decoder.eof:
        raise ValidationError(f"body is not complete in {encoding}")
    return decoded
