"""What callers and workers have seen, against what was promised."""

from collections import defaultdict

__all__ = ["Ledger"]


class Run:
    """One run of a task at a worker."""

    def __init__(self, worker, began):
        self.worker = worker
        self.began = began
        self.ended = None
        self.is_done = False
        self.is_noted = False


class Ledger:
    """Collects events and the promises that were broken.

    Attributes
    ----------
    broken : list of str
        One line a broken promise.
    """

    def __init__(self):
        self.broken = []
        self.accepted = set()
        self.refused = set()
        self.uncertain = set()
        self.cancelled = set()
        self.runs = defaultdict(list)

    def note_start(self, task, worker, now):
        """Take in that a run begins."""
        for run in self.runs[task]:
            if run.ended is None:
                self.broken.append(f"TWICE {task}: at {run.worker.name}, {worker.name}")
            elif run.is_done and run.is_noted:
                self.broken.append(f"TWICE {task}: started after its end was noted")
        run = Run(worker, now)
        self.runs[task].append(run)
        return run

    def note_end(self, run, is_done, now):
        """Take in that a run has ended."""
        run.ended = now
        run.is_done = is_done

    def note_acknowledged(self, task, run):
        """Take in that the system has taken note of an end."""
        if run.is_noted or not run.is_done:
            return
        run.is_noted = True
        later = [other for other in self.runs[task] if other.began > run.ended]
        if later:
            self.broken.append(f"TWICE {task}: noted an end, yet had started again")

    def check_room(self, worker, used):
        """Check that a worker holds no more than its capacity."""
        if used > worker.capacity:
            self.broken.append(f"LIMIT {worker.name}: {used} of {worker.capacity}")

    def check_refused(self):
        """Check that nothing ran that every try was told would not."""
        started = {task.split(".")[0] for task in self.runs}
        never = self.refused - self.accepted - self.uncertain
        for job in sorted(started & never):
            self.broken.append(f"REFUSED {job}: ran though all tries were refused")
        strangers = started - self.accepted - self.refused - self.uncertain
        for job in sorted(strangers):
            self.broken.append(f"UNASKED {job}: nobody handed it in")
