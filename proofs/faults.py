"""Faults that a run can show."""

from collections import Counter

import msgspec

__all__ = ["ActiveFaults", "FaultPlan"]


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

    message_loss: float = 0.02
    message_duplication: float = 0.02
    message_delay: float = 0.01
    append_reply_loss: float = 0.02
    append_delay: float = 0.005
    max_delay_ms: int = 20_000


class ActiveFaults(msgspec.Struct):
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
    disconnected_entries: set[str] = set()
    disconnected_workers: set[str] = set()
    counts: Counter = msgspec.field(default_factory=Counter)
