"""Faults that a simulation can inject."""

from collections import Counter

import msgspec

__all__ = ["ActiveFaults", "FaultPlan"]


class FaultPlan(msgspec.Struct, frozen=True):
    """Probability of each fault.

    Parameters
    ----------
    message_loss, message_duplication, message_delay : float
        Probability that a command, answer or report is lost, delivered twice,
        or delayed by up to `max_delay_ms`.
    append_reply_loss, append_delay : float
        Probability that the reply to an append is lost after the append took
        effect, or that the append takes effect only after its sender timed out.
    max_delay_ms : int
        Maximum delay of a delayed or duplicated message in milliseconds.
    """

    message_loss: float = 0.02
    message_duplication: float = 0.02
    message_delay: float = 0.01
    append_reply_loss: float = 0.02
    append_delay: float = 0.005
    max_delay_ms: int = 20_000


class ActiveFaults(msgspec.Struct):
    """Faults in effect, and the number of injected faults of each kind.

    Parameters
    ----------
    is_log_down : bool
        Whether the log is unreachable for all entries.
    is_log_slow : bool
        Whether calls to the log take seconds.
    disconnected_entries : set of str
        Entries that cannot reach the log.
    disconnected_workers : set of str
        Workers that no entry can reach.
    counts : Counter
        Injected faults, by kind.
    """

    is_log_down: bool = False
    is_log_slow: bool = False
    disconnected_entries: set[str] = set()
    disconnected_workers: set[str] = set()
    counts: Counter = msgspec.field(default_factory=Counter)
