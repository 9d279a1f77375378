"""Reading of a request's body within bounds."""

import asyncio
from collections.abc import AsyncIterator

from ..exceptions import BodyTooLargeError

__all__ = ["read_body"]


async def read_body(
    chunks: AsyncIterator[bytes], max_bytes: int, timeout_s: float
) -> bytes:
    """Return a whole body.

    Parameters
    ----------
    parts : async iterator of bytes
        Parts of the body as they arrive.
    most_bytes : int
        Longest body taken; reading ends with the first byte beyond it.
    limit_s : float
        Seconds for the whole body.

    Raises
    ------
    BodyTooLargeError
        If it is longer.
    TimeoutError
        If it is not whole in time.
    """
    body = bytearray()
    async with asyncio.timeout(timeout_s):
        async for chunk in chunks:
            body += chunk
            if len(body) > max_bytes:
                raise BodyTooLargeError(f"the body is longer than {max_bytes} bytes")
    return bytes(body)
