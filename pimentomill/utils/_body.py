"""Reading of a request's body within bounds."""

import asyncio
from collections.abc import AsyncIterator

from ..exceptions import BodyTooLargeError

__all__ = ["read_body"]


async def read_body(
    parts: AsyncIterator[bytes], most_bytes: int, limit_s: float
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
    async with asyncio.timeout(limit_s):
        async for part in parts:
            body += part
            if len(body) > most_bytes:
                raise BodyTooLargeError(f"the body is longer than {most_bytes} bytes")
    return bytes(body)
