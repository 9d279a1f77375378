"""Learned speeds of workers, and the detection of workers that have become slow."""

from ._detector import WINDOW_MS, Slowdown, SlowdownDetector, StoppedRun
from ._estimate import Estimate
from ._model import SpeedModel

__all__ = [
    "WINDOW_MS",
    "Estimate",
    "Slowdown",
    "SlowdownDetector",
    "SpeedModel",
    "StoppedRun",
]
