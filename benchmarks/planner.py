"""CPU time of one planner pass by number of workers."""

import random
import statistics
import time

from pimentomill.dispatch import Planner, QuotaBook, order_steps
from pimentomill.dispatch.tests.samples import first_step, queue, step, worker
from pimentomill.utils import Instant

from .measure import report

__all__ = ["run"]

WORKERS = (25, 175, 1200)
WAITING_STEPS = 125
TASKS_PER_STEP = 8
ROUNDS = 5


def make_load(workers: int):
    """Return waiting steps, and workers with nine of ten cores in use."""
    rng = random.Random(workers)
    pool = [worker(f"w{i}", cpu=rng.choice((800, 1600, 3200))) for i in range(workers)]
    steps = [
        first_step(
            f"{number:016x}",
            [step(count=TASKS_PER_STEP, cpu=rng.choice((500, 1500, 3300)))],
            of=queue(priority=rng.choice((0, 1, 2))),
        )
        for number in range(WAITING_STEPS)
    ]
    return steps, pool


def run() -> None:
    """Report the time of a pass for each number of workers."""
    for count in WORKERS:
        steps, pool = make_load(count)
        planner = Planner(QuotaBook())
        durations_s = []
        placed = 0
        for _ in range(ROUNDS):
            started_at = time.process_time()
            ordered = order_steps(steps, Instant(0))
            placed = len(planner.plan(Instant(0), ordered, pool).placements)
            durations_s.append(time.process_time() - started_at)
        seconds = statistics.median(durations_s)
        name = f"planner pass, {count} workers, {WAITING_STEPS * TASKS_PER_STEP} tasks"
        report(name, seconds * 1000, "ms")
        report(f"{name}, a placement", seconds * 1e6 / max(1, placed), "us")
