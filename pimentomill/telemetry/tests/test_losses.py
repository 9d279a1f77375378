import json
import unittest

from pimentomill.telemetry import LossCause, compute_losses, render_losses

JOB = "a" * 16
TASK = f"TaskKey(job='{JOB}', occurrence=0, step=0, index=0)"
STEP = f"StepKey(job='{JOB}', occurrence=0, step=0)"


def line(text, at, **fields):
    return json.dumps({"text": text, "timestamp": at, **fields})


def started(at, outcome="started"):
    return line("orders: Start order finished", at, task=TASK, outcome=outcome)


def finished(at, took_ms=3000, state="completed"):
    return line(
        "cell: Job finished",
        at,
        job=JOB,
        queue="q",
        state=state,
        took_ms=took_ms,
        objective_ms=1000,
    )


class TestLosses(unittest.TestCase):
    """A job submitted at 10 s that ends 2 s after its objective, at 13 s."""

    def find_cause(self, *lines):
        (found,) = compute_losses([*lines, finished(13.0)])
        self.assertEqual(found.in_time, 0)
        return next(iter(found.causes))

    def test_a_job_in_time_is_no_loss(self):
        (found,) = compute_losses([started(10.1), finished(10.9, took_ms=900)])
        self.assertEqual((found.in_time, found.causes.total()), (1, 0))

    def test_a_long_wait_without_another_cause_is_one_for_capacity(self):
        self.assertEqual(self.find_cause(started(12.0)), LossCause.CAPACITY)

    def test_a_late_answer_of_the_policy(self):
        answered = line("advice: Policy query answered", 11.9, step=STEP)
        self.assertEqual(self.find_cause(answered, started(12.0)), LossCause.TICKET)

    def test_a_change_of_the_leader_during_the_wait(self):
        change = line("control: Leadership started", 11.0)
        self.assertEqual(
            self.find_cause(change, started(12.0)), LossCause.LEADER_CHANGE
        )

    def test_a_failed_run(self):
        ended = line("cell: Run ended", 11.0, task=TASK, how="failed")
        self.assertEqual(
            self.find_cause(started(10.1), ended, started(11.1)), LossCause.FAILED_RUN
        )

    def test_a_stopped_run(self):
        stopped = line(
            "orders: Stop order finished", 11.0, task=TASK, why="no progress"
        )
        self.assertEqual(self.find_cause(started(10.1), stopped), LossCause.STOPPED)

    def test_a_start_that_was_not_confirmed(self):
        unknown = started(10.2, outcome="unknown")
        self.assertEqual(
            self.find_cause(started(10.1), unknown), LossCause.START_UNKNOWN
        )

    def test_a_run_that_took_longer_than_declared(self):
        self.assertEqual(self.find_cause(started(10.1)), LossCause.RAN_LONG)

    def test_lines_that_can_not_be_read_are_passed_over(self):
        broken = ["", "{", '{"text": 1}', "[]", '{"timestamp": "x"}', "9 n1 " + "{}"]
        self.assertEqual(compute_losses(broken), [])

    def test_prefixes_of_lines_are_ignored(self):
        (found,) = compute_losses(["  12.3 entry-1 " + finished(13.0)])
        self.assertEqual(found.states, {"completed": 1})

    def test_the_report_names_the_queue_and_the_cause(self):
        report = render_losses(compute_losses([started(12.0), finished(13.0)]))
        self.assertIn("q: 1 completed; 0 in time, 1 late", report)
        self.assertIn("1 waited for free capacity", report)
