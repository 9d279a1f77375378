"""Record of what was sent, answered and run."""

import sys
import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Write timestamped lines to a file.

    Parameters
    ----------
    path : Path
        File to write.
    """

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", buffering=1)

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self, verdict: str) -> None:
        """Write the verdict, also to standard output."""
        self.write(verdict)
        self._file.close()
        sys.stdout.write(verdict + "\n")
