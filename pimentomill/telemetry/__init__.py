"""Logs and metrics."""

from ._burn import BurnRow, burn_report, render_burn
from ._cell_metrics import CellMetrics
from ._logging import NonBlockingSink, PartLog, log_to_stdout, start_logging
from ._metrics import Metrics

__all__ = [
    "BurnRow",
    "CellMetrics",
    "Metrics",
    "NonBlockingSink",
    "PartLog",
    "burn_report",
    "log_to_stdout",
    "render_burn",
    "start_logging",
]
