import asyncio
import unittest
from unittest import mock

import msgspec

from pimentomill.catalog import Catalog, RequestLimits, Team
from pimentomill.control import (
    FLEET_KEY,
    ControlSettings,
    Leader,
    PolicyQueryDispatcher,
    _leader,
)
from pimentomill.dispatch import Placement, Preemption
from pimentomill.dispatch.tests.samples import accepted, info, queue, step
from pimentomill.exceptions import TransportError
from pimentomill.fleet import (
    AttemptPhase,
    EndKind,
    Registration,
    StartAnswer,
    StartOutcome,
    WorkerInfo,
    lease_expiry_bound,
)
from pimentomill.jobs import (
    JobState,
    JobTable,
    KeyedRecord,
    TaskKey,
    accepted_key,
    encode_record,
)
from pimentomill.replica import LeaderRecord, authority_end_bound
from pimentomill.standins import MemoryStore, MemoryWorkers
from pimentomill.utils import SystemClock

JOB = "a" * 16
WAIT_S = 20.0
REJECTED_STOPS = 80
"""Stops that a worker rejects while it answers holds; 12 s at the usual pause."""


class LeaderCase(unittest.IsolatedAsyncioTestCase):
    """Run leaders on an in-memory store and workers; tests wait for events."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.workers = MemoryWorkers()
        self.clock = SystemClock()
        self.table = JobTable()
        self.infos = {}
        self.tasks = []
        for name in ("w1", "w2"):
            await self.list_worker(name)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def list_worker(self, name, **changes):
        if name not in self.workers.workers:
            self.workers.add(name)
        self.infos[name] = info(name, **changes)
        await self.store.append("workers", [KeyedRecord(name, b"listed")])

    def decode_worker(self, key, value):
        return Registration(self.infos[key]) if key in self.infos else None

    def start_leader(self, epoch, fleet=(), teams=(), **settings):
        cfg = ControlSettings(
            hold_wait_ms=50, hold_gap_ms=1, retry_ms=10, beat_ms=50, **settings
        )
        leader = Leader(
            LeaderRecord(epoch, f"n{epoch}", f"i{epoch}"),
            1,
            self.store,
            self.table,
            self.workers,
            PolicyQueryDispatcher(self.clock, 100),
            self.decode_worker,
            self.clock,
            cfg,
            list(fleet),
        )
        catalog = Catalog(1, [queue()], teams, {}, ["planting"], RequestLimits())
        leader.set_catalog(catalog)
        self.tasks.append(asyncio.ensure_future(leader.run()))
        return leader

    def submit(self, leader, steps, job=JOB):
        record = accepted(job, steps, at_ms=self.clock.wall_ms())
        self.table.apply(accepted_key(job), encode_record(record))
        if leader is not None:
            leader.on_job_change(job)

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.005)

    @staticmethod
    def accept_runs(leader):
        workers = leader.state.workers.values()
        return workers and all(worker.accepts_runs() for worker in workers)

    def workers_started(self, index=0):
        return [
            worker for worker, task, _ in self.workers.started if task.index == index
        ]


class TestLeader(LeaderCase):
    async def test_a_job_runs_once_and_its_end_is_stored_before_it_is_dropped(self):
        leader = self.start_leader(1)
        self.submit(leader, [step()])
        await self.wait_until(lambda: self.workers.started)
        worker, task, _ = self.workers.started[0]
        self.workers.end(worker, task, EndKind.DONE)
        await self.wait_until(lambda: not self.workers.workers[worker].ended)
        for record in self.store.records("work"):
            self.table.apply(record.key, record.value)
        self.assertEqual(self.table.find(JOB).state, JobState.COMPLETED)
        self.assertEqual(len(self.workers.started), 1)

    # Guards against a count of waiting jobs that leaves out jobs whose starts a worker
    # rejects, also under a successor, which reads the stored state.
    async def test_a_job_begins_when_a_worker_accepts_a_start(self):
        rejected = []
        accept = self.workers.start

        async def reject(info, order):
            rejected.append(order.run)
            return StartAnswer(StartOutcome.UNHEALTHY, None)

        self.workers.start = reject
        leader = self.start_leader(1)
        self.submit(leader, [step()])
        await self.wait_until(lambda: len(rejected) > 1)
        await leader.progress_writer.flush()
        self.apply_records()
        self.assertEqual(leader.state.jobs[JOB].state, JobState.QUEUED)
        self.assertEqual(self.table.state_of(JOB), JobState.QUEUED)
        self.workers.start = accept
        await self.wait_until(lambda: self.workers.started)
        await self.wait_until(lambda: leader.state.jobs[JOB].state is JobState.RUNNING)
        await leader.progress_writer.flush()
        self.apply_records()
        self.assertEqual(self.table.state_of(JOB), JobState.RUNNING)

    def apply_records(self):
        for record in self.store.records("work"):
            self.table.apply(record.key, record.value)

    async def test_an_end_is_not_acknowledged_while_the_store_is_down(self):
        leader = self.start_leader(1)
        self.submit(leader, [step()])
        await self.wait_until(lambda: self.workers.started)
        self.store.is_down = True
        worker, task, _ = self.workers.started[0]
        self.workers.end(worker, task, EndKind.DONE)
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.workers.workers[worker].ended), 1)
        self.store.is_down = False
        await self.wait_until(lambda: not self.workers.workers[worker].ended)

    # Guards against two runs of a task: the leader before renews the lease of a worker
    # that does not answer its successor.
    async def test_a_successor_waits_until_no_leader_before_renews_leases(self):
        claimed_at = self.clock.now()
        leader = self.start_leader(2, fleet=[self.infos["w1"]])
        await asyncio.sleep(0)
        renewed_until = authority_end_bound(claimed_at)
        bound = lease_expiry_bound(renewed_until, leader.cfg.lease_ms)
        self.assertGreaterEqual(leader.state.workers["w1"].lease_until, bound)

    # Guards against two runs of a task: a replaced leader without the store starts what
    # its successor has started.
    async def test_nothing_is_started_without_authority(self):
        leader = self.start_leader(1)
        await self.wait_until(lambda: leader._surveyed and self.accept_runs(leader))
        leader.authority.is_valid = lambda now: False
        self.submit(leader, [step()])
        await self.wait_until(lambda: leader._start_refusal is not None)
        self.assertEqual(self.workers.started, [])
        del leader.authority.is_valid
        leader.request_plan()
        await self.wait_until(lambda: self.workers.started)

    # Guards against two runs of a task: the authority ends between plan and order.
    async def test_an_order_that_was_planned_with_authority_is_not_sent_without(self):
        leader = self.start_leader(1)
        await self.wait_until(lambda: leader._surveyed and self.accept_runs(leader))
        leader.authority.is_valid = lambda now: False
        self.submit(leader, [step()])
        run = next(iter(leader.state.open_steps.values()))
        worker = leader.state.workers["w1"]
        leader.orders.start_all([Placement(run, 0, worker, "")])
        await self.wait_until(lambda: not run.active)
        self.assertEqual(self.workers.started, [])

    # Guards against two leaders: orders that are under way are sent after the end.
    async def test_a_leader_that_steps_down_has_no_authority(self):
        leader = self.start_leader(1)
        self.assertTrue(leader.authority.is_valid(self.clock.now()))
        leader.step_down("a later leader is on record")
        self.assertFalse(leader.authority.is_valid(self.clock.now()))

    # Guards against a leader that acts on leases beside the entry that has read its
    # resignation, while the answer to the append is lost.
    async def test_a_leader_that_resigns_asks_for_no_lease(self):
        leader = self.start_leader(1)
        leader.authority_keeper.grant_round = mock.AsyncMock(return_value=True)
        await self.wait_until(lambda: leader._surveyed)
        self.store.is_down = True
        resigning = asyncio.ensure_future(leader.resign())
        self.tasks.append(resigning)
        await self.wait_until(lambda: leader.progress_writer.is_failing_)
        self.assertIsNone(leader.authority_keeper.grant_round)

    # Guards against two runs of a task: a silent worker is taken for gone, or a new one
    # is filled, while a later leader may be in charge of it.
    async def test_the_state_asks_the_authority_of_the_leader(self):
        leader = self.start_leader(1)
        covered = leader.authority.proven_at_
        for is_covered in (
            leader.state.is_covered,
            leader.state.inheritance.is_covered,
        ):
            self.assertTrue(is_covered(covered))
            self.assertFalse(is_covered(covered + 1))

    # Guards against work that waits for the next heartbeat after a takeover.
    async def test_a_first_answer_is_confirmed_by_an_append_at_once(self):
        settings = ControlSettings(hold_wait_ms=50, hold_gap_ms=1, beat_ms=60_000)
        leader = self.start_leader(1)
        leader.cfg = leader.progress_writer.cfg = settings
        await self.wait_until(lambda: self.accept_runs(leader))
        leader.state.workers["w1"].require_confirmation(self.clock.now())
        leader.request_plan()
        await self.wait_until(lambda: self.accept_runs(leader))

    async def test_accepted_work_starts_while_the_store_is_down(self):
        leader = self.start_leader(1)
        await self.wait_until(lambda: leader._surveyed and self.accept_runs(leader))
        self.store.is_down = True
        self.submit(leader, [step()])
        await self.wait_until(lambda: self.workers.started)

    async def test_an_unanswered_start_is_stopped_before_the_task_restarts(self):
        leader = self.start_leader(1)
        self.workers.lose_start_answers = 1
        self.submit(leader, [step()])
        await self.wait_until(lambda: len(self.workers.started) == 2)
        first, second = self.workers.started
        running = [
            name
            for name, state in self.workers.workers.items()
            if TaskKey(JOB, 0, 0, 0) in state.running
        ]
        self.assertEqual(running, [second[0]])
        self.assertGreater(second[2], first[2])

    async def test_a_task_of_an_unreachable_worker_waits_until_its_lease_expires(self):
        leader = self.start_leader(1, lease_ms=600)
        self.submit(leader, [step()])
        await self.wait_until(lambda: self.workers.started)
        await self.wait_until(lambda: leader.state.workers["w1"].has_answered)
        worker, _, _ = self.workers.started[0]
        self.workers.unresponsive.add(worker)
        lease_until = leader.state.workers[worker].lease_until
        await self.wait_until(lambda: len(self.workers.started) == 2)
        self.assertGreaterEqual(self.clock.now(), lease_until)
        self.assertNotEqual(self.workers.started[1][0], worker)

    async def test_the_task_of_a_worker_whose_address_is_taken_starts_again_at_once(
        self,
    ):
        leader = self.start_leader(1, lease_ms=60_000)
        self.submit(leader, [step()])
        await self.wait_until(lambda: self.workers.started)
        worker, _, _ = self.workers.started[0]
        del self.workers.workers[worker]
        await self.wait_until(lambda: len(self.workers.started) == 2)
        self.assertNotEqual(self.workers.started[1][0], worker)

    async def test_an_unexpected_error_of_a_pass_does_not_end_the_leadership(self):
        leader = self.start_leader(1)
        with mock.patch.object(leader.planner, "plan", side_effect=RuntimeError):
            self.submit(leader, [step()])
            await asyncio.sleep(0.05)
        await self.wait_until(lambda: self.workers.started)
        self.assertFalse(self.tasks[0].done())

    async def test_an_unexpected_error_of_a_hold_does_not_lose_the_worker(self):
        leader = self.start_leader(1)
        await self.wait_until(lambda: leader.state.workers and leader._surveyed)
        with mock.patch.object(
            leader.state, "apply_report", side_effect=RuntimeError
        ) as applied:
            await self.wait_until(lambda: applied.called)
        self.submit(leader, [step()])
        await self.wait_until(lambda: self.workers.started)
        worker, task, _ = self.workers.started[0]
        self.workers.end(worker, task, EndKind.DONE)
        await self.wait_until(lambda: not self.workers.workers[worker].ended)

    async def test_a_planned_stop_completes_the_starts_of_a_gang(self):
        """An entry that leads gets SIGTERM just as it starts a gang."""
        leader = self.start_leader(1)
        await self.wait_until(lambda: leader.state.workers and leader._surveyed)
        start, second_may_start = self.workers.start, asyncio.Event()
        ordered = []

        async def start_second_late(worker_info, order):
            ordered.append(order.task.index)
            if len(ordered) > 1:
                await second_may_start.wait()
            return await start(worker_info, order)

        with mock.patch.object(self.workers, "start", start_second_late):
            self.submit(leader, [step(count=2, gang=True)])
            await self.wait_until(lambda: len(ordered) == 2)
            asyncio.get_running_loop().call_later(0.05, second_may_start.set)
            resigned = asyncio.ensure_future(leader.resign())
            await asyncio.sleep(0)
            self.submit(leader, [step()], job="b" * 16)
            await resigned
            await asyncio.wait_for(self.tasks[0], WAIT_S)
        started = {(task.job, task.index) for _, task, _ in self.workers.started}
        self.assertEqual(started, {(JOB, 0), (JOB, 1)})

    async def test_a_successor_uses_no_worker_that_has_left_the_list(self):
        await self.store.append("workers", [KeyedRecord("w2", b"")])
        leader = self.start_leader(2, fleet=self.infos.values())
        await self.wait_until(lambda: leader._surveyed)
        self.submit(leader, [step(count=2, max_per_worker=1)])
        await self.wait_until(lambda: self.workers.started)
        await asyncio.sleep(0.1)
        self.assertEqual([worker for worker, _, _ in self.workers.started], ["w1"])

    async def test_passes_in_quick_succession_search_once_for_runs_to_preempt(self):
        """Ends come in hundreds a second on a large site, each with a pass."""
        leader = self.start_leader(1)
        now = self.clock.now() + 1000
        with mock.patch.object(
            _leader, "choose_victims", return_value=Preemption([], [])
        ) as search:
            for moment in (now, now + 10, now + 49, now + 50):
                leader._preempt([], moment)
        self.assertEqual([call.args[5] for call in search.mock_calls], [now, now + 50])

    async def test_a_start_with_an_unexpected_error_counts_as_not_answered(self):
        leader = self.start_leader(1)
        await self.wait_until(lambda: leader.state.workers and leader._surveyed)
        with mock.patch.object(
            self.workers, "start", side_effect=RuntimeError
        ) as ordered:
            self.submit(leader, [step()])
            await self.wait_until(lambda: ordered.called)
        await self.wait_until(lambda: self.workers.started)

    # Guards against a run that is never stopped, and keeps its task and capacity.
    async def test_a_stop_is_sent_until_the_worker_accepts_it(self):
        leader = self.start_leader(1)
        self.submit(leader, [step(long_running=True)])
        await self.wait_until(lambda: self.workers.started)
        worker, task, _ = self.workers.started[0]
        await self.wait_until(
            lambda: (
                leader.state.workers[worker].attempts[task].phase
                is AttemptPhase.RUNNING
            )
        )
        stop, rejected = self.workers.stop, []

        async def reject_at_first(*args):
            if len(rejected) < REJECTED_STOPS:
                rejected.append(args)
                raise TransportError("rejected with status 503", sent=False)
            await stop(*args)

        self.workers.stop = reject_at_first
        attempt = leader.state.workers[worker].attempts[task]
        leader.state.order_stop(attempt, "worker is draining")
        leader.request_plan()
        await self.wait_until(lambda: len(self.workers.started) == 2)

    async def test_a_successor_fences_the_previous_leader(self):
        first = self.start_leader(1)
        self.submit(first, [step(count=2)])
        await self.wait_until(lambda: len(self.workers.started) == 2)
        self.start_leader(2, fleet=self.infos.values())
        reason = await asyncio.wait_for(self.tasks[0], WAIT_S)
        # Either a worker or the store rejects the lower token first.
        self.assertRegex(
            reason, "seen a higher token|higher token was seen|epoch 2 writes"
        )
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.workers.started), 2)

    async def test_a_successor_waits_for_an_unreachable_worker_with_inherited_work(
        self,
    ):
        first = self.start_leader(1)
        self.submit(first, [step()])
        await self.wait_until(lambda: self.workers.started)
        worker, _, _ = self.workers.started[0]
        self.tasks[0].cancel()
        self.workers.unresponsive.add(worker)
        second = self.start_leader(2, fleet=self.infos.values(), lease_ms=400)
        self.submit(second, [step()], job="b" * 16)
        await self.wait_until(lambda: len(self.workers.started) == 2)
        self.assertEqual(self.workers.started[1][1].job, "b" * 16)
        await self.wait_until(lambda: len(self.workers.started) == 3)
        self.assertNotEqual(self.workers.started[2][0], worker)

    def stored_fleet(self):
        """Return the workers that a successor would start from."""
        values = [r.value for r in self.store.records("work") if r.key == FLEET_KEY]
        if not values:
            return {}
        fleet = msgspec.msgpack.decode(values[-1], type=list[WorkerInfo])
        return {item.worker: item for item in fleet}

    # Guards against two runs of a task at a time: its worker shrinks after the start,
    # and a successor takes the silent worker for too small to run it.
    async def test_a_successor_waits_for_a_silent_worker_that_has_shrunk(self):
        first = self.start_leader(1)
        self.submit(first, [step(cpu=12000)])
        await self.wait_until(lambda: self.workers.started)
        worker, _, _ = self.workers.started[0]
        await self.list_worker(worker, cpu=4000)
        await self.wait_until(
            lambda: first.state.workers[worker].info.capacity.cpu_milli == 4000
        )
        first.request_plan()
        await self.wait_until(lambda: len(self.stored_fleet()) == 2)
        self.tasks[0].cancel()
        self.workers.unresponsive.add(worker)
        fleet = self.stored_fleet().values()
        second = self.start_leader(2, fleet=fleet, lease_ms=2000)
        await self.wait_until(lambda: second._surveyed)
        lease_until = second.state.workers[worker].lease_until
        await self.wait_until(lambda: len(self.workers.started) == 2)
        self.assertGreaterEqual(self.clock.now(), lease_until)

    # Guards against a successor that starts tasks by the stored capacities, before it
    # has read the list of workers.
    async def test_a_successor_starts_nothing_before_it_has_read_the_capacities(self):
        fleet = list(self.infos.values())
        for name in ("w1", "w2"):
            await self.list_worker(name, cpu=4000)
        self.store.is_down = True
        leader = self.start_leader(2, fleet=fleet)
        await self.wait_until(
            lambda: (
                leader.state.workers
                and all(w.has_answered for w in leader.state.workers.values())
            )
        )
        self.submit(leader, [step(cpu=12000)])
        self.submit(leader, [step(cpu=3000)], job="b" * 16)
        leader._plan()
        self.assertEqual(leader._last_plan.placements, [])
        self.assertEqual(self.workers.started, [])
        self.store.is_down = False
        await self.wait_until(lambda: self.workers.started)
        leader._plan()
        self.assertEqual(leader._last_plan.placements, [])
        self.assertEqual([task.job for _, task, _ in self.workers.started], ["b" * 16])

    # Guards against a successor that knows a worker only as it was before it grew.
    async def test_a_worker_is_recorded_with_the_largest_capacity_that_it_had(self):
        self.start_leader(1)
        for cpu, largest in ((16000, 16000), (32000, 32000), (1000, 32000)):
            await self.list_worker("w1", cpu=cpu)
            await self.list_worker(f"x{cpu}")
            await self.wait_until(lambda cpu=cpu: f"x{cpu}" in self.stored_fleet())
            recorded = self.stored_fleet()["w1"].capacity
            self.assertEqual(recorded.cpu_milli, largest)

    # Guards against two runs of a task: a worker has returned with other labels or in
    # another service, and a successor that can't read its registration any more takes
    # it for unable to run the task.
    async def test_a_worker_that_returns_with_another_kind_is_recorded_anew(self):
        leader = self.start_leader(1)
        await self.wait_until(lambda: self.accept_runs(leader))
        for changes in ({"kind": "gpu"}, {"kind": "gpu", "service": "survey"}):
            await self.list_worker("w1", **changes)
            await self.wait_until(lambda: self.stored_kind("w1") == self.kind("w1"))

    def stored_kind(self, name):
        recorded = self.stored_fleet()[name]
        return recorded.service, recorded.labels

    def kind(self, name):
        return self.infos[name].service, self.infos[name].labels

    # After a change of the leader, jobs beyond a team's share must not start before
    # others. A team with a share of one job per second submits six at once, of which
    # one is done.
    async def test_a_successor_knows_which_jobs_lie_beyond_a_share(self):
        teams = [Team("t", weight=1.0)]
        first = self.start_leader(1, teams=teams)
        names = [letter * 16 for letter in "fedcba"]
        for name in names:
            self.submit(first, [step()], job=name)
            await asyncio.sleep(0.005)
        before = {name: first.state.jobs[name].over_share for name in names}
        self.assertEqual(sorted(before.values()), [False] * 2 + [True] * 4)
        await self.wait_until(lambda: len(self.workers.started) == len(names))
        done = names[0]
        worker, task, _ = next(
            run for run in self.workers.started if run[1].job == done
        )
        self.workers.end(worker, task, EndKind.DONE)
        await self.wait_until(lambda: not self.workers.workers[worker].ended)
        for record in self.store.records("work"):
            self.table.apply(record.key, record.value)
        second = self.start_leader(2, fleet=self.infos.values(), teams=teams)
        await self.wait_until(lambda: second.state.jobs)
        after = {name: job.over_share for name, job in second.state.jobs.items()}
        self.assertEqual(after, {name: before[name] for name in names[1:]})
