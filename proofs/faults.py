"""Faults that a run can show."""

from collections import Counter

import msgspec

__all__ = ["FaultPlan", "Faults"]


class FaultPlan(msgspec.Struct, frozen=True):
    """How likely each fault is.

    Parameters
    ----------
    lose_message, repeat_message, late_message : float
        Chance that a command, answer or report is lost, comes twice, or comes
        up to `late_ms` late.
    lose_append_answer, late_append : float
        Chance that the answer to an append is lost after it took effect, or
        that the append takes effect only after its sender gave up.
    late_ms : int
        Longest delay of a late message.
    """

    lose_message: float = 0.02
    repeat_message: float = 0.02
    late_message: float = 0.01
    lose_append_answer: float = 0.02
    late_append: float = 0.005
    late_ms: int = 20_000


class Faults(msgspec.Struct):
    """Present faults, and how often each kind was shown.

    Parameters
    ----------
    is_log_down : bool
        Nobody reaches the log.
    is_log_slow : bool
        The log takes seconds.
    cut_from_log : set of str
        Entries that do not reach the log.
    cut_workers : set of str
        Workers that no entry reaches.
    counts : Counter
        Faults shown, by kind.
    """

    is_log_down: bool = False
    is_log_slow: bool = False
    cut_from_log: set[str] = set()
    cut_workers: set[str] = set()
    counts: Counter = msgspec.field(default_factory=Counter)
