"""Settings of the leader."""

import msgspec

__all__ = ["ControlSettings"]


class ControlSettings(msgspec.Struct, frozen=True):
    """How the leader drives workers and the store.

    Parameters
    ----------
    lease_ms : int
        Lease given to workers. It outlasts the loss of a leader, which takes
        about 2 s to replace, and bounds the wait after the loss of a worker.
    hold_wait_ms : int
        Milliseconds for which a hold may wait for an end; several holds fit
        into a lease.
    hold_timeout_ms : int
        Milliseconds beyond that after which a hold has failed.
    hold_gap_ms : int
        Milliseconds between two holds, so that ends that come together are
        read together.
    start_timeout_ms : int
        Milliseconds after which a start is in doubt; a worker answers in a few.
    retry_ms : int
        Milliseconds before a failed call is repeated.
    beat_ms : int
        Milliseconds between two signs of the leader; several fit into the
        silence after which it is replaced.
    authority_ms : int
        Milliseconds without an append after which a leader gives up.
    advice_margin_ms : int
        Milliseconds before its end at which a ticket is no longer used.
    keep_finished_ms : int
        Milliseconds for which a finished job can be asked about.
    pace_interval_ms : int
        Milliseconds between two looks at tasks with a response time target.
    """

    lease_ms: int = 3600
    hold_wait_ms: int = 1000
    hold_timeout_ms: int = 700
    hold_gap_ms: int = 25
    start_timeout_ms: int = 600
    retry_ms: int = 150
    beat_ms: int = 400
    authority_ms: int = 20000
    advice_margin_ms: int = 120
    keep_finished_ms: int = 150000
    pace_interval_ms: int = 500
