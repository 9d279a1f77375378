"""Settings of the leader."""

import msgspec

from ._scheduling import Features

__all__ = ["ControlSettings"]


class ControlSettings(msgspec.Struct, frozen=True):
    """Timing of the leader's calls to workers and the store.

    Parameters
    ----------
    lease_ms : int
        Duration of a worker's lease in milliseconds. It outlasts the loss of a
        leader, which takes about 2 s to replace, and bounds the wait after the
        loss of a worker.
    max_lease_ms : int
        Upper bound of a worker on its lease in milliseconds, whatever a call says.
    hold_wait_ms : int
        Milliseconds for which a worker may delay its answer to a hold until a run
        ends; several holds fit into a lease.
    hold_timeout_ms : int
        Milliseconds beyond `hold_wait_ms` after which a hold has failed.
    hold_gap_ms : int
        Milliseconds between two holds, so that ends that occur close together are
        read together.
    start_timeout_ms : int
        Milliseconds after which the outcome of a start is unknown; a worker answers
        in a few.
    retry_ms : int
        Milliseconds before a failed call is retried.
    beat_ms : int
        Milliseconds between two heartbeats of the leader; several fit into the
        time without heartbeat after which it is replaced.
    advice_margin_ms : int
        Milliseconds before its expiry at which a ticket is no longer used.
    keep_finished_ms : int
        Milliseconds for which a finished job can be queried.
    pace_interval_ms : int
        Milliseconds between two checks of tasks with a latency target.
    restore_ms : int
        Milliseconds for which a run that resumes from a checkpoint does no work.
    stop_ms : int
        Milliseconds that a worker takes at most to stop a run.
    far_factor : float
        Multiple of its duration that a task takes off the rack with its data.
    evacuation_ms : int
        Milliseconds after the acknowledgement of an evacuation from which no run may be
        started in that data centre; 0 if starts are not bounded by the age of the
        operators' settings.
    checkpoint_interval_ms : int
        Milliseconds of work between two checkpoints.
    features : Features
        Optional features of scheduling.
    """

    lease_ms: int = 3600
    max_lease_ms: int = 6000
    hold_wait_ms: int = 1000
    hold_timeout_ms: int = 700
    hold_gap_ms: int = 25
    start_timeout_ms: int = 600
    retry_ms: int = 150
    beat_ms: int = 400
    advice_margin_ms: int = 120
    keep_finished_ms: int = 150000
    pace_interval_ms: int = 500
    restore_ms: int = 100
    stop_ms: int = 200
    far_factor: float = 1.5
    evacuation_ms: int = 5000
    checkpoint_interval_ms: int = 1000
    features: Features = Features()
