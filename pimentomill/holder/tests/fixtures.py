"""A holder with an immediate log and workers that run in the same process."""

from collections import Counter

from pimentomill.cell import CellState, Team
from pimentomill.exceptions import TransportError
from pimentomill.holder import GroupHolder
from pimentomill.journal import (
    AppendState,
    Instance,
    InstanceKind,
    InstanceState,
    PendingAppend,
    encode_envelope,
)
from pimentomill.ownership import LeaseGuard
from pimentomill.settings import LeaseSettings
from pimentomill.standins import WorkerModel
from pimentomill.utils import ManualClock, Resources
from pimentomill.work import JobAccepted
from pimentomill.workers import CommandAnswer

LIMIT = Resources(100_000, 100_000, 10)
CAPACITY = Resources(8_000, 16_000, 2)
HOLDER = "e1-a"
LEASES = LeaseSettings(
    ownership_ms=4_000,
    renew_ms=1_000,
    margin_ms=300,
    task_ms=20_000,
    command_ms=1_000,
    report_ms=2_000,
)


class RatedClock:
    """Clock that runs faster or slower than another one."""

    def __init__(self, base, rate):
        self.base = base
        self.rate = rate

    def now(self):
        """Return the reading in milliseconds."""
        return int(self.base.now() * self.rate)

    def wall_ms(self):
        """Return the time of day, which the rate does not concern."""
        return self.base.wall_ms()


class HolderFixture:
    """One holder, its log and its workers.

    Parameters
    ----------
    worker_names : list of str
        Workers of the group.
    leases : LeaseSettings, default=LEASES
        Lease terms.
    worker_rate : float, default=1.0
        Speed of the workers' clocks relative to that of the holder.

    Attributes
    ----------
    silent, rejecting : set of str
        Workers whose answers and reports do not arrive, and workers that reject all
        batches with commands.
    on_read : callable
        Called after the holder has read new records.
    logs : dict
        Streams of this group and of another one.
    rejected_starts_ : int
        Number of rejected commands.
    simultaneous_runs_ : dict
        Highest number of runs at one time, by job and index of the task.
    """

    def __init__(self, worker_names, leases=LEASES, worker_rate=1.0):
        self.clock = ManualClock(start=1_000)
        worker_clock = RatedClock(self.clock, worker_rate)
        self.leases = leases
        self.state = CellState(
            teams={"kiln": Team("kiln", 1, LIMIT, 0)},
            allotments={"kiln": {"g1": LIMIT}},
        )
        self.guard = LeaseGuard(self.clock, 10**9, 0)
        self.guard.renew(self.clock.now())
        self.workers = {
            name: WorkerModel(name, CAPACITY, worker_clock) for name in worker_names
        }
        self.silent = set()
        self.on_read = lambda: None
        self.rejecting = set()
        self.rejected_starts_ = 0
        self.logs = {"g1": [], "g2": []}
        self.simultaneous_runs_ = {}
        self._seqs = {}
        self._batches = []
        self._epoch = 0
        self.take_over()
        self.run(2 * leases.report_ms)

    def take_over(self):
        """Replace the holder by a later one, which begins with the log."""
        self._epoch += 1
        self.holder = GroupHolder(
            "g1",
            ["dc1/r1"],
            self._epoch,
            HOLDER,
            "e1:1",
            self.leases,
            self.guard,
            self.clock,
            self,
        )
        self.holder.on_instances(
            [
                Instance(name, InstanceKind.WORKER, InstanceState.LIVE, name, "dc1/r1")
                for name in self.workers
            ]
        )
        self.holder.open()

    # Ports of the holder

    def append_work(self, group, record, linger_ms):
        """Append a record, which is durable at once."""
        item = PendingAppend(group, record, self.clock.now(), self.clock.now())
        item.state = AppendState.DURABLE
        self.write(group, record)
        return item

    def append_cell(self, record):
        """Take a record of the cell; limits are not at stake here."""
        return PendingAppend("cell", record, self.clock.now(), self.clock.now())

    def command(self, group, view, batch):
        """Send a batch to a worker."""
        self._batches.append((view.id, batch))

    def cell(self):
        """Return the state of the cell."""
        return self.state

    def summaries(self):
        """Return the summaries of other groups, of which there are none."""
        return {}

    # Time

    def write(self, group, record, writer=HOLDER):
        """Append a record as an entry does."""
        self._seqs[writer] = self._seqs.get(writer, 0) + 1
        payload = encode_envelope(writer, self._seqs[writer], record)
        self.logs[group].append(payload)

    def accept(self, spec, job="j"):
        """Accept a job."""
        self.write("g1", JobAccepted(1, job, "kiln", spec, False, 1), "e2-a")

    def run(self, duration_ms, step_ms=100):
        """Let time pass, with a report of each worker in each of its intervals."""
        for _ in range(duration_ms // step_ms):
            self.clock.advance(step_ms)
            for model in self.workers.values():
                model.end_due_tasks()
            if not self.clock.elapsed_ % self.leases.report_ms:
                self._report()
            self.step()

    def step(self):
        """Read the log, run a pass of the holder and deliver its batches."""
        self.read()
        self.holder.tick()
        self.read()
        batches, self._batches = self._batches, []
        for worker, batch in batches:
            answer = self._execute(worker, batch)
            if worker in self.silent:
                answer = TransportError("no answer", sent=True)
            self.holder.on_answer(worker, batch, answer)
        self.read()
        self._count_runs()

    def _execute(self, worker, batch):
        model = self.workers[worker]
        if worker in self.rejecting and batch.commands:
            self.rejected_starts_ += len(batch.commands)
            clock = model.clock.now()
            return CommandAnswer("overloaded", [], model.incarnation_, clock, None)
        return model.execute(batch)

    def read(self):
        """Let the holder read its stream to the end."""
        while self.holder.next_offset < len(self.logs["g1"]):
            start = self.holder.next_offset
            self.holder.on_records(start, self.logs["g1"][start:])
            self.on_read()

    def _report(self):
        for name, model in self.workers.items():
            if name in self.silent or not model.report_to_:
                continue
            report = model.report()
            reply = self.holder.on_report(report)
            if reply is not None:
                model.apply_reply(reply, report)

    def _count_runs(self):
        runs = Counter(
            (ref.job, ref.index)
            for model in self.workers.values()
            for ref in model.running_
        )
        for task, count in runs.items():
            highest = self.simultaneous_runs_.get(task, 0)
            self.simultaneous_runs_[task] = max(highest, count)

    def runs_of(self, job):
        """Return the workers that run a task of a job."""
        return [
            name
            for name, model in self.workers.items()
            for ref in model.running_
            if ref.job == job
        ]
