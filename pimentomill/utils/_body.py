"""Reading of request bodies with limits on size and time."""

import asyncio
from collections.abc import AsyncIterator

from ..exceptions import BodyTooLargeError

__all__ = ["read_body"]


async def read_body(
    chunks: AsyncIterator[bytes], max_bytes: int, timeout_s: float
) -> bytes:
    """Read a complete body.

    Parameters
    ----------
    chunks : async iterator of bytes
        Chunks of the body as they arrive.
    max_bytes : int
        Maximum size of the body; reading stops at the first byte beyond it.
    timeout_s : float
        Seconds to read the complete body.

    Raises
    ------
    BodyTooLargeError
        If the body is larger than `max_bytes`.
    TimeoutError
        If the body is not complete within `timeout_s`.
    """
    body = bytearray()
    async with asyncio.timeout(timeout_s):
        async for chunk in chunks:
            body += chunk
            if len(body) > max_bytes:
                raise BodyTooLargeError(f"request body exceeds {max_bytes} bytes")
    return bytes(body)
