import unittest

from pimentomill.settings import LeaseSettings
from pimentomill.utils import Resources
from pimentomill.work import BatchSpec

from .holding import Holding

NEED = Resources(8_000, 100, 0)
LEASES = LeaseSettings(
    ownership_ms=4_000,
    renew_ms=1_000,
    margin_ms=300,
    task_ms=20_000,
    command_ms=1_000,
    report_ms=2_000,
)


class LeaseTest(unittest.TestCase):
    # Guards against TWICE: a start renews the lease of its task, so a worker that falls
    # silent after it may run the task for longer than its last report allows.
    def test_a_task_started_long_after_a_report_is_not_run_twice(self):
        cell = Holding(["w1", "w2"], LEASES)
        cell.run(1_900)
        cell.accept(BatchSpec(resources=NEED, command=["serve"]))
        cell.silent = {"w1", "w2"}
        cell.run(100)
        (worker,) = cell.runs_of("j")
        cell.silent = {worker}
        cell.run(2 * LEASES.task_ms)
        self.assertNotEqual(cell.runs_of("j"), [worker])
        self.assertEqual(cell.simultaneous_runs_["j", 0], 1)

    # Guards against TWICE: a worker whose clock runs slow lets tasks run for longer
    # than the holder, whose clock runs fast, waits for it.
    def test_a_task_on_a_silent_worker_with_a_slow_clock_is_not_run_twice(self):
        leases = LeaseSettings()
        cell = Holding(["w1", "w2"], leases, worker_rate=0.98 / 1.02)
        cell.accept(BatchSpec(resources=NEED, command=["serve"]))
        cell.run(4_000)
        (worker,) = cell.runs_of("j")
        cell.silent = {worker}
        cell.run(330_000)
        self.assertNotEqual(cell.runs_of("j"), [worker])
        self.assertEqual(cell.simultaneous_runs_["j", 0], 1)
