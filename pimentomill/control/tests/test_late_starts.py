"""Start orders that a worker carries out long after they were sent."""

import asyncio
from unittest import mock

from pimentomill.control import ControlSettings, _orders
from pimentomill.control._context import ControlContext
from pimentomill.control._late_starts import LATE_START_MS
from pimentomill.control._orders import OrderSender
from pimentomill.dispatch.tests.samples import step
from pimentomill.exceptions import ConflictError, TransportError
from pimentomill.fleet import AttemptPhase, EndKind, StartAnswer, StartOutcome
from pimentomill.jobs import (
    Cancelled,
    TaskKey,
    cancelled_key,
    encode_record,
)
from pimentomill.replica import Authority

from .test_leader import JOB, WAIT_S, LeaderCase
from .test_leader_state import LeaderStateCase

SMALL_JOB = "d" * 16
HOLDS = 3
"""Answers after which a report has been applied that was requested after a change."""


class TestReservationsOfLateStarts(LeaderStateCase):
    def order(self, **spec):
        """Order a start that stays under way, and let some time pass."""
        job = self.submit([step(cpu=12000, **spec)])
        attempt = self.start(job)
        attempt.phase = AttemptPhase.STARTING
        self.clock.advance(50)
        return attempt

    def report_without_runs(self, attempt, incarnation_ms=1):
        self.clock.advance(5)
        report = self.report(incarnation_ms=incarnation_ms)
        self.state.apply_report(attempt.worker, report, self.clock.now())

    def answer_stop(self, attempt, *answers_before):
        port = mock.AsyncMock()
        port.stop.side_effect = [*answers_before, None]
        sender = self.make_sender(port)
        sleep = mock.patch.object(_orders.asyncio, "sleep")
        for stop in self.state.pop_stop_orders():
            with sleep:
                asyncio.run(sender._stop(stop))

    def make_sender(self, port):
        return OrderSender(
            ControlContext(
                self.state,
                port,
                self.clock,
                ControlSettings(),
                Authority(self.clock.now(), self.clock.now()),
                mock.Mock(),
                mock.Mock(),
            )
        )

    def assert_reserved(self, attempt):
        self.assertEqual(attempt.worker.used.cpu_milli, 12000)
        self.assertEqual(self.ready(), [])

    # Guards against LIMIT and TWICE: the run of a start that is still under way is
    # stopped, and a report without it gives its capacity and its task away.
    def test_a_start_under_way_stays_reserved_until_its_stop_is_answered(self):
        attempt = self.order()
        self.state.order_stop(attempt, "test")
        self.report_without_runs(attempt)
        self.assert_reserved(attempt)
        self.answer_stop(attempt)
        self.report_without_runs(attempt)
        self.assertEqual(attempt.worker.used.cpu_milli, 0)
        self.assertEqual(len(self.ready()), 1)

    # Guards against LIMIT and TWICE: a worker restarts while a start is under way, and
    # its first report gives the capacity and the task away.
    def test_a_start_under_way_stays_reserved_across_a_restart_of_the_worker(self):
        attempt = self.order()
        self.report_without_runs(attempt, incarnation_ms=2)
        self.assert_reserved(attempt)
        self.report_without_runs(attempt, incarnation_ms=2)
        self.assert_reserved(attempt)
        self.answer_stop(attempt)
        self.report_without_runs(attempt, incarnation_ms=2)
        self.assertEqual(len(self.ready()), 1)

    # Guards against the same after a stop that the life before has answered: the new
    # one knows nothing of it.
    def test_a_restart_makes_an_answered_stop_of_an_unanswered_start_void(self):
        attempt = self.order()
        attempt.is_start_unconfirmed = True
        self.state.order_stop(attempt, "start order got no answer")
        self.answer_stop(attempt)
        self.report_without_runs(attempt, incarnation_ms=2)
        self.assert_reserved(attempt)
        self.assertEqual(len(self.state.stop_orders), 1)

    # Guards against TWICE: the task has started elsewhere when a new incarnation of its
    # first worker, which knows nothing of the answered stop, carries the order out.
    def test_a_new_incarnation_is_told_to_stop_a_run_that_was_released(self):
        for elapsed_ms, expected in ((LATE_START_MS - 1000, 1), (LATE_START_MS, 0)):
            with self.subTest(elapsed_ms=elapsed_ms):
                self.setUp()
                attempt = self.order()
                self.answer_start(attempt, StartOutcome.UNKNOWN)
                self.answer_stop(attempt)
                self.report_without_runs(attempt)
                self.assertEqual(len(self.ready()), 1)
                self.clock.advance(elapsed_ms)
                self.report_without_runs(attempt, incarnation_ms=2)
                stops = [(s.task, s.run) for s in self.state.pop_stop_orders()]
                self.assertEqual(stops, [(attempt.task, attempt.run)] * expected)

    # Guards against the same if the worker was taken for gone in between.
    def test_a_worker_that_is_listed_again_is_told_as_well(self):
        attempt = self.order()
        self.answer_start(attempt, StartOutcome.UNKNOWN)
        self.state.pop_stop_orders()
        self.state.release_lost(attempt.worker, "worker is gone", has_ended=True)
        self.state.remove_worker(attempt.worker)
        worker = self.state.sync_worker(attempt.worker.info)
        report = self.report(incarnation_ms=2)
        self.state.apply_report(worker, report, self.clock.now())
        stops = [(s.task, s.run) for s in self.state.pop_stop_orders()]
        self.assertEqual(stops, [(attempt.task, attempt.run)])

    def answer_start(self, attempt, outcome):
        sender = self.make_sender(mock.AsyncMock())
        sender.stop_all = mock.Mock()
        placement = mock.Mock(step=self.state.step_of(attempt.task))
        answer = StartAnswer(outcome, None)
        sender._apply_start_answer(attempt, placement, answer)
        self.state.stop_orders += [
            stop for call in sender.stop_all.mock_calls for stop in call.args[0]
        ]

    # Guards against LOST: another worker at the former address of one that has moved
    # rejects the stop, and the task waits forever for an answer.
    def test_a_stop_that_another_worker_rejects_is_sent_again(self):
        attempt = self.order()
        self.state.order_stop(attempt, "test")
        self.answer_stop(attempt, ConflictError("another incarnation"))
        self.report_without_runs(attempt)
        self.assertEqual(len(self.ready()), 1)


class LateStartCase(LeaderCase):
    """The first run of the first job is carried out only once an event is set."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.late = asyncio.Event()
        self.ordered = []
        self.peak_cpu_milli = {}
        self.holds = {}
        self.cpu_milli = {}
        self.is_stop_lost = True
        self.task = TaskKey(JOB, 0, 0, 0)
        self._start, self._stop = self.workers.start, self.workers.stop
        self._hold = self.workers.hold
        self.workers.start = self.start_late
        self.workers.stop = self.stop_later
        self.workers.hold = self.count_hold

    def is_late(self, order):
        return order.task.job == JOB and order.task.index == 0 and order.run == 1

    async def start_late(self, worker_info, order):
        """Carry out a late start once the event is set, even if nobody waits for it."""
        self.ordered.append((worker_info.worker, order.task, order.run))
        if not self.is_late(order):
            return await self.carry_out(worker_info, order)
        self.late_start = asyncio.ensure_future(self.carry_out_late(worker_info, order))
        self.tasks.append(self.late_start)
        return await asyncio.shield(self.late_start)

    async def carry_out_late(self, worker_info, order):
        await self.late.wait()
        return await self.carry_out(worker_info, order)

    async def carry_out(self, worker_info, order):
        answer = await self._start(worker_info, order)
        name = worker_info.worker
        running = self.workers.workers[name].running
        used = sum(self.cpu_milli[task.job] for task in running)
        self.peak_cpu_milli[name] = max(used, self.peak_cpu_milli.get(name, 0))
        return answer

    async def stop_later(self, *args):
        if self.is_stop_lost:
            raise TransportError("no answer", sent=True)
        await self._stop(*args)

    async def count_hold(self, worker_info, order):
        report = await self._hold(worker_info, order)
        name = worker_info.worker
        self.holds[name] = self.holds.get(name, 0) + 1
        return report

    async def wait_for_reports(self, leader, worker):
        """Wait until the leader has planned by reports that it requests from now on."""
        before = self.holds[worker]
        await self.wait_until(lambda: self.holds[worker] >= before + HOLDS)
        leader._plan()
        await asyncio.sleep(0)

    def is_started(self, job):
        return any(task.job == job for _, task, _ in self.workers.started)


class TestLateStarts(LateStartCase):
    def cancel(self, leader):
        record = Cancelled(JOB, self.clock.wall_ms())
        self.table.apply(cancelled_key(JOB), encode_record(record))
        leader.on_job_change(JOB)

    # Guards against LIMIT: a job is cancelled while its start is held up on the way, as
    # is the stop, and the worker gets another task before the start is carried out.
    async def test_a_worker_is_not_filled_beside_a_start_under_way(self):
        await self.list_worker("w2", is_draining=True)
        self.cpu_milli = {JOB: 12000, "b" * 16: 12000}
        leader = self.start_leader(1)
        await self.wait_until(lambda: leader.state.workers and leader._surveyed)
        self.submit(leader, [step(cpu=12000)])
        await self.wait_until(lambda: self.ordered)
        self.cancel(leader)
        self.submit(leader, [step(cpu=12000)], job="b" * 16)
        await self.wait_for_reports(leader, "w1")
        self.late.set()
        await self.wait_until(lambda: ("w1", self.task, 1) in self.workers.started)
        self.is_stop_lost = False
        await self.wait_until(lambda: self.is_started("b" * 16))
        self.assertLessEqual(self.peak_cpu_milli["w1"], 16000)

    # Guards against TWICE: a worker rejects a member of a gang while the start of
    # another one is held up on the way, and the gang starts again elsewhere.
    async def test_a_gang_does_not_restart_beside_a_start_under_way(self):
        for name in ("w3", "w4"):
            await self.list_worker(name)
        self.cpu_milli = {JOB: 12000}
        start = self.workers.start

        async def reject_second(worker_info, order):
            if order.task.index == 1 and order.run == 1:
                return StartAnswer(StartOutcome.UNHEALTHY, None)
            return await start(worker_info, order)

        self.workers.start = reject_second
        leader = self.start_leader(1)
        await self.wait_until(
            lambda: len(leader.state.workers) == 4 and leader._surveyed
        )
        self.submit(leader, [step(count=2, cpu=12000, gang=True)])
        await self.wait_until(lambda: self.ordered)
        first = self.ordered[0][0]
        await self.list_worker(first, is_draining=True)
        worker = leader.state.workers[first]
        await self.wait_until(lambda: worker.info.is_draining)
        await self.wait_for_reports(leader, first)
        self.late.set()
        await self.wait_until(lambda: (first, self.task, 1) in self.workers.started)
        running = [w for w in self.workers.workers.values() if self.task in w.running]
        self.assertEqual(len(running), 1)
        self.is_stop_lost = False
        await self.wait_until(
            lambda: any(run > 1 for _, _, run in self.workers.started)
        )


class TestLateStartsOfAReplacedLeader(LateStartCase):
    """A start of the leader before is held up on the way to the only worker."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.list_worker("w2", is_draining=True)
        self.cpu_milli = {letter * 16: 12000 for letter in "ab"} | {SMALL_JOB: 1000}
        self.is_cut_off = True
        hold = self.workers.hold

        async def hold_if_reached(worker_info, order):
            if order.token == 2 and self.is_cut_off:
                raise TransportError("no answer", sent=True)
            return await hold(worker_info, order)

        self.workers.hold = hold_if_reached
        self.first = self.start_leader(1)
        await self.wait_until(lambda: self.first.state.workers and self.first._surveyed)
        self.submit(self.first, [step(cpu=12000)])
        await self.wait_until(lambda: self.ordered)

    def take_over(self, lease_ms=60_000):
        return self.start_leader(2, fleet=self.infos.values(), lease_ms=lease_ms)

    def assert_in_use(self, cpu_milli):
        """Check the largest use of the worker, and that each task was started once."""
        self.assertEqual(self.peak_cpu_milli, {"w1": cpu_milli})
        tasks = [task for _, task, _ in self.workers.started]
        self.assertEqual(len(tasks), len(set(tasks)))

    async def wait_for_starts(self, second):
        """Wait until a successor starts work on the worker, and has planned again."""
        self.submit(second, [step(cpu=1000)], job=SMALL_JOB)
        await self.wait_until(lambda: self.is_started(SMALL_JOB))
        await self.wait_for_reports(second, "w1")

    # Guards against LIMIT: a successor fills a worker beside a start of the leader
    # before that the worker carries out just before it answers the successor.
    async def test_a_start_before_the_first_answer_to_a_successor_is_counted(self):
        second = self.take_over()
        self.submit(second, [step(cpu=12000)], job="b" * 16)
        self.late.set()
        await self.wait_until(lambda: self.is_started(JOB))
        self.is_cut_off = False
        await self.wait_for_starts(second)
        self.assertFalse(self.is_started("b" * 16))
        self.workers.end("w1", self.task, EndKind.DONE)
        await self.wait_until(lambda: self.is_started("b" * 16))
        self.assert_in_use(13000)

    # Guards against LIMIT and TWICE: the same start, carried out after the worker has
    # answered the successor, which has started the task itself.
    async def test_a_start_after_the_first_answer_to_a_successor_is_rejected(self):
        self.take_over()
        self.is_cut_off = False
        await self.wait_until(lambda: self.is_started(JOB))
        self.late.set()
        answer = await asyncio.wait_for(self.late_start, WAIT_S)
        self.assertIs(answer.outcome, StartOutcome.FENCED)
        self.assert_in_use(12000)

    # Guards against LIMIT: a replaced leader fills a worker that its successor can't
    # reach, and the successor counts by what it knew at its takeover.
    async def test_what_a_replaced_leader_starts_meanwhile_is_counted(self):
        unknown = "c" * 16
        self.cpu_milli |= {unknown: 3000, "b" * 16: 13000}
        self.late.set()
        await self.wait_until(lambda: self.is_started(JOB))
        self.submit(self.first, [step(cpu=3000)], job=unknown)
        second = self.take_over()
        self.submit(second, [step(cpu=13000)], job="b" * 16)
        await self.wait_until(lambda: self.is_started(unknown))
        self.is_cut_off = False
        await self.wait_for_starts(second)
        self.workers.end("w1", self.task, EndKind.DONE)
        await self.wait_for_reports(second, "w1")
        self.assertFalse(self.is_started("b" * 16))
        self.workers.end("w1", TaskKey(unknown, 0, 0, 0), EndKind.DONE)
        await self.wait_until(lambda: self.is_started("b" * 16))
        self.assert_in_use(16000)
