"""Seeded random changes of workers' capacities while tasks start and end."""

import random
import unittest

from pimentomill.control import LeaderState
from pimentomill.dispatch import (
    Planner,
    PreemptionCost,
    choose_victims,
    order_steps,
)
from pimentomill.dispatch.tests.samples import accepted, info, queue, step
from pimentomill.fleet import (
    AttemptPhase,
    EndKind,
    RunEnd,
    RunStatus,
    WorkerReport,
)
from pimentomill.jobs import JobState, JobTable, TaskKey, accepted_key, encode_record
from pimentomill.utils import ZERO, ManualClock, Resources

UNKNOWN_TASK = TaskKey("f" * 16, 0, 0, 0)
COST = PreemptionCost(restore_ms=100, stop_ms=200)
CLAIM_MS = 700

BASE = Resources(16000, 16000, 4)
SHARES = (0, 1, 2, 3, 4, 4, 4)
"""Fourths of its capacity that a worker may have after a change."""
SEEDS = range(50)
PASSES = 120


class Executor:
    """What a worker runs, and the capacity that it has told."""

    def __init__(self, name):
        self.name = name
        self.life = 1
        self.told = BASE
        self.running = {}
        self.stopping = set()
        self.ends = []
        self.end_count = 0

    def used(self):
        total = ZERO
        for _, need in self.running.values():
            total = total + need
        return total

    def end(self, task, kind):
        run, _ = self.running.pop(task)
        self.stopping.discard(task)
        self.end_count += 1
        self.ends.append(RunEnd(self.end_count, task, run, kind, ""))


class RandomCell:
    """A leader's state and planner against workers of changing capacity."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock(1000)
        self.table = JobTable()
        self.state = LeaderState(1, self.clock, self.table.find)
        self.planner = Planner(self.state.quotas)
        self.claims = {}
        self.job_count = 0
        self.violations = []
        self.executors = [Executor(f"w{number}") for number in range(4)]
        for number, executor in enumerate(self.executors):
            self.tell(executor, self.draw_capacity())
            if self.rng.random() < 0.5:
                need = Resources(self.rng.choice((2000, 9000)), 5000, 1)
                executor.running[UNKNOWN_TASK._replace(index=number)] = (1, need)
            self.report(executor)

    def tell(self, executor, capacity):
        executor.told = capacity
        record = info(executor.name, incarnation_ms=executor.life)
        self.state.sync_worker(record._replace(capacity=capacity))

    def report(self, executor):
        running = [
            RunStatus(task, run, "", 50, 0)
            for task, (run, _) in executor.running.items()
        ]
        report = WorkerReport(executor.life, 5000, running, executor.ends, True)
        self.clock.advance(1)
        worker = self.state.workers[executor.name]
        self.state.apply_report(worker, report, self.clock.now())
        executor.ends = []
        for order in self.state.pop_stop_orders():
            stopped = next(
                e for e in self.executors if e.name == order.worker.info.worker
            )
            if order.task in stopped.running:
                stopped.stopping.add(order.task)

    def draw_capacity(self):
        shares = [self.rng.choice(SHARES) for _ in range(3)]
        return Resources(
            BASE.cpu_milli * shares[0] // 4,
            BASE.memory_mb * shares[1] // 4,
            BASE.accelerators * shares[2] // 4,
        )

    def resize(self):
        self.tell(self.rng.choice(self.executors), self.draw_capacity())

    def restart(self):
        """Start another life under the name; its record comes later."""
        executor = self.rng.choice(self.executors)
        executor.life += 1
        executor.told = None
        executor.running, executor.ends, executor.end_count = {}, [], 0
        executor.stopping = set()
        self.report(executor)

    def submit(self):
        self.job_count += 1
        kind = self.rng.randrange(4)
        spec = step(
            count=self.rng.randint(1, 4),
            cpu=self.rng.choice((500, 3000, 6000, 12000)),
            memory=self.rng.choice((200, 4000, 9000)),
            accelerators=self.rng.choice((0, 0, 1, 2)),
            gang=kind == 0,
            uses_idle_cpu=kind == 1,
            checkpointed=kind > 1,
            estimate_ms=self.rng.choice((500, 2000)),
        )
        priority = 0 if spec.gang else self.rng.randrange(3)
        of = queue(priority=priority, max_attempts=1000)
        job = f"{self.job_count:016x}"
        record = accepted(job, [spec], of=of)
        self.table.apply(accepted_key(job), encode_record(record))
        self.state.sync_job(job, self.table.find(job), inherited=False)

    def claim(self):
        """Claim capacity for a gang, as if runs were stopped for it."""
        gangs = [
            found.key for found in self.state.open_steps.values() if found.spec.gang
        ]
        if gangs:
            name = self.rng.choice(self.executors).name
            until = self.clock.now() + CLAIM_MS
            capacity = {name: Resources(3000, 4000, 1)}
            self.claims[self.rng.choice(gangs)] = (until, capacity)

    def end_some(self, share):
        for executor in self.executors:
            for task in list(executor.running):
                kinds = (EndKind.DONE, EndKind.DONE, EndKind.FAILED)
                if task in executor.stopping:
                    kinds = (EndKind.STOPPED,)
                if self.rng.random() < share and task in executor.running:
                    executor.end(task, self.rng.choice(kinds))
            self.report(executor)

    def plan(self):
        now = self.clock.now()
        steps = order_steps(list(self.state.ready_steps()), now)
        for key, (until, _) in list(self.claims.items()):
            found = self.state.open_steps.get(key)
            if now >= until or found is None or found.active:
                del self.claims[key]
        claims = {key: capacity for key, (_, capacity) in self.claims.items()}
        workers = self.state.workers.values()
        plan = self.planner.plan(now, steps, workers, claims)
        gang_runs = {}
        for item in plan.placements:
            self.start(item, gang_runs)
        waiting = [found for found in steps if found.waiting]
        preemption = choose_victims(
            waiting,
            workers,
            self.state.step_of,
            self.state.quotas,
            COST,
            now,
            self.claims,
        )
        for claim in preemption.claims:
            self.claims[claim.step] = (now + CLAIM_MS, claim.capacity)
        for attempt in preemption.victims:
            self.state.order_stop(attempt, "preempted")
        return len(plan.placements)

    def start(self, item, gang_runs):
        executor = next(e for e in self.executors if e.name == item.worker.info.worker)
        need = item.step.spec.reserved
        total = executor.used() + need
        if executor.told is None or not total.fits_in(executor.told):
            self.violations.append((executor.name, total, executor.told))
        if item.step.spec.gang:
            run = gang_runs.get(item.step.key) or item.step.allocate_run(0)
            gang_runs[item.step.key] = run
        else:
            run = item.step.allocate_run(item.index)
        attempt = self.state.begin_attempt(item.step, item.index, item.worker, run)
        attempt.phase = AttemptPhase.RUNNING
        executor.running[attempt.task] = (run, need)

    def play(self):
        for _ in range(PASSES):
            for change in (self.resize, self.submit, self.claim):
                if self.rng.random() < 0.5:
                    change()
            if self.rng.random() < 0.05:
                self.restart()
            for executor in self.executors:
                if executor.told is None and self.rng.random() < 0.3:
                    self.tell(executor, self.draw_capacity())
            self.end_some(0.2)
            self.plan()
            self.clock.advance(self.rng.randint(5, 400))

    def finish(self):
        """Give all workers their whole capacity and complete what is left."""
        for executor in self.executors:
            self.tell(executor, BASE)
        for _ in range(400):
            self.end_some(0.7)
            self.plan()
            self.clock.advance(100)
        return [
            job.accepted.job
            for job in self.state.jobs.values()
            if job.state is not JobState.COMPLETED
        ]


class TestRandomCapacities(unittest.TestCase):
    # Guards against starts beyond a capacity that has changed, and against work that
    # waits although the capacity is there again.
    def test_no_start_exceeds_the_last_told_capacity_and_all_work_completes(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = RandomCell(seed)
                cell.play()
                self.assertEqual(cell.violations, [])
                self.assertEqual(cell.finish(), [])
                self.assertEqual(cell.violations, [])
