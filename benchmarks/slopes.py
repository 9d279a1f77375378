"""Cost per unit of size, on which the two-year capacity estimate is based."""

import gc
import time
import tracemalloc

import msgspec

from benchmarks.measure import percentile, report
from pimentomill.cell import CellFold, MemberJoined, MemberRenewed
from pimentomill.journal import decode_envelope, encode_envelope
from pimentomill.placement import Scheduler, TeamUsage
from pimentomill.snapshots import SnapshotCollector, split_snapshot
from pimentomill.utils import ZERO, Resources
from pimentomill.work import (
    BatchSpec,
    EpochStarted,
    Job,
    JobAccepted,
    Task,
    TaskAssigned,
    TaskEnded,
    TaskOutcome,
    WorkFold,
    WorkState,
)
from pimentomill.workers import (
    TaskStatus,
    WorkerHealth,
    WorkerReport,
    WorkerView,
)

__all__ = ["run"]

JOB_COUNT = 5_000
WORKER_COUNTS = (20, 200, 1_200)
PASS_COUNT = 200
WAITING_JOBS = 1_000
TASK_RESOURCES = Resources(500, 256, 0)
CAPACITY = Resources(16_000, 64_000, 2)
UNLIMITED = Resources(10**9, 10**9, 10**6)
US_PER_S = 1_000_000
MS_PER_S = 1_000


def make_work_records(jobs: int, ended: bool) -> list[bytes]:
    """Return encoded records of jobs that are accepted, assigned and maybe ended."""
    records = [EpochStarted(1, 1, "m")]
    spec = BatchSpec(resources=TASK_RESOURCES, command=["roast", "lot-7"])
    for number in range(jobs):
        job = f"{number:024x}@g1"
        records.append(JobAccepted(1, job, "kiln", spec, False, 1))
        reason = "batch: tightest fit"
        records.append(
            TaskAssigned(1, 1, job, 0, 1, f"worker-{number % 150}", 1, reason)
        )
        if ended:
            records.append(TaskEnded(1, 1, job, 0, 1, TaskOutcome.SUCCEEDED))
    return [encode_envelope("m", seq + 1, r) for seq, r in enumerate(records)]


def time_fold_us(fold, payloads: list[bytes]) -> float:
    """Fold records and return the mean time per record in microseconds."""
    started = time.perf_counter()
    for offset, payload in enumerate(payloads):
        fold.apply(offset, decode_envelope(payload))
    return (time.perf_counter() - started) / len(payloads) * US_PER_S


def measure_folds() -> WorkState:
    """Report the cost of folding, and the memory and log bytes of a job."""
    payloads = make_work_records(JOB_COUNT, ended=True)
    report("fold of a work record", time_fold_us(WorkFold(), payloads), "us")
    size = sum(len(p) for p in payloads) / JOB_COUNT
    report("log bytes of a job's three records", size, "bytes")
    payloads = make_work_records(JOB_COUNT, ended=False)
    gc.collect()
    tracemalloc.start()
    fold = WorkFold()
    time_fold_us(fold, payloads)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report("memory of a running job", allocated / JOB_COUNT, "bytes")
    cell = CellFold()
    renewals = [MemberJoined("m", 0, "m", "dc1", "p", "c", "a")]
    renewals += [MemberRenewed("m", n) for n in range(JOB_COUNT)]
    encoded = [encode_envelope("m", i + 1, r) for i, r in enumerate(renewals)]
    report("fold of a renewal", time_fold_us(cell, encoded), "us")
    report("log bytes of a renewal", len(encoded[-1]), "bytes")
    return fold.state_


def measure_snapshot(state: WorkState) -> None:
    """Report size, write time and load time of a snapshot per running job."""
    started_at = time.perf_counter()
    parts = split_snapshot(state, state.next_offset, "s")
    written_at = time.perf_counter()
    collector = SnapshotCollector(WorkState)
    for part in parts:
        collector.add(part)
    loaded_at = time.perf_counter()
    size = sum(len(part.data) for part in parts) / JOB_COUNT
    report("snapshot, size a job", size, "bytes")
    report(
        "snapshot, write a job", (written_at - started_at) / JOB_COUNT * US_PER_S, "us"
    )
    report(
        "snapshot, load a job", (loaded_at - written_at) / JOB_COUNT * US_PER_S, "us"
    )


def make_views(count: int) -> list[WorkerView]:
    """Return views of live workers."""
    views = []
    for number in range(count):
        view = WorkerView(f"worker-{number}", "a", f"dc1/r{number // 5}")
        view.capacity_ = CAPACITY
        view.health_ = WorkerHealth.LIVE
        views.append(view)
    return views


def measure_passes() -> None:
    """Report the time to place one task by number of workers."""
    for count in WORKER_COUNTS:
        jobs: dict[str, Job] = {}
        scheduler = Scheduler(jobs.__getitem__, lambda _: TeamUsage(1, ZERO, UNLIMITED))
        views = make_views(count)
        durations_ms = []
        spec = BatchSpec(resources=TASK_RESOURCES)
        for number in range(PASS_COUNT):
            job = Job(f"j{number}", "kiln", spec, False, 0, [Task()])
            jobs[job.id] = job
            scheduler.add(job, [0])
            started = time.perf_counter()
            scheduler.run(views, 0, 0)
            durations_ms.append((time.perf_counter() - started) * MS_PER_S)
        report(
            f"pass of one job, {count} workers, p50",
            percentile(durations_ms, 0.5),
            "ms",
        )
        report(
            f"pass of one job, {count} workers, p99",
            percentile(durations_ms, 0.99),
            "ms",
        )


def measure_full_group() -> None:
    """Report the time of a pass over a full group with waiting jobs."""
    jobs: dict[str, Job] = {}
    scheduler = Scheduler(jobs.__getitem__, lambda _: TeamUsage(1, ZERO, UNLIMITED))
    views = make_views(150)
    for view in views:
        view.reserve("full", CAPACITY)
    spec = BatchSpec(resources=TASK_RESOURCES)
    for number in range(WAITING_JOBS):
        job = Job(f"j{number}", f"t{number % 45}", spec, False, 0, [Task()])
        jobs[job.id] = job
        scheduler.add(job, [0])
    started = time.perf_counter()
    scheduler.run(views, 0, 0)
    duration_ms = (time.perf_counter() - started) * MS_PER_S
    report(
        f"pass over a full group, 150 workers, {WAITING_JOBS} waiting",
        duration_ms,
        "ms",
    )


def measure_report() -> None:
    """Report the size of a worker report and the time to decode and apply it."""
    running = [
        TaskStatus(f"{n:024x}@g1", 0, 1, TASK_RESOURCES, TASK_RESOURCES)
        for n in range(5)
    ]
    message = WorkerReport("worker-1", 1, 1, 1, CAPACITY, running, [])
    raw = msgspec.json.encode(message)
    view = make_views(1)[0]
    started = time.perf_counter()
    for _ in range(JOB_COUNT):
        view.apply_report(msgspec.json.decode(raw, type=WorkerReport), 0)
    duration_us = (time.perf_counter() - started) / JOB_COUNT * US_PER_S
    report("report of a worker with 5 tasks", len(raw), "bytes")
    report("report, decode and note", duration_us, "us")


def run() -> None:
    """Run the benchmarks of this module."""
    measure_snapshot(measure_folds())
    measure_passes()
    measure_full_group()
    measure_report()
