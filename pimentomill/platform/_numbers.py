"""Types of whole numbers that arrive as JSON, which has no bounds of its own."""

from typing import Annotated

from msgspec import Meta

__all__ = ["MAX_WHOLE_NUMBER", "Amount", "Milliseconds", "WholeNumber"]

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number that every JSON reader takes as it is. Numbers beyond 64 bits
can be decoded, but neither stored nor sent."""

WholeNumber = Annotated[int, Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
Amount = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Milliseconds = Annotated[float, Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
