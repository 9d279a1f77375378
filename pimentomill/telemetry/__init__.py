"""Structured logging and metrics."""

from ._burn import ErrorBudgetRow, compute_burn, render_burn
from ._cell_metrics import CellMetrics
from ._logging import ComponentLogger, NonBlockingSink, log_to_stdout, start_logging
from ._metrics import Metrics

__all__ = [
    "CellMetrics",
    "ComponentLogger",
    "ErrorBudgetRow",
    "Metrics",
    "NonBlockingSink",
    "compute_burn",
    "log_to_stdout",
    "render_burn",
    "start_logging",
]
