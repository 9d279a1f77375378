"""Long randomised runs of all parts together."""

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
ACTION_PAUSE_MS = 200
SETTLE_MS = 1_800_000
WARM_UP_MS = 5_000
AGREE_MS = 4_000
TRACE_LINES = 40
SLICE_MS = 10_000


class SoakResult(msgspec.Struct):
    """Outcome of a run.

    Parameters
    ----------
    seed, steps : int
        Which run, and how many events it had.
    jobs : int
        Jobs handed in and kept.
    faults, checked : dict
        Faults shown and checks made, by kind.
    failure : str
        What was broken, empty if nothing was.
    trace : list of str
        Last lines of the trace of a failed run.
    """

    seed: int
    steps: int
    jobs: int
    faults: dict[str, int]
    checked: dict[str, int]
    failure: str = ""
    trace: list[str] = []


class Soak:
    """Random work, operators and faults on a world.

    Parameters
    ----------
    seed : int
        One seed gives one run.
    shape : WorldShape, default=WorldShape()
        Size.
    plan : FaultPlan, default=FaultPlan()
        Faults of messages.
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
        self.kept_: set[JobId] = set()
        self.cancelled_: set[JobId] = set()
        self._keys = 0
        self._outages = 0

    def run(self, steps: int) -> SoakResult:
        """Run a number of steps, heal all faults, and check that work ends."""
        try:
            self._warm_up()
            self._run_steps(steps)
            self._heal()
            self._settle()
            self._advance(AGREE_MS)
            self._check_end()
        except InvariantError as exc:
            return self._result(str(exc))
        return self._result("")

    def _result(self, failure: str) -> SoakResult:
        world = self.world
        return SoakResult(
            seed=world.seed,
            steps=world.steps_,
            jobs=len(self.kept_),
            faults=dict(world.faults_.counts),
            checked=dict(self.invariants.checked_),
            failure=failure,
            trace=world.trace_[-TRACE_LINES:] if failure else [],
        )

    def _warm_up(self) -> None:
        self._advance(WARM_UP_MS)
        for team, limit in zip(TEAMS, LIMITS, strict=True):
            record = TeamSet(team, self.rng.randint(1, 10), limit, -1)
            self._any_entry().core.change(record)
        self._advance(WARM_UP_MS)

    def _advance(self, span_ms: int) -> None:
        until = self.world.clock_.now() + span_ms
        self.world.run_until(until, self.invariants.check_step)

    def _run_steps(self, steps: int) -> None:
        while self.world.steps_ < steps:
            self._advance(ACTION_PAUSE_MS)
            self._act()

    def _any_entry(self):
        names = sorted(self.world.entries_)
        return self.world.entries_[self.rng.choice(names)]

    # Work and operators.

    def _act(self) -> None:
        actions: list[tuple[int, Callable[[], None]]] = [
            (300, self._hand_in),
            (60, self._cancel),
            (20, self._change_limit),
            (30, self._race_operators),
            (12, self._cut_log),
            (2, self._log_outage),
            (5, self._slow_log),
            (12, self._kill_entry),
            (16, self._freeze_entry),
            (8, self._stop_entry),
            (12, self._cut_worker),
            (8, self._reboot_worker),
        ]
        weights = [weight for weight, _ in actions]
        action = self.rng.choices([a for _, a in actions], weights)[0]
        if self.world.entries_:
            action()

    def _hand_in(self) -> None:
        team = self.rng.choice(TEAMS)
        key = f"key-{self.rng.randrange(10_000)}"
        group = choose_home_group(self.world.groups, team, key)
        job_id = make_job_id(group, team, key)
        for _ in range(self.rng.choice([1, 1, 1, 2])):
            self._hand_in_once(group, job_id, team)

    def _hand_in_once(self, group, job_id: JobId, team: TeamName) -> None:
        entry = self._any_entry()
        if entry.is_frozen:
            return
        now = self.world.clock_.now()
        record = JobAccepted(now, job_id, team, self._spec(), self._flip(10), now)
        fut = entry.core.keep(group, record)

        def note(done) -> None:
            if done.exception() is None:
                self.kept_.add(job_id)

        fut.add_done_callback(note)

    def _flip(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    def _spec(self):
        need = Resources(
            self.rng.choice([500, 1_000, 2_000, 4_000]),
            self.rng.choice([256, 1_024, 4_096]),
            self.rng.choice([0, 0, 0, 1]),
        )
        span_s = str(self.rng.choice([0.2, 1, 3, 8]))
        verb = "fail" if self._flip(5) else "sleep"
        command = [verb, span_s, str(self.rng.choice([50, 100, 150]))]
        kind = self.rng.choice(["batch", "batch", "batch", "gang", "service"])
        if kind == "service":
            return ServiceSpec(
                resources=need, replicas=self.rng.randint(1, 2), command=["serve"]
            )
        idempotent = not self._flip(30)
        tasks = self.rng.randint(1, 4)
        spec_class = GangSpec if kind == "gang" else BatchSpec
        return spec_class(
            resources=need, tasks=tasks, command=command, idempotent=idempotent
        )

    def _cancel(self) -> None:
        if not self.kept_:
            return
        job_id = self.rng.choice(sorted(self.kept_))
        job = self.invariants.oracle.job(job_id)
        if job is None:
            return
        group = next(
            g
            for g, fold in self.invariants.oracle.work.items()
            if fold.state_.jobs.get(job_id) is job
        )
        record = JobCancelled(self.world.clock_.now(), job_id)
        self._any_entry().core.keep(group, record)
        self.cancelled_.add(job_id)

    def _change_limit(self) -> None:
        oracle = self.invariants.oracle
        oracle.refresh()
        team = oracle.state().teams.get(self.rng.choice(TEAMS))
        if team is None:
            return
        limit = self.rng.choice(LIMITS)
        record = TeamSet(team.name, self.rng.randint(1, 10), limit, team.version)
        self._any_entry().core.change(record)

    def _race_operators(self) -> None:
        oracle = self.invariants.oracle
        oracle.refresh()
        team = oracle.state().teams.get(self.rng.choice(TEAMS))
        if team is None:
            return
        for _ in range(2):
            share = self.rng.randint(1, 10)
            record = TeamSet(team.name, share, team.limit, team.version)
            self._any_entry().core.change(record)
        self._keys += 1
        key = KeyId(f"k-{self._keys}")
        self._any_entry().core.change(KeyIssued(key, team.name, "0" * 64, "soak"))
        self._any_entry().core.change(KeyRevoked(key))

    # Faults.

    def _note(self, kind: str, detail: str) -> None:
        self.world.faults_.counts[kind] += 1
        self.world.note(f"{kind} {detail}")

    def _cut_log(self) -> None:
        name = self._any_entry().name
        cut = self.world.faults_.cut_from_log
        cut.add(name)
        self._note("entry cut from the log", name)
        self.world.at(self.rng.randint(500, 20_000), lambda: cut.discard(name))

    def _log_outage(self) -> None:
        faults = self.world.faults_
        faults.is_log_down = True
        self._outages += 1
        outage = self._outages
        self._note("log down", "")

        def end() -> None:
            if self._outages == outage:
                faults.is_log_down = False

        self.world.at(self.rng.choice([500, 3_000, 15_000, 40_000]), end)

    def _slow_log(self) -> None:
        faults = self.world.faults_
        faults.is_log_slow = True
        self._note("log slow", "")

        def end() -> None:
            faults.is_log_slow = False

        self.world.at(self.rng.randint(1_000, 10_000), end)

    def _kill_entry(self) -> None:
        name = self._any_entry().name
        self.world.kill_entry(name)
        self._note("entry killed", name)
        self.world.at(self.rng.randint(100, 8_000), lambda: self.world.add_entry(name))

    def _freeze_entry(self) -> None:
        entry = self._any_entry()
        entry.freeze()
        self._note("entry frozen", entry.name)
        self.world.at(self.rng.randint(200, 20_000), entry.thaw)

    def _stop_entry(self) -> None:
        entry = self._any_entry()
        if entry.is_frozen or entry.core.is_stopping_:
            return
        entry.core.begin_stop()
        self._note("entry stopped gracefully", entry.name)

        def end() -> None:
            if self.world.entries_.get(entry.name) is entry:
                self.world.kill_entry(entry.name)
                self.world.add_entry(entry.name)

        self.world.at(self.rng.randint(2_000, 8_000), end)

    def _cut_worker(self) -> None:
        id = self.rng.choice(sorted(self.world.workers_))
        cut = self.world.faults_.cut_workers
        cut.add(id)
        self._note("worker cut off", id)
        self.world.at(self.rng.randint(500, 50_000), lambda: cut.discard(id))

    def _reboot_worker(self) -> None:
        id = self.rng.choice(sorted(self.world.workers_))
        self.world.workers_[id].reboot()
        self._note("worker rebooted", id)

    # End of a run.

    def _heal(self) -> None:
        world = self.world
        world.faults_.is_log_down = False
        world.faults_.is_log_slow = False
        self._outages += 1
        world.faults_.cut_from_log.clear()
        world.faults_.cut_workers.clear()
        world.plan = FaultPlan(0, 0, 0, 0, 0, 0)
        for entry in list(world.entries_.values()):
            if entry.is_frozen:
                entry.thaw()

    def _widen_limits(self) -> None:
        """Give each team a limit that any of its jobs fits into."""
        for team in self.invariants.oracle.state().teams.values():
            record = TeamSet(team.name, team.share, LIMITS[-1], team.version)
            self._any_entry().core.change(record)

    def _cancel_services(self) -> None:
        """Cancel all services, which would never end by themselves."""
        for group, fold in self.invariants.oracle.work.items():
            for job in list(fold.state_.jobs.values()):
                if isinstance(job.spec, ServiceSpec) and job.is_active:
                    self._cancel_for_good(group, job.id)

    def _cancel_for_good(self, group, job_id: JobId) -> None:
        record = JobCancelled(self.world.clock_.now(), job_id)
        self._any_entry().core.keep(group, record)

    def _settle(self) -> None:
        deadline = self.world.clock_.now() + SETTLE_MS
        while self.world.clock_.now() < deadline:
            self._advance(SLICE_MS)
            if self._all_ended():
                return
            if self.world.clock_.now() + SLICE_MS >= deadline:
                return
            self._widen_limits()
            self._cancel_services()

    def _all_ended(self) -> bool:
        jobs = [self.invariants.oracle.job(job_id) for job_id in self.kept_]
        return all(job is not None and job.ended_at for job in jobs)

    def _check_end(self) -> None:
        """Check that nothing accepted is lost, and that all of it has ended."""
        self.invariants.check_end()
        self.invariants.check_agreement()
        oracle = self.invariants.oracle
        oracle.refresh()
        for job_id in sorted(self.kept_):
            self.invariants.checked_["accepted work is kept and ends"] += 1
            job = oracle.job(job_id)
            if job is None:
                raise InvariantError(f"accepted work is kept: {job_id} is gone")
            if not job.ended_at:
                raise InvariantError(f"accepted work ends: {job_id} is {job}")
            self._check_cancelled(job)

    def _check_cancelled(self, job) -> None:
        self.invariants.checked_["ended work does not run"] += 1
        for task in job.tasks:
            if task.state is not TaskState.ENDED:
                raise InvariantError(f"ended work does not run: {job}")
            if task.outcome is TaskOutcome.NOT_STARTED and not may_end_unrun(job):
                raise InvariantError(f"accepted work is run: {job}")


def may_end_unrun(job) -> bool:
    """Return whether a task may end unrun: cancelled, or its gang was lost."""
    is_gang = isinstance(job.spec, GangSpec)
    was_lost = any(task.outcome is TaskOutcome.LOST for task in job.tasks)
    return job.cancelled or (is_gang and was_lost and not job.spec.idempotent)


def main(argv: list[str] | None = None) -> int:
    """Run one soak and print its outcome as JSON; return the exit code."""
    parser = argparse.ArgumentParser(description="Run all parts through fakes.")
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
