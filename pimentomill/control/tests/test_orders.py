"""Start orders of a leader whose process pauses."""

import asyncio
from unittest import mock

from pimentomill.control import ControlSettings
from pimentomill.control._context import ControlContext
from pimentomill.control._orders import OrderSender
from pimentomill.dispatch import Placement
from pimentomill.dispatch.tests.samples import step
from pimentomill.fleet import StartAnswer, StartOutcome, lease_expiry_bound
from pimentomill.replica import AUTHORITY_MS, Authority

from .test_leader_state import LeaderStateCase

PAUSE_MS = 2000


class TestPauses(LeaderStateCase):
    def setUp(self):
        super().setUp()
        self.authority = Authority(self.clock.now(), self.clock.now())
        self.cfg = ControlSettings()
        self.port = mock.AsyncMock()
        self.port.start.return_value = StartAnswer(StartOutcome.STARTED, None)
        self.pause_ms = 0

    def refuse_start(self, worker):
        is_valid = self.authority.is_valid(self.clock.now())
        self.clock.advance(self.pause_ms)
        return None if is_valid else "another entry may lead"

    def send_start(self):
        context = ControlContext(
            self.state,
            self.port,
            self.clock,
            self.cfg,
            self.authority,
            mock.Mock(),
            mock.Mock(),
            self.refuse_start,
        )
        job = self.submit([step()])
        run_step = next(iter(job.steps.values()))
        worker = self.state.workers["w1"]

        async def send():
            sender = OrderSender(context)
            sender.start_all([Placement(run_step, 0, worker, "")])
            await sender.wait_started(1000)

        asyncio.run(send())
        return worker

    def test_an_order_renews_the_lease(self):
        now = self.clock.now()
        worker = self.send_start()
        bound = lease_expiry_bound(now, self.cfg.lease_ms)
        self.assertEqual(worker.lease_until, bound)

    # Guards against two runs of a task: the process pauses between the check of the
    # authority and the order, which renews the lease beyond the successor's bound.
    def test_an_order_after_a_pause_renews_no_lease_beyond_the_authority(self):
        proven_at = self.authority.proven_at_
        self.clock.advance(AUTHORITY_MS - 1)
        self.state.workers["w1"].update_clock(5000, self.clock.now())
        self.pause_ms = PAUSE_MS
        worker = self.send_start()
        bound = lease_expiry_bound(proven_at + AUTHORITY_MS, self.cfg.lease_ms)
        self.assertLessEqual(worker.lease_until, bound)
