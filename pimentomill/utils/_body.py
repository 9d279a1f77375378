"""Reading of request bodies with limits on size and time."""

import asyncio
from collections.abc import AsyncIterator

from ..exceptions import BodyTooLargeError

__all__ = ["read_body"]

BLOCK_BYTES = 16_384
"""Size from which on a block of a body is not extended any more."""


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
    # Blocks of one size fragment the heap less than one block that grows.
    blocks = [bytearray()]
    received_bytes = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in chunks:
                received_bytes += len(chunk)
                if received_bytes > max_bytes:
                    raise BodyTooLargeError(f"request body exceeds {max_bytes} bytes")
                if len(blocks[-1]) >= BLOCK_BYTES:
                    blocks.append(bytearray())
                blocks[-1] += chunk
    except BaseException:
        # The stream keeps the exception, and the exception keeps this frame.
        blocks.clear()
        raise
    return b"".join(blocks)
