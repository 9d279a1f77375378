"""Long randomised simulations of the whole system."""

import argparse
import sys
from collections.abc import Callable

import msgspec

from pimentomill.cell import KeyIssued, KeyRevoked, TeamSet
from pimentomill.exceptions import InvariantError
from pimentomill.utils import JobId, KeyId, Resources, TeamName
from pimentomill.work import (
    BatchSpec,
    GangSpec,
    JobAccepted,
    JobCancelled,
    JobWithdrawn,
    ServiceSpec,
    TaskOutcome,
    TaskState,
    choose_home_group,
    make_job_id,
)
from proofs.faults import FaultPlan
from proofs.invariants import Invariants
from proofs.world import World, WorldShape

__all__ = ["Soak", "SoakResult", "main"]

TEAMS = [TeamName("planting"), TeamName("kiln"), TeamName("sorting")]
LIMITS = [
    Resources(6_000, 16_000, 2),
    Resources(12_000, 32_000, 4),
    Resources(20_000, 64_000, 6),
]
ACTION_INTERVAL_MS = 200
MAX_SUBMISSION_DELAY_MS = 5_000
COMPLETION_TIMEOUT_MS = 1_800_000
WARM_UP_MS = 5_000
CONVERGENCE_TIME_MS = 4_000
MAX_TRACE_LINES = 40
COMPLETION_CHECK_INTERVAL_MS = 10_000


class SoakResult(msgspec.Struct):
    """Result of a run.

    Parameters
    ----------
    seed, steps : int
        Seed of the run, and its number of events.
    jobs : int
        Number of accepted jobs.
    faults, checked : dict
        Injected faults and executed checks, by kind.
    failure : str
        Description of the violation, empty if there is none.
    trace : list of str
        Last lines of the trace, empty unless the run failed.
    """

    seed: int
    steps: int
    jobs: int
    faults: dict[str, int]
    checked: dict[str, int]
    failure: str = ""
    trace: list[str] = []


class Soak:
    """Drive a world with random jobs, operator changes and faults.

    Parameters
    ----------
    seed : int
        Seed of the random number generator; a run is deterministic for a seed.
    shape : WorldShape, default=WorldShape()
        Size and timing.
    plan : FaultPlan, default=FaultPlan()
        Probabilities of message and append faults.
    """

    def __init__(
        self,
        seed: int,
        shape: WorldShape | None = None,
        plan: FaultPlan | None = None,
    ) -> None:
        self.world = World(seed, shape or WorldShape(), plan or FaultPlan())
        self.rng = self.world.rng
        self.invariants = Invariants(self.world)
        self.accepted_: set[JobId] = set()
        self.cancelled_: set[JobId] = set()
        self._keys = 0
        self._outages = 0

    def run(self, steps: int) -> SoakResult:
        """Run a number of steps, clear all faults, and check that all jobs end."""
        try:
            self._warm_up()
            self._run_steps(steps)
            self._clear_faults()
            self._wait_for_completion()
            self._advance(CONVERGENCE_TIME_MS)
            self._check_final_state()
        except InvariantError as exc:
            return self._make_result(str(exc))
        return self._make_result("")

    def _make_result(self, failure: str) -> SoakResult:
        world = self.world
        return SoakResult(
            seed=world.seed,
            steps=world.steps_,
            jobs=len(self.accepted_),
            faults=dict(world.faults_.counts),
            checked=dict(self.invariants.checked_),
            failure=failure,
            trace=world.trace_[-MAX_TRACE_LINES:] if failure else [],
        )

    def _warm_up(self) -> None:
        self._advance(WARM_UP_MS)
        for team, limit in zip(TEAMS, LIMITS, strict=True):
            record = TeamSet(team, self.rng.randint(1, 10), limit, -1)
            self._choose_entry().core.change_cell(record)
        self._advance(WARM_UP_MS)

    def _advance(self, duration_ms: int) -> None:
        until = self.world.clock_.now() + duration_ms
        self.world.run_until(until, self.invariants.check_step)

    def _run_steps(self, steps: int) -> None:
        while self.world.steps_ < steps:
            self._advance(ACTION_INTERVAL_MS)
            self._perform_action()

    def _choose_entry(self):
        names = sorted(self.world.entries_)
        return self.world.entries_[self.rng.choice(names)]

    # Jobs and operators.

    def _perform_action(self) -> None:
        actions: list[tuple[int, Callable[[], None]]] = [
            (300, self._submit_job),
            (60, self._cancel_job),
            (20, self._cancel_job_on_its_way),
            (20, self._change_limit),
            (30, self._race_changes),
            (12, self._disconnect_entry),
            (2, self._start_log_outage),
            (5, self._slow_down_log),
            (12, self._kill_entry),
            (16, self._freeze_entry),
            (8, self._stop_entry),
            (12, self._disconnect_worker),
            (8, self._reboot_worker),
        ]
        weights = [weight for weight, _ in actions]
        action = self.rng.choices([a for _, a in actions], weights)[0]
        if self.world.entries_:
            action()

    def _submit_job(self) -> None:
        team = self.rng.choice(TEAMS)
        key = f"key-{self.rng.randrange(10_000)}"
        group = choose_home_group(self.world.groups, team, key)
        job_id = make_job_id(group, team, key)
        for _ in range(self.rng.choice([1, 1, 1, 2])):
            self._submit_once(group, job_id, team)

    def _submit_once(self, group, job_id: JobId, team: TeamName) -> None:
        entry = self._choose_entry()
        if entry.is_frozen:
            return
        now = self.world.clock_.now()
        record = JobAccepted(
            now, job_id, team, self._draw_spec(), self._draw_bool(10), now
        )
        fut = entry.core.append_durably(group, record)

        def on_done(completed) -> None:
            if completed.exception() is None:
                self.accepted_.add(job_id)

        fut.add_done_callback(on_done)

    def _draw_bool(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    def _draw_spec(self):
        resources = Resources(
            self.rng.choice([500, 1_000, 2_000, 4_000]),
            self.rng.choice([256, 1_024, 4_096]),
            self.rng.choice([0, 0, 0, 1]),
        )
        duration_s = str(self.rng.choice([0.2, 1, 3, 8]))
        program = "fail" if self._draw_bool(5) else "sleep"
        command = [program, duration_s, str(self.rng.choice([50, 100, 150]))]
        kind = self.rng.choice(["batch", "batch", "batch", "gang", "service"])
        if kind == "service":
            return ServiceSpec(
                resources=resources, replicas=self.rng.randint(1, 2), command=["serve"]
            )
        idempotent = not self._draw_bool(30)
        tasks = self.rng.randint(1, 4)
        spec_class = GangSpec if kind == "gang" else BatchSpec
        return spec_class(
            resources=resources, tasks=tasks, command=command, idempotent=idempotent
        )

    def _cancel_job(self) -> None:
        if not self.accepted_:
            return
        job_id = self.rng.choice(sorted(self.accepted_))
        job = self.invariants.oracle.find_job(job_id)
        if job is None:
            return
        group = next(
            g
            for g, fold in self.invariants.oracle.work.items()
            if fold.state_.jobs.get(job_id) is job
        )
        record = JobCancelled(self.world.clock_.now(), job_id)
        self._choose_entry().core.append_durably(group, record)
        self.cancelled_.add(job_id)

    def _cancel_job_on_its_way(self) -> None:
        """Cancel a job of which no entry knows, and submit it meanwhile or later."""
        team = self.rng.choice(TEAMS)
        key = f"late-{self.rng.randrange(10_000)}"
        group = choose_home_group(self.world.groups, team, key)
        job_id = make_job_id(group, team, key)
        record = JobWithdrawn(self.world.clock_.now(), job_id, team)
        fut = self._choose_entry().core.append_durably(group, record)

        def on_done(completed) -> None:
            oracle = self.invariants.oracle
            oracle.refresh()
            if completed.exception() is None and oracle.find_job(job_id) is None:
                self.invariants.withdrawn_.add(job_id)

        fut.add_done_callback(on_done)

        def submit() -> None:
            if self.world.entries_:
                self._submit_once(group, job_id, team)

        self.world.schedule(self.rng.randrange(MAX_SUBMISSION_DELAY_MS), submit)

    def _change_limit(self) -> None:
        oracle = self.invariants.oracle
        oracle.refresh()
        team = oracle.state().teams.get(self.rng.choice(TEAMS))
        if team is None:
            return
        limit = self.rng.choice(LIMITS)
        record = TeamSet(team.name, self.rng.randint(1, 10), limit, team.version)
        self._choose_entry().core.change_cell(record)

    def _race_changes(self) -> None:
        oracle = self.invariants.oracle
        oracle.refresh()
        team = oracle.state().teams.get(self.rng.choice(TEAMS))
        if team is None:
            return
        for _ in range(2):
            share = self.rng.randint(1, 10)
            record = TeamSet(team.name, share, team.limit, team.version)
            self._choose_entry().core.change_cell(record)
        self._keys += 1
        key = KeyId(f"k-{self._keys}")
        self._choose_entry().core.change_cell(
            KeyIssued(key, team.name, "0" * 64, "soak")
        )
        self._choose_entry().core.change_cell(KeyRevoked(key))

    # Faults.

    def _record_fault(self, kind: str, detail: str) -> None:
        self.world.faults_.counts[kind] += 1
        self.world.add_trace_line(f"{kind} {detail}")

    def _disconnect_entry(self) -> None:
        name = self._choose_entry().name
        disconnected = self.world.faults_.disconnected_entries
        disconnected.add(name)
        self._record_fault("entry cut from the log", name)
        self.world.schedule(
            self.rng.randint(500, 20_000), lambda: disconnected.discard(name)
        )

    def _start_log_outage(self) -> None:
        faults = self.world.faults_
        faults.is_log_down = True
        self._outages += 1
        outage = self._outages
        self._record_fault("log down", "")

        def end() -> None:
            if self._outages == outage:
                faults.is_log_down = False

        self.world.schedule(self.rng.choice([500, 3_000, 15_000, 40_000]), end)

    def _slow_down_log(self) -> None:
        faults = self.world.faults_
        faults.is_log_slow = True
        self._record_fault("log slow", "")

        def end() -> None:
            faults.is_log_slow = False

        self.world.schedule(self.rng.randint(1_000, 10_000), end)

    def _kill_entry(self) -> None:
        name = self._choose_entry().name
        self.world.kill_entry(name)
        self._record_fault("entry killed", name)
        self.world.schedule(
            self.rng.randint(100, 8_000), lambda: self.world.add_entry(name)
        )

    def _freeze_entry(self) -> None:
        entry = self._choose_entry()
        entry.freeze()
        self._record_fault("entry frozen", entry.name)
        self.world.schedule(self.rng.randint(200, 20_000), entry.resume)

    def _stop_entry(self) -> None:
        entry = self._choose_entry()
        if entry.is_frozen or entry.core.is_stopping_:
            return
        entry.core.begin_stop()
        self._record_fault("entry stopped gracefully", entry.name)

        def end() -> None:
            if self.world.entries_.get(entry.name) is entry:
                self.world.kill_entry(entry.name)
                self.world.add_entry(entry.name)

        self.world.schedule(self.rng.randint(2_000, 8_000), end)

    def _disconnect_worker(self) -> None:
        id = self.rng.choice(sorted(self.world.workers_))
        disconnected = self.world.faults_.disconnected_workers
        disconnected.add(id)
        self._record_fault("worker cut off", id)
        self.world.schedule(
            self.rng.randint(500, 50_000), lambda: disconnected.discard(id)
        )

    def _reboot_worker(self) -> None:
        id = self.rng.choice(sorted(self.world.workers_))
        self.world.workers_[id].reboot()
        self._record_fault("worker rebooted", id)

    # End of a run.

    def _clear_faults(self) -> None:
        world = self.world
        world.faults_.is_log_down = False
        world.faults_.is_log_slow = False
        self._outages += 1
        world.faults_.disconnected_entries.clear()
        world.faults_.disconnected_workers.clear()
        world.plan = FaultPlan(0, 0, 0, 0, 0, 0)
        for entry in list(world.entries_.values()):
            if entry.is_frozen:
                entry.resume()

    def _raise_limits(self) -> None:
        """Raise each team's limit so that any of its jobs fits."""
        for team in self.invariants.oracle.state().teams.values():
            record = TeamSet(team.name, team.share, LIMITS[-1], team.version)
            self._choose_entry().core.change_cell(record)

    def _cancel_services(self) -> None:
        """Cancel all services, which do not end by themselves."""
        for group, fold in self.invariants.oracle.work.items():
            for job in list(fold.state_.jobs.values()):
                if isinstance(job.spec, ServiceSpec) and job.is_active:
                    self._append_cancellation(group, job.id)

    def _append_cancellation(self, group, job_id: JobId) -> None:
        record = JobCancelled(self.world.clock_.now(), job_id)
        self._choose_entry().core.append_durably(group, record)

    def _wait_for_completion(self) -> None:
        deadline = self.world.clock_.now() + COMPLETION_TIMEOUT_MS
        while self.world.clock_.now() < deadline:
            self._advance(COMPLETION_CHECK_INTERVAL_MS)
            if self._all_ended():
                return
            if self.world.clock_.now() + COMPLETION_CHECK_INTERVAL_MS >= deadline:
                return
            self._raise_limits()
            self._cancel_services()

    def _all_ended(self) -> bool:
        jobs = [self.invariants.oracle.find_job(job_id) for job_id in self.accepted_]
        return all(job is not None and job.ended_at for job in jobs)

    def _check_final_state(self) -> None:
        """Check that no accepted job is lost and that all have ended."""
        self.invariants.check_end()
        self.invariants.check_convergence()
        oracle = self.invariants.oracle
        oracle.refresh()
        for job_id in sorted(self.accepted_):
            self.invariants.checked_["accepted work is kept and ends"] += 1
            job = oracle.find_job(job_id)
            if job is None:
                raise InvariantError(f"accepted work is kept: {job_id} is missing")
            if not job.ended_at:
                raise InvariantError(
                    f"accepted work ends: {job_id} has not ended: {job}"
                )
            self._check_tasks_ended(job)

    def _check_tasks_ended(self, job) -> None:
        self.invariants.checked_["ended work does not run"] += 1
        for task in job.tasks:
            if task.state is not TaskState.ENDED:
                raise InvariantError(f"ended work does not run: {job}")
            if task.outcome is TaskOutcome.NOT_STARTED and not may_end_without_run(job):
                raise InvariantError(f"accepted work is run: {job}")


def may_end_without_run(job) -> bool:
    """Return whether tasks of a job may end without a run.

    This holds for a cancelled job, and for a gang that is not idempotent and has
    lost a task.
    """
    is_gang = isinstance(job.spec, GangSpec)
    was_lost = any(task.outcome is TaskOutcome.LOST for task in job.tasks)
    return job.cancelled or (is_gang and was_lost and not job.spec.idempotent)


def main(argv: list[str] | None = None) -> int:
    """Run the soaks, print each result as a JSON line, and return the exit code."""
    parser = argparse.ArgumentParser(
        description="Run randomised simulations of the whole system."
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=100_000)
    parser.add_argument("--runs", type=int, default=1)
    args = parser.parse_args(argv)
    code = 0
    for seed in range(args.seed, args.seed + args.runs):
        result = Soak(seed).run(args.steps)
        print(msgspec.json.encode(result).decode(), flush=True)
        code = code or bool(result.failure)
    return int(code)


if __name__ == "__main__":
    sys.exit(main())
