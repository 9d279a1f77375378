"""Waiting with a timeout."""

import asyncio

__all__ = ["wait_for_event"]

MS_PER_S = 1000


async def wait_for_event(event: asyncio.Event, timeout_ms: int) -> bool:
    """Wait until an event is set or the timeout expires.

    Parameters
    ----------
    event : asyncio.Event
        Event to wait for.
    timeout_ms : int
        Maximum wait in milliseconds.

    Returns
    -------
    bool
        Whether the event was set before the timeout.
    """
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            return await event.wait()
    except TimeoutError:
        return False
