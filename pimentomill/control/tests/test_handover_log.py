"""Log lines that tell why runs were released or two leaders acted at once."""

import asyncio
from unittest import mock

from pimentomill.control import (
    ControlSettings,
    _leader,
    _leader_state,
    _lease_keeper,
    _orders,
)
from pimentomill.control._context import ControlContext
from pimentomill.control._leader_state import StopOrder
from pimentomill.control._lease_keeper import LeaseKeeper
from pimentomill.control._orders import OrderSender
from pimentomill.dispatch.tests.samples import step
from pimentomill.exceptions import FencedError, TransportError
from pimentomill.fleet import AttemptPhase
from pimentomill.replica import Authority
from pimentomill.utils import Instant

from .test_leader import WAIT_S, LeaderCase
from .test_leader_state import LeaderStateCase

TERM_MS = 1000
SILENT = TransportError("no answer", sent=True)
FENCED = FencedError("the worker has seen a higher token")


def fields_of(log, text):
    """Return the fields of the only line with a text, at any level."""
    calls = [*log.info.call_args_list, *log.warning.call_args_list]
    found = [call.kwargs for call in calls if call.args == (text,)]
    if len(found) != 1:
        raise AssertionError(f"{text!r} was logged {len(found)} times, not once")
    return found[0]


class TestLinesOnRuns(LeaderStateCase):
    # Guards against runs that are taken for gone on evidence that no line names.
    def test_lost_runs_are_logged_with_the_evidence(self):
        attempt = self.start(self.submit([step()]))
        worker = attempt.worker
        worker.silent_since = self.clock.now()
        worker.lease_until = Instant(self.clock.now() + TERM_MS)
        self.clock.advance(TERM_MS + 5)
        with mock.patch.object(_leader_state, "_log") as log:
            self.state.release_lost(worker, "worker lease has expired")
        fields = fields_of(log, "Runs lost")
        self.assertEqual(fields["runs"], {str(attempt.task): attempt.run})
        self.assertEqual((fields["lease_left_ms"], fields["silent_ms"]), (-5, 1005))
        self.assertEqual(fields["token"], 1)

    # Guards against a release during a start that can't be told from that of an end.
    def test_a_missing_run_is_logged_with_what_is_known_of_its_start(self):
        attempt = self.start(self.submit([step()]))
        attempt.is_start_unconfirmed = True
        self.clock.advance(7)
        with mock.patch.object(_leader_state, "_log") as log:
            now = self.clock.now()
            self.state.apply_report(attempt.worker, self.report(), now)
        fields = fields_of(log, "Run is missing from the worker's report")
        self.assertEqual((fields["is_start_unconfirmed"], fields["age_ms"]), (True, 7))


class TestLinesOnCalls(LeaderStateCase):
    def setUp(self):
        super().setUp()
        self.port = mock.AsyncMock()
        self.reasons = []
        self.context = ControlContext(
            self.state,
            self.port,
            self.clock,
            ControlSettings(),
            Authority(self.clock.now(), self.clock.now()),
            lambda: None,
            self.reasons.append,
        )
        self.keeper = LeaseKeeper(self.context, asyncio.Event(), lambda: None)
        self.worker = self.state.workers["w1"]

    def hold(self, answer):
        self.port.hold.side_effect = [answer]
        with mock.patch.object(_lease_keeper, "_log") as log:
            asyncio.run(self.keeper._hold(self.worker))
        return log

    # Guards against a lease of which nobody can tell who renewed it last, until when.
    def test_an_unreachable_worker_is_logged_with_its_lease(self):
        self.worker.lease_until = Instant(self.clock.now() + 10 * TERM_MS)
        fields = fields_of(self.hold(SILENT), "Worker is unreachable")
        self.assertEqual((fields["token"], fields["lease_left_ms"]), (1, 10 * TERM_MS))

    # Guards against a plan of a successor that can't be traced to what it was told.
    def test_the_first_answer_of_a_worker_is_logged_with_what_it_lists(self):
        self.worker.is_reachable = False
        self.worker.answered_at = None
        fields = fields_of(self.hold(self.report()), "Worker is reachable again")
        self.assertTrue(fields["is_first_answer"])
        listed = (fields["running"], fields["ended"], fields["incarnation_ms"])
        self.assertEqual(listed, (0, 0, 1))

    # Guards against a replaced leader of which no line tells which worker ended it.
    def test_the_reason_to_step_down_names_the_worker(self):
        attempt = self.start(self.submit([step()]))
        self.hold(FENCED)
        self.port.stop.side_effect = FENCED
        sender = OrderSender(self.context)
        order = StopOrder(self.worker, attempt.task, attempt.run, "test")
        asyncio.run(sender._stop(order))
        self.assertEqual(self.reasons, [f"{FENCED} (w1)"] * 2)

    # Guards against a stop that is under way for seconds, for a run that no line names.
    def test_a_stop_without_an_answer_is_logged_with_its_run(self):
        attempt = self.start(self.submit([step()]))
        self.port.stop.side_effect = [SILENT, None]
        order = StopOrder(self.worker, attempt.task, attempt.run, "test")
        with (
            mock.patch.object(_orders, "_log") as log,
            mock.patch.object(_orders.asyncio, "sleep"),
        ):
            asyncio.run(OrderSender(self.context)._stop(order))
        unanswered = fields_of(log, "Stop order got no answer; retrying")
        self.assertEqual((unanswered["run"], unanswered["worker"]), (1, "w1"))
        finished = fields_of(log, "Stop order finished")
        self.assertEqual((finished["attempts"], finished["token"]), (2, 1))


class TestLinesOnLeaders(LeaderCase):
    # Guards against a change of the leader of which neither log tells the leases.
    async def test_a_leader_logs_the_leases_at_its_end_and_at_its_survey(self):
        with mock.patch.object(_leader, "_log") as log:
            first = self.start_leader(1)
            self.submit(first, [step()])
            await self.wait_until(lambda: self.workers.started)
            worker, task, _ = self.workers.started[0]
            attempt = first.state.workers[worker].attempts[task]
            await self.wait_until(lambda: attempt.phase is AttemptPhase.RUNNING)
            first.step_down("test")
            await asyncio.wait_for(self.tasks[0], WAIT_S)
            ended = fields_of(log, "Leadership ended")
        self.assertEqual((ended["epoch"], ended["why"]), (1, "test"))
        self.assertGreater(ended["lease_left_ms"][worker], 0)
        self.workers.unresponsive.add(worker)
        with mock.patch.object(_leader, "_log") as log:
            second = self.start_leader(2, fleet=self.infos.values())
            await self.wait_until(lambda: second._surveyed)
            surveyed = fields_of(log, "Worker survey finished")
        self.assertEqual(list(surveyed["lease_left_ms"]), [worker])
