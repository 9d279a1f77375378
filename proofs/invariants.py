"""Invariants of a simulation, checked from outside after each step."""

from collections import Counter, defaultdict

from pimentomill.cell import CellFold, CellState
from pimentomill.entry import CELL_STREAM, group_stream
from pimentomill.exceptions import InvariantError
from pimentomill.holder import HolderPhase
from pimentomill.journal import decode_envelope
from pimentomill.utils import ZERO, GroupName, JobId, Resources, TeamName
from pimentomill.work import BatchSpec, TaskEnded, TaskOutcome, TaskRef, WorkFold

__all__ = ["Invariants"]

READ_LIMIT = 10_000


class LogOracle:
    """State folded from the complete log, ahead of every entry's view."""

    def __init__(self, world) -> None:
        self.world = world
        self.cell = CellFold()
        self.work = {group: WorkFold() for group in world.groups}
        self.outcomes: dict[TaskRef, TaskOutcome] = {}

    def refresh(self) -> None:
        """Fold the records appended since the last call."""
        self._fold(self.cell, CELL_STREAM)
        for group, fold in self.work.items():
            self._fold(fold, group_stream(group))

    def _fold(self, fold, stream) -> None:
        while True:
            start = fold.state_.next_offset
            log_slice = self.world.log_.slice(stream, start, READ_LIMIT)
            for index, payload in enumerate(log_slice.records):
                applied = fold.apply(log_slice.start + index, decode_envelope(payload))
                self._record_outcome(applied)
            if not log_slice.records:
                return

    def _record_outcome(self, applied) -> None:
        record = applied.record if applied is not None else None
        if isinstance(record, TaskEnded) and not applied.refusal:
            ref = TaskRef(record.job, record.index, record.attempt)
            self.outcomes[ref] = record.outcome

    def state(self) -> CellState:
        """Return the state of the cell."""
        return self.cell.state_

    def find_job(self, job_id: JobId):
        """Return a job from the group that owns it now, or None."""
        for fold in self.work.values():
            job = fold.state_.jobs.get(job_id)
            if job is not None and not job.moved_to:
                return job
        return None


class Invariants:
    """Check the invariants of a world.

    Parameters
    ----------
    world : World
        Simulation to check.

    Attributes
    ----------
    checked_ : Counter
        Number of checks, by invariant.
    withdrawn_ : set of JobId
        Jobs whose cancellation was stored before their acceptance.
    """

    def __init__(self, world) -> None:
        self.world = world
        self.oracle = LogOracle(world)
        self.checked_: Counter = Counter()
        self.withdrawn_: set[JobId] = set()
        self._limits: dict[TeamName, Resources] = {}
        self._past_limits: list[tuple[int, TeamName, Resources]] = []
        self._seen_versions: dict[str, dict[str, int]] = {}
        self.starts_: dict[tuple[JobId, int], list[TaskRef]] = defaultdict(list)
        world.start_callbacks.append(self._on_start)

    def _on_start(self, worker, ref: TaskRef) -> None:
        self._refresh()
        self._check_start_was_recorded(worker, ref)
        self._check_not_withdrawn(ref)
        self._check_runs_in_one_place(ref)
        self._check_not_rerun(ref)
        self._check_capacity(worker)
        self._check_limit(ref)
        self.starts_[(ref.job, ref.index)].append(ref)

    def check_step(self) -> None:
        """Check the invariants that hold after every step."""
        self._refresh()
        self._check_single_holder()
        self._check_configuration_versions()

    def _check_configuration_versions(self) -> None:
        """Check that no entry reverts to an older offset or team version."""
        self.checked_["configuration never reverts"] += 1
        for name, entry in self.world.entries_.items():
            cell = entry.core.cell()
            seen = self._seen_versions.setdefault(entry.member, {})
            if cell.next_offset < seen.get("", 0):
                self._fail("configuration never reverts", f"{name} reverted its offset")
            seen[""] = cell.next_offset
            for team in cell.teams.values():
                if team.version < seen.get(team.name, -1):
                    self._fail("configuration never reverts", f"{team} at {name}")
                seen[team.name] = team.version

    def check_convergence(self) -> None:
        """Check that teams and keys of all entries match the complete log."""
        self.checked_["configuration is in force everywhere"] += 1
        state = self.oracle.state()
        for name, entry in self.world.entries_.items():
            cell = entry.core.cell()
            if (cell.teams, cell.keys) != (state.teams, state.keys):
                self._fail("configuration is in force everywhere", name)

    def _refresh(self) -> None:
        self.oracle.refresh()
        self._record_limits()

    def _fail(self, name: str, detail: str) -> None:
        raise InvariantError(f"{name}: {detail}")

    def _check_start_was_recorded(self, worker, ref: TaskRef) -> None:
        self.checked_["a start was recorded before"] += 1
        job = self.oracle.find_job(ref.job)
        task = job.tasks[ref.index] if job else None
        if task is None or task.attempt < ref.attempt:
            self._fail("a start was recorded before", f"{ref} on {worker.model.id}")

    def _check_not_withdrawn(self, ref: TaskRef) -> None:
        name = "a job cancelled before its acceptance never runs"
        self.checked_[name] += 1
        if ref.job in self.withdrawn_:
            self._fail(name, f"{ref} is started")

    def _check_runs_in_one_place(self, ref: TaskRef) -> None:
        self.checked_["no task in two places"] += 1
        places = [
            (worker.model.id, other)
            for worker in self.world.workers_.values()
            for other in worker.model.running_
            if (other.job, other.index) == (ref.job, ref.index)
        ]
        if len(places) > 1:
            self._fail("no task in two places", f"{places}")

    def _check_not_rerun(self, ref: TaskRef) -> None:
        """Check that an attempt starts only after outcomes that permit another.

        A task that is not idempotent may run again after a failed or stopped
        attempt, but not after a lost one. After a success, a task may run again
        only in a gang, which restarts as a whole, or in a service.
        """
        self.checked_["finished work is not run again"] += 1
        earlier = self.starts_[(ref.job, ref.index)]
        if ref in earlier:
            self._fail("finished work is not run again", f"{ref} started twice")
        job = self.oracle.find_job(ref.job)
        allowed = {TaskOutcome.FAILED, TaskOutcome.STOPPED}
        if getattr(job.spec, "idempotent", True):
            allowed.add(TaskOutcome.LOST)
        if not isinstance(job.spec, BatchSpec):
            allowed.add(TaskOutcome.SUCCEEDED)
        for other in earlier:
            outcome = self.oracle.outcomes.get(other)
            if outcome not in allowed:
                detail = f"{ref} after {other}, which {outcome}"
                self._fail("finished work is not run again", detail)

    def _check_not_started(self) -> None:
        """Check that no attempt recorded as not started was started."""
        self.checked_["not run means not run"] += 1
        for refs in self.starts_.values():
            for ref in refs:
                if self.oracle.outcomes.get(ref) is TaskOutcome.NOT_STARTED:
                    self._fail("not run means not run", f"{ref} was started")

    def check_end(self) -> None:
        """Check the invariants that can be decided only at the end of a run."""
        self._refresh()
        self._check_not_started()

    def _check_capacity(self, worker) -> None:
        self.checked_["capacity is not exceeded"] += 1
        used = worker.model.used()
        if not used.fits_in(worker.model.capacity):
            self._fail("capacity is not exceeded", f"{worker.model.id} runs {used}")

    def _check_limit(self, ref: TaskRef) -> None:
        self.checked_["limit is not exceeded"] += 1
        team = self.oracle.find_job(ref.job).team
        limit = self._max_effective_limit(team)
        running = self._sum_running(team)
        if not running.fits_in(limit):
            detail = f"{team} runs {running.describe()} of {limit.describe()}"
            self._fail("limit is not exceeded", detail)

    def _max_effective_limit(self, team: TeamName) -> Resources:
        """Return the largest limit that a start in progress may still be based on.

        A holder's view of the log is at most one lease term old, and its command
        is valid for a bounded time after that.
        """
        leases = self.world.shape.leases
        since = self.world.clock_.now() - leases.ownership_ms - leases.command_ms
        limit = self.oracle.state().teams[team].limit
        for changed_at, changed_team, before in self._past_limits:
            if changed_team == team and changed_at > since:
                limit = limit.maximum(before)
        return limit

    def _record_limits(self) -> None:
        """Record the previous limits of teams whose limit has changed."""
        for team in self.oracle.state().teams.values():
            before = self._limits.get(team.name)
            if before is not None and before != team.limit:
                now = self.world.clock_.now()
                self._past_limits.append((now, team.name, before))
            self._limits[team.name] = team.limit

    def _sum_running(self, team: TeamName) -> Resources:
        running = ZERO
        for worker in self.world.workers_.values():
            for ref, task in worker.model.running_.items():
                job = self.oracle.find_job(ref.job)
                if job is not None and job.team == team:
                    running = running + task.resources
        return running

    def _check_single_holder(self) -> None:
        self.checked_["one holder at a time"] += 1
        holders: dict[GroupName, list[str]] = defaultdict(list)
        for name, entry in self.world.entries_.items():
            if not entry.core.guard_.is_valid():
                continue
            for group, holder in entry.core.holders_.items():
                if holder.is_acting or holder.phase_ is HolderPhase.OPENING:
                    holders[group].append(name)
        for group, names in holders.items():
            if len(names) > 1:
                self._fail("one holder at a time", f"{group} is held by {names}")
