import unittest

from pimentomill.settings import LeaseSettings
from pimentomill.utils import Resources
from pimentomill.work import BatchSpec

from .fixtures import LEASES, HolderFixture

NEED = Resources(8_000, 100, 0)


class LeaseTest(unittest.TestCase):
    # Guards against TWICE: a start renews the lease of its task, so a worker that falls
    # silent after it may run the task for longer than its last report allows.
    def test_a_task_started_long_after_a_report_is_not_run_twice(self):
        fixture = HolderFixture(["w1", "w2"])
        fixture.run(1_900)
        fixture.accept(BatchSpec(resources=NEED, command=["serve"]))
        fixture.silent = {"w1", "w2"}
        fixture.run(100)
        (worker,) = fixture.runs_of("j")
        fixture.silent = {worker}
        fixture.run(2 * LEASES.task_ms)
        self.assertNotEqual(fixture.runs_of("j"), [worker])
        self.assertEqual(fixture.simultaneous_runs_["j", 0], 1)

    # Guards against TWICE: a worker whose clock runs slow lets tasks run for longer
    # than the holder, whose clock runs fast, waits for it.
    def test_a_task_on_a_silent_worker_with_a_slow_clock_is_not_run_twice(self):
        fixture = HolderFixture(["w1", "w2"], LeaseSettings(), worker_rate=0.98 / 1.02)
        fixture.accept(BatchSpec(resources=NEED, command=["serve"]))
        fixture.run(4_000)
        (worker,) = fixture.runs_of("j")
        fixture.silent = {worker}
        fixture.run(330_000)
        self.assertNotEqual(fixture.runs_of("j"), [worker])
        self.assertEqual(fixture.simultaneous_runs_["j", 0], 1)
