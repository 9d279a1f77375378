"""What a failed hold tells of a worker."""

import asyncio

from pimentomill.control import ControlSettings
from pimentomill.control._context import ControlContext
from pimentomill.control._lease_keeper import LeaseKeeper
from pimentomill.dispatch.tests.samples import step
from pimentomill.exceptions import ConflictError, TransportError
from pimentomill.fleet import EARLY_RUN_MS
from pimentomill.fleet._worker import MAX_CLOCK_AGE_MS
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
