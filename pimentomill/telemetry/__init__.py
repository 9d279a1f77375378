"""Logs and metrics."""

from ._logging import PartLog, start_logging
from ._metrics import Metrics

__all__ = ["Metrics", "PartLog", "start_logging"]
