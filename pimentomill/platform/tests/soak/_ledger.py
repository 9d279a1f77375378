"""Events seen by callers and workers, checked against the guarantees."""

from collections import defaultdict

__all__ = ["Ledger"]


class Run:
    """One run of a task on a worker."""

    def __init__(self, worker, started_at):
        self.worker = worker
        self.started_at = started_at
        self.ended_at = None
        self.is_completed = False
        self.is_acknowledged = False

    def is_in_progress(self):
        """Return whether it runs, under a lease that has not lapsed."""
        if self.ended_at is None:
            self.worker.check_lease()
        return self.ended_at is None


class Ledger:
    """Record events and collect violations of the guarantees.

    Attributes
    ----------
    violations : list of str
        One line per violated guarantee.
    late_acknowledgements : list of str
        One line per end that was acknowledged after a later start that had waited for
        the lapse of the worker's lease.
    standing_tasks : set of str
        Accepted tasks that run until their job is cancelled.
    closed_data_centres : set of str
        Data centres evacuated for so long that no run may be started there any more.
    """

    def __init__(self):
        self.violations = []
        self.late_acknowledgements = []
        self.accepted = set()
        self.rejected = set()
        self.uncertain = set()
        self.cancelled = set()
        self.standing_tasks = set()
        self.runs = defaultdict(list)
        self.closed_data_centres = set()

    def record_start(self, task, worker, now):
        """Record the start of a run and check that it is no duplicate."""
        for run in self.runs[task]:
            if run.is_in_progress():
                self.violations.append(
                    f"TWICE {task}: at {run.worker.name}, {worker.name}"
                )
            elif run.is_completed and run.is_acknowledged:
                self.violations.append(
                    f"TWICE {task}: started after its end was acknowledged"
                )
        run = Run(worker, now)
        self.runs[task].append(run)
        return run

    def record_end(self, run, is_completed, now):
        """Record the end of a run."""
        run.ended_at = now
        run.is_completed = is_completed

    def record_acknowledged(self, task, run, lapsed_at):
        """Record that the leader has acknowledged the end of a run.

        Another run may have started after `lapsed_at`, when the lease of the worker
        lapsed for the first time after the end (None if it has not): a leader that
        cannot reach the worker learns no more than that.
        """
        if run.is_acknowledged or not run.is_completed:
            return
        run.is_acknowledged = True
        later = [other for other in self.runs[task] if other.started_at > run.ended_at]
        if not later:
            return
        if lapsed_at is not None and all(
            other.started_at > lapsed_at for other in later
        ):
            self.late_acknowledgements.append(
                f"{task}: end at {run.worker.name} read after its lease had lapsed"
            )
        else:
            self.violations.append(
                f"TWICE {task}: end acknowledged after a later start"
            )

    def stopped_standing_tasks(self):
        """Return the standing tasks of which no run is in progress."""
        return sorted(
            task
            for task in self.standing_tasks
            if not any(run.is_in_progress() for run in self.runs[task])
        )

    def check_capacity(self, worker, used):
        """Check that the tasks of a worker do not exceed its capacity."""
        if used > worker.capacity:
            self.violations.append(f"LIMIT {worker.name}: {used} of {worker.capacity}")

    def check_evacuation(self, task, worker):
        """Check that a run does not start in an evacuated data centre."""
        if worker.data_centre in self.closed_data_centres:
            self.violations.append(
                f"EVACUATED {task}: started at {worker.name} in {worker.data_centre}"
            )

    def check_rejected(self):
        """Check that no job ran that was rejected on every attempt or not submitted."""
        started = {task.split(".")[0] for task in self.runs}
        only_rejected = self.rejected - self.accepted - self.uncertain
        for job in sorted(started & only_rejected):
            self.violations.append(
                f"REFUSED {job}: ran although every attempt was rejected"
            )
        never_submitted = started - self.accepted - self.rejected - self.uncertain
        for job in sorted(never_submitted):
            self.violations.append(f"UNASKED {job}: ran without being submitted")
