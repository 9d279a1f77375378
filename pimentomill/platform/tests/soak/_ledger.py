"""What callers and workers have seen, against what was promised."""

from collections import defaultdict

__all__ = ["Ledger"]


class Run:
    """One run of a task at a worker."""

    def __init__(self, worker, started_at):
        self.worker = worker
        self.started_at = started_at
        self.ended_at = None
        self.is_completed = False
        self.is_acknowledged = False


class Ledger:
    """Collects events and the promises that were broken.

    Attributes
    ----------
    violations : list of str
        One line a broken promise.
    """

    def __init__(self):
        self.violations = []
        self.accepted = set()
        self.rejected = set()
        self.uncertain = set()
        self.cancelled = set()
        self.runs = defaultdict(list)

    def record_start(self, task, worker, now):
        """Take in that a run begins."""
        for run in self.runs[task]:
            if run.ended_at is None:
                self.violations.append(
                    f"TWICE {task}: at {run.worker.name}, {worker.name}"
                )
            elif run.is_completed and run.is_acknowledged:
                self.violations.append(f"TWICE {task}: started after its end was noted")
        run = Run(worker, now)
        self.runs[task].append(run)
        return run

    def record_end(self, run, is_completed, now):
        """Take in that a run has ended."""
        run.ended_at = now
        run.is_completed = is_completed

    def record_acknowledged(self, task, run):
        """Take in that the system has taken note of an end."""
        if run.is_acknowledged or not run.is_completed:
            return
        run.is_acknowledged = True
        later = [other for other in self.runs[task] if other.started_at > run.ended_at]
        if later:
            self.violations.append(f"TWICE {task}: noted an end, yet had started again")

    def check_capacity(self, worker, used):
        """Check that a worker holds no more than its capacity."""
        if used > worker.capacity:
            self.violations.append(f"LIMIT {worker.name}: {used} of {worker.capacity}")

    def check_rejected(self):
        """Check that nothing ran that every try was told would not."""
        started = {task.split(".")[0] for task in self.runs}
        only_rejected = self.rejected - self.accepted - self.uncertain
        for job in sorted(started & only_rejected):
            self.violations.append(f"REFUSED {job}: ran though all tries were refused")
        never_submitted = started - self.accepted - self.rejected - self.uncertain
        for job in sorted(never_submitted):
            self.violations.append(f"UNASKED {job}: nobody handed it in")
