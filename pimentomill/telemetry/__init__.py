"""Structured logging and metrics."""

from ._burn import ErrorBudgetRow, compute_burn, render_burn
from ._cell_metrics import CellMetrics
from ._logging import ComponentLogger, NonBlockingSink, log_to_stdout, start_logging
from ._losses import LossCause, QueueLosses, compute_losses, render_losses
from ._metrics import Metrics

__all__ = [
    "CellMetrics",
    "ComponentLogger",
    "ErrorBudgetRow",
    "LossCause",
    "Metrics",
    "NonBlockingSink",
    "QueueLosses",
    "compute_burn",
    "compute_losses",
    "log_to_stdout",
    "render_burn",
    "render_losses",
    "start_logging",
]
