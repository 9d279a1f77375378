"""Logs and metrics."""

from ._logging import NonBlockingSink, PartLog, log_to_stdout, start_logging
from ._metrics import Metrics

__all__ = ["Metrics", "NonBlockingSink", "PartLog", "log_to_stdout", "start_logging"]
