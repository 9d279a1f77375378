"""What a failed hold tells of a worker, and which holds acknowledge ends."""

import asyncio

from pimentomill.control import ControlSettings
from pimentomill.control._context import ControlContext
from pimentomill.control._lease_keeper import LeaseKeeper
from pimentomill.control._orders import OrderSender
from pimentomill.control._pacing import Pacing
from pimentomill.dispatch import Placement
from pimentomill.dispatch.tests.samples import step
from pimentomill.exceptions import ConflictError, TransportError
from pimentomill.fleet import (
    EARLY_RUN_MS,
    MAX_ANSWER_AGE_MS,
    EndKind,
    RunEnd,
    StartAnswer,
    StartOutcome,
    WorkerReport,
    lease_expiry_bound,
)
from pimentomill.fleet._worker import MAX_CLOCK_AGE_MS
from pimentomill.jobs import TaskKey
from pimentomill.replica import AUTHORITY_MS, Authority

from .test_leader_state import LeaderStateCase

AGE_MS = 10


class FailingPort:
    """Fails holds after a delay on the injected clock."""

    def __init__(self, clock):
        self.clock = clock
        self.failures = []
        self.orders = []

    async def hold(self, info, order):
        self.orders.append(order)
        delay_ms, exc = self.failures.pop(0)
        self.clock.advance(delay_ms)
        raise exc


class LeaseKeeperTest(LeaderStateCase):
    def setUp(self):
        super().setUp()
        self.cfg = ControlSettings()
        self.port = FailingPort(self.clock)
        self.changes = 0
        self.is_proven = True
        self.authority = Authority(
            self.clock.now(),
            self.clock.now(),
            lambda: self.clock.now() if self.is_proven else None,
        )
        context = ControlContext(
            self.state,
            self.port,
            self.clock,
            self.cfg,
            self.authority,
            self.count_change,
            self.fail,
        )
        self.keeper = LeaseKeeper(context, asyncio.Event(), lambda: None)
        job = self.submit([step()])
        self.run_step = next(iter(job.steps.values()))
        self.worker = self.start(job).worker
        self.clock.advance(AGE_MS)

    def count_change(self):
        self.changes += 1

    def hold(self, *failures):
        self.port.failures += failures
        for _ in failures:
            asyncio.run(self.keeper._hold(self.worker))

    # The runs of a crashed worker were queued again without a trace.
    def test_another_worker_at_the_address_shows_a_crash(self):
        broken = TransportError("connection broken", sent=True)
        self.hold((0, broken), (3000, ConflictError("another incarnation")))
        self.assertEqual(self.run_step.crashed_runs, {0: {1}})
        self.assertFalse(self.worker.attempts)
        self.assertEqual(self.changes, 1)

    # The time until a timeout made an early run look like a settled one.
    def test_a_timeout_counts_from_the_start_of_the_hold(self):
        timeout_ms = self.cfg.hold_wait_ms + self.cfg.hold_timeout_ms
        self.assertGreater(timeout_ms, EARLY_RUN_MS)
        silent = TransportError("no answer", sent=True)
        self.hold((timeout_ms, silent), (3000, ConflictError("another incarnation")))
        self.assertEqual(self.run_step.crashed_runs, {0: {1}})

    # A run at work for long was suspected for the crash of its worker.
    def test_a_run_at_work_for_long_is_not_suspected(self):
        self.clock.advance(EARLY_RUN_MS)
        broken = TransportError("connection broken", sent=True)
        self.hold((0, broken), (3000, ConflictError("another incarnation")))
        self.assertFalse(self.run_step.crashed_runs)
        self.assertFalse(self.worker.attempts)

    def let_lease_expire(self):
        """Let the lease of the silent worker expire, and the hold fail once more."""
        silent = TransportError("no answer", sent=True)
        self.hold((0, silent))
        self.clock.advance(self.worker.lease_until - self.clock.now())
        self.hold((0, silent))

    # Guards against two runs of a task: a replaced leader renews leases that its
    # successor waits out.
    def test_no_lease_is_renewed_without_authority(self):
        silent = TransportError("no answer", sent=True)
        self.worker.update_clock(5000, self.clock.now())
        self.hold((0, silent))
        self.is_proven = False
        self.worker.is_reachable = True
        self.clock.advance(AUTHORITY_MS)
        lease_until = self.worker.lease_until
        self.hold((0, silent))
        first, second = self.port.orders
        self.assertIsNotNone(first.lease_until_ms)
        self.assertIsNone(second.lease_until_ms)
        self.assertEqual(self.worker.lease_until, lease_until)

    # Guards against a lease beyond its bound: after a pause of the process, the drift
    # of the worker's clock exceeds the margin.
    def test_no_lease_is_renewed_by_a_clock_that_was_read_long_ago(self):
        self.worker.update_clock(5000, self.clock.now())
        for age_ms, is_renewed in ((MAX_CLOCK_AGE_MS, True), (1, False)):
            self.clock.advance(age_ms)
            self.worker.is_reachable = True
            self.hold((0, TransportError("no answer", sent=True)))
            order = self.port.orders[-1]
            self.assertEqual(order.lease_until_ms is not None, is_renewed)

    # Guards against two runs of a task: the clock of a new incarnation began anew, so
    # that a lease by the clock before outlasts its bound.
    def test_a_worker_that_may_have_restarted_is_sent_no_expiry_by_its_old_clock(self):
        self.worker.update_clock(500_000, self.clock.now())
        self.worker.is_reachable = True
        self.worker.record_doubt()
        self.hold((0, TransportError("no answer", sent=True)))
        self.assertIsNone(self.port.orders[-1].lease_until_ms)

    # Guards against a worker that is forgotten, with what it runs, while a later leader
    # renews its lease.
    def test_an_unlisted_worker_is_kept_without_a_later_proof(self):
        self.state.release(next(iter(self.worker.attempts.values())))
        self.worker.is_listed = self.worker.is_reachable = False
        self.worker.lease_until = self.clock.now() + 1
        self.is_proven = False
        self.clock.advance(1)
        self.assertFalse(self.keeper._can_remove(self.worker))
        self.is_proven = True
        self.assertTrue(self.keeper._can_remove(self.worker))

    # Guards against a call each few milliseconds to each worker while the store is
    # down.
    def test_a_hold_without_renewal_waits_for_an_end_as_well(self):
        self.is_proven = False
        self.clock.advance(AUTHORITY_MS)
        self.worker.is_reachable = True
        self.hold((0, TransportError("no answer", sent=True)))
        self.assertEqual(self.port.orders[0].wait_ms, self.cfg.hold_wait_ms)

    # Guards against two runs of a task: a replaced leader takes a worker for gone that
    # its successor reaches and renews.
    def test_a_silent_worker_is_not_taken_for_gone_without_a_later_proof(self):
        self.is_proven = False
        self.let_lease_expire()
        self.assertTrue(self.worker.attempts)
        self.is_proven = True
        self.hold((0, TransportError("no answer", sent=True)))
        self.assertFalse(self.worker.attempts)

    def test_a_silent_worker_is_taken_for_gone_when_its_lease_has_expired(self):
        self.let_lease_expire()
        self.assertFalse(self.worker.attempts)


class RestartingPort:
    """Worker that starts again under its name and counts its ends from 1 each time."""

    def __init__(self, clock):
        self.clock = clock
        self.holds = []
        self.failures = []
        self.during_hold = lambda: None
        self.start_answer = None
        self.restart(born_ms=1)

    def restart(self, born_ms):
        self.born_ms = born_ms
        self.began_at = self.clock.now()
        self.ended = []
        self.end_count = 0

    def end(self, task, run=1, kind=EndKind.DONE):
        self.end_count += 1
        self.ended.append(RunEnd(self.end_count, task, run, kind, ""))

    @property
    def clock_ms(self):
        return 1000 + self.clock.now() - self.began_at

    async def hold(self, info, order):
        self.holds.append(order)
        self.clock.advance(1)
        self.during_hold()
        if self.failures:
            raise self.failures.pop(0)
        self.ended = [end for end in self.ended if end.number > order.acknowledged]
        return WorkerReport(self.born_ms, self.clock_ms, [], list(self.ended), True)

    async def start(self, info, order):
        return self.start_answer or StartAnswer(StartOutcome.STARTED, self.clock_ms)

    async def stop(self, info, task, run, token):
        if self.failures:
            raise self.failures.pop(0)

    async def pace(self, info, task, run, percent, token):
        await self.stop(info, task, run, token)


class AcknowledgementTest(LeaderStateCase):
    def setUp(self):
        super().setUp()
        self.cfg = ControlSettings()
        self.port = RestartingPort(self.clock)
        context = ControlContext(
            self.state,
            self.port,
            self.clock,
            self.cfg,
            Authority(self.clock.now(), self.clock.now(), self.clock.now),
            lambda: None,
            self.fail,
        )
        self.context = context
        self.keeper = LeaseKeeper(context, asyncio.Event(), lambda: None)
        self.orders = OrderSender(context)
        self.job = self.submit([step(count=9)])
        self.run_step = next(iter(self.job.steps.values()))
        self.worker = self.state.workers["w1"]
        self.hold()

    def hold(self):
        """Hold once, store what was read and return the order."""
        asyncio.run(self.keeper._hold(self.worker))
        self.clock.advance(1)
        _, acks = self.state.pop_changes()
        for ack in acks:
            ack.worker.mark_end_durable(ack.incarnation_ms, ack.number)
        return self.port.holds[-1]

    def task(self, index):
        return TaskKey(self.job.accepted.job, 0, 0, index)

    def end_tasks(self, *indices):
        """Let tasks end on the worker that this leader has started there."""
        for index in indices:
            attempt = self.start(self.job, index)
            self.port.end(attempt.task, attempt.run)

    def assert_next_hold_acknowledges(self, number):
        self.end_tasks(0, 1, 2)
        self.hold()
        self.assertEqual(self.worker.acknowledged, 3)
        self.assertEqual(self.hold().acknowledged, number)

    def restart_during_hold(self):
        """Let the worker start again while a hold waits, and run three more tasks."""
        self.port.failures.append(TransportError("no answer", sent=True))
        self.hold()
        self.port.restart(born_ms=2)
        self.end_tasks(3, 4, 5)

    # The ends of a new incarnation were dropped unread, and its tasks ran again.
    def test_ends_of_a_new_incarnation_are_read_before_they_are_acknowledged(self):
        self.assert_next_hold_acknowledges(3)
        self.restart_during_hold()
        order = self.hold()
        self.assertEqual((order.acknowledged, order.wait_ms), (0, 0))
        self.assertEqual(self.run_step.done, {0, 1, 2, 3, 4, 5})
        self.assertFalse(set(self.run_step.waiting) & self.run_step.done)
        self.assertEqual(self.hold().acknowledged, 3)

    # An acknowledgement that was carried out late dropped ends of a new incarnation.
    def test_an_answered_acknowledgement_is_not_repeated(self):
        self.assert_next_hold_acknowledges(3)
        order = self.hold()
        self.assertEqual(order.acknowledged, 0)
        self.assertEqual(order.wait_ms, self.cfg.hold_wait_ms)

    # Ends were never taken note of after the answer to their hold was lost.
    def test_an_unanswered_acknowledgement_is_repeated(self):
        self.port.during_hold = self.lose_the_answer_to_an_acknowledgement
        self.assert_next_hold_acknowledges(3)
        self.assertEqual(self.hold().acknowledged, 0)
        self.assertEqual(self.hold().acknowledged, 3)

    def lose_the_answer_to_an_acknowledgement(self):
        if self.port.holds[-1].acknowledged:
            self.port.during_hold = lambda: None
            self.port.failures.append(TransportError("answer lost", sent=True))

    # A start that a new incarnation had answered did not keep its ends from being lost.
    def test_nothing_is_acknowledged_after_a_clock_that_went_back(self):
        self.clock.advance(5000)
        self.hold()
        self.end_tasks(0, 1, 2)
        self.hold()
        self.port.restart(born_ms=2)
        self.send_start(6)
        self.assertEqual(self.hold().acknowledged, 0)

    # A worker that had just started again ran on for up to 2 s after it was taken for
    # gone: the expiry of its lease had been derived from the clock before.
    def test_a_restarted_worker_is_waited_for_as_long_as_it_may_hold_a_lease(self):
        for notice in (self.hold, lambda: self.send_start(6)):
            self.clock.advance(5000)
            self.hold()
            self.port.restart(self.port.born_ms + 1)
            now = self.clock.now()
            notice()
            bound = lease_expiry_bound(now, self.cfg.max_lease_ms)
            self.assertGreaterEqual(self.worker.lease_until, bound)
            self.hold()

    # An acknowledgement followed a call that had failed.
    def test_nothing_is_acknowledged_after_a_failed_order(self):
        self.port.start_answer = StartAnswer(StartOutcome.UNHEALTHY, None)
        self.send_start(7)
        self.assert_next_hold_without(lambda: self.send_start(8))
        self.assert_next_hold_without(self.fail_stop)
        self.assert_next_hold_without(self.fail_pace)

    def assert_next_hold_without(self, fail_call):
        self.port.end(self.task(0))
        self.hold()
        fail_call()
        order = self.hold()
        self.assertEqual((order.acknowledged, order.wait_ms), (0, 0))
        self.assertGreater(self.hold().acknowledged, 0)

    def send_start(self, index):
        run = self.run_step.allocate_run(index)
        attempt = self.state.begin_attempt(self.run_step, index, self.worker, run)
        placement = Placement(self.run_step, index, self.worker, "")
        asyncio.run(self.orders._start(attempt, placement))

    def fail_stop(self):
        attempt = self.start(self.job, 5)
        self.state.order_stop(attempt, "test")
        self.port.failures.append(TransportError("no answer", sent=True))
        (stop,) = self.state.pop_stop_orders()
        asyncio.run(self.orders._stop(stop))

    def fail_pace(self):
        attempt = self.start(self.job, 4)
        self.port.failures.append(TransportError("no answer", sent=True))
        asyncio.run(Pacing(self.context)._set_pace(attempt, 50, 1.0))

    # A hold from before a failed call counted as an answer after it.
    def test_a_hold_sent_before_a_failed_call_proves_nothing(self):
        self.end_tasks(0, 1, 2)
        self.port.during_hold = self.worker.record_doubt
        self.hold()
        self.assertEqual(self.hold().acknowledged, 0)

    # A process that had been suspended acknowledged ends by an old answer.
    def test_an_old_answer_allows_no_acknowledgement(self):
        self.end_tasks(0, 1, 2)
        self.hold()
        self.clock.advance(MAX_ANSWER_AGE_MS + 1)
        self.assertEqual(self.hold().acknowledged, 0)
        self.assertEqual(self.hold().acknowledged, 3)

    # A new registration showed that the worker had started again.
    def test_nothing_is_acknowledged_while_another_incarnation_is_registered(self):
        self.end_tasks(0, 1, 2)
        self.hold()
        self.state.sync_worker(self.worker.info._replace(incarnation_ms=2))
        self.assertEqual(self.hold().acknowledged, 0)
        self.assertEqual(self.hold().acknowledged, 3)
