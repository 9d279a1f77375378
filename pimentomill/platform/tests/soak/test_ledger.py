import unittest
from types import SimpleNamespace

from pimentomill.platform.tests.soak._ledger import Ledger

TASK = "f" * 16 + ".0.0.0"
WORKER = SimpleNamespace(name="w1")


class TestLateAcknowledgement(unittest.TestCase):
    """A worker ends a run unheard, and the task starts again (seed 5)."""

    def acknowledge(self, ended_at, restarted_at, lapsed_at):
        ledger = Ledger()
        run = ledger.record_start(TASK, WORKER, 0.0)
        ledger.record_end(run, True, ended_at)
        ledger.record_start(TASK, WORKER, restarted_at)
        ledger.record_acknowledged(TASK, run, lapsed_at)
        return ledger.violations

    def test_a_restart_after_the_lease_had_lapsed_is_allowed(self):
        self.assertEqual(self.acknowledge(1.0, 5.0, lapsed_at=4.0), [])

    def test_a_restart_before_the_lease_lapsed_is_a_violation(self):
        self.assertEqual(len(self.acknowledge(1.0, 3.0, lapsed_at=4.0)), 1)

    def test_a_restart_within_the_lease_is_a_violation(self):
        self.assertEqual(len(self.acknowledge(1.0, 3.0, lapsed_at=None)), 1)


class TestLease(unittest.TestCase):
    """A run counts as in progress although the lease of its worker has lapsed."""

    def start_elsewhere(self, has_lapsed):
        ledger = Ledger()
        worker = SimpleNamespace(name="w2")
        run = ledger.record_start(TASK, worker, 0.0)

        def check_lease():
            if has_lapsed:
                ledger.record_end(run, False, 4.0)

        worker.check_lease = check_lease
        ledger.record_start(TASK, WORKER, 5.0)
        return ledger.violations

    def test_a_start_after_the_lapse_is_allowed(self):
        self.assertEqual(self.start_elsewhere(has_lapsed=True), [])

    def test_a_start_before_the_lapse_is_a_violation(self):
        self.assertEqual(len(self.start_elsewhere(has_lapsed=False)), 1)
