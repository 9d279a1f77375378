"""Reasons why a job waits."""

from enum import Enum

import msgspec

__all__ = ["WaitCode", "WaitReason"]


class WaitCode(Enum):
    """Condition that prevents the placement of a job."""

    NOT_TRIED = "not tried yet"
    NO_WORKERS = "no live worker in the group"
    TOO_LARGE = "no worker of the group is large enough"
    NO_CAPACITY = "no room on the workers"
    TEAM_LIMIT = "the team's upper limit"


class WaitReason(msgspec.Struct, frozen=True):
    """Condition that prevents the placement of a job, with its figures."""

    code: WaitCode
    detail: str = ""

    def describe(self) -> str:
        """Return the reason as one line of text."""
        return f"{self.code.value}: {self.detail}" if self.detail else self.code.value
