import asyncio

from pimentomill.control import WORK_STREAM
from pimentomill.control._diagnosis import waiting_causes
from pimentomill.control._start_gate import PAUSE_MS
from pimentomill.control.tests.test_leader import LeaderCase
from pimentomill.control.tests.test_leader_state import JOB, LeaderStateCase
from pimentomill.dispatch import Placement, Planner
from pimentomill.dispatch.tests.samples import info, queue, step
from pimentomill.fleet import AttemptPhase, EndKind
from pimentomill.jobs import StepKey
from pimentomill.utils import Resources

OTHER_JOB = "b" * 16


class FakeRules:
    """Copy of the settings whose reads are answered on request."""

    def __init__(self, clock):
        self.clock = clock
        self.is_loaded_ = self.is_reachable_ = True
        self.current_as_of_ = clock.now() - 500
        self.is_answered = True
        self.reads = 0

    async def read_now(self):
        self.reads += 1
        if self.is_answered:
            self.current_as_of_ = self.clock.now()


class TestState(LeaderStateCase):
    def plan(self):
        steps = list(self.state.ready_steps())
        planner = Planner(self.state.quotas)
        return planner.plan(self.clock.now(), steps, self.state.workers.values())

    def test_tasks_are_placed_in_the_other_data_centre(self):
        self.state.sync_worker(info("w2", zone="z2"))
        self.state.set_evacuated(frozenset({"z1"}))
        self.submit([step(count=4)])
        placed = {item.worker.info.worker for item in self.plan().placements}
        self.assertEqual(placed, {"w2"})

    def test_all_data_centres_evacuated_and_one_returned(self):
        self.submit([step(count=2)])
        self.state.set_evacuated(frozenset({"z1"}))
        self.assertEqual(self.plan().placements, [])
        self.state.set_evacuated(frozenset())
        self.assertEqual(len(self.plan().placements), 2)

    def test_a_waiting_step_is_explained(self):
        self.submit([step()])
        self.state.set_evacuated(frozenset({"z1"}))
        (run,) = self.state.ready_steps()
        workers = list(self.state.workers.values())
        causes = waiting_causes(
            run, workers, self.state.quotas, self.plan(), self.clock.now()
        )
        self.assertEqual(causes, {"evacuated": 2})

    def test_a_worker_listed_later_or_moved_there_gets_nothing(self):
        self.state.set_evacuated(frozenset({"z2"}))
        moved = self.state.sync_worker(info("w1", zone="z2"))
        added = self.state.sync_worker(info("w3", zone="z2"))
        self.assertTrue(moved.is_evacuated and added.is_evacuated)
        self.assertFalse(self.state.sync_worker(info("w3")).is_evacuated)

    def test_runs_there_continue(self):
        attempt = self.start(self.submit([step()]))
        self.state.set_evacuated(frozenset({"z1"}))
        self.state.evacuate()
        self.assertEqual(self.state.pop_stop_orders(), [])
        self.assertIs(attempt.phase, AttemptPhase.RUNNING)


class TestColdWorkers(LeaderStateCase):
    """Workers have just been started when their data centre returns."""

    def place(self, spec, **queue_fields):
        job = self.submit([spec], of=queue(**queue_fields))
        steps = list(job.steps.values())
        planner = Planner(self.state.quotas)
        plan = planner.plan(self.clock.now(), steps, self.state.workers.values())
        return [item.worker.info.worker for item in plan.placements]

    def warm_up(self, left_ms, **changes):
        # Among equal workers, the planner takes the first one.
        self.state.sync_worker(info("w1", **changes), left_ms)

    def test_urgent_and_long_work_goes_elsewhere_first(self):
        cases = (
            (step(estimate_ms=10), 0, "w2"),
            (step(estimate_ms=10), 1, "w1"),
            (step(estimate_ms=900), 1, "w2"),
            (step(long_running=True), 1, "w2"),
        )
        for number, (spec, priority, expected) in enumerate(cases):
            self.setUp()
            self.warm_up(4000)
            placed = self.place(spec, priority=priority, target_ms=800)
            self.assertEqual(placed, [expected], number)

    def test_a_cold_worker_is_used_when_the_others_are_full(self):
        self.warm_up(4000, cpu=2000)
        placed = self.place(step(count=17, cpu=1000), priority=0)
        self.assertEqual(placed.count("w1"), 1)

    def test_the_cold_time_ends_by_itself_and_by_registration(self):
        self.warm_up(4000)
        worker = self.state.workers["w1"]
        started_at = self.clock.now()
        self.clock.advance(1500)
        self.assertTrue(worker.is_cold(self.clock.now()))
        self.warm_up(0)
        self.assertFalse(worker.is_cold(self.clock.now()))
        self.assertTrue(worker.is_cold(started_at))
        self.clock.advance(1500)
        self.warm_up(0)
        self.assertFalse(worker.is_cold(self.clock.now() - 1))

    # Guards against a worker that counts as slow long after it is warm.
    def test_runs_begun_cold_teach_nothing_about_the_worker(self):
        self.warm_up(4000)
        job = self.submit([step(count=2)])
        cold, warm = self.start(job, 0, "w1"), self.start(job, 1, "w2")
        self.end(cold, EndKind.DONE)
        self.end(warm, EndKind.DONE)
        (run,) = job.steps.values()
        self.assertEqual(run.durations, [20])


class TestLeader(LeaderCase):
    async def test_reservations_and_claims_of_evacuated_workers_end(self):
        await self.list_worker("w2", zone="z2")
        leader = self.start_leader(1)
        await self.wait_until(lambda: len(leader.state.workers) == 2)
        for number, name in enumerate(("w1", "w2")):
            claim = (leader.clock.now() + 60_000, {name: Resources(1, 1, 0)})
            leader._claims[StepKey(JOB, 0, number)] = claim
        leader.set_evacuated(frozenset({"z1"}))
        self.assertEqual(list(leader._claims), [StepKey(JOB, 0, 1)])

    async def test_a_start_planned_before_the_record_is_not_sent(self):
        leader = self.start_leader(1)
        await self.wait_until(lambda: leader.state.workers and leader._surveyed)
        leader.set_evacuated(frozenset({"z1"}))
        self.submit(leader, [step()])
        run = next(iter(leader.state.open_steps.values()))
        worker = leader.state.workers["w1"]
        leader.orders.start_all([Placement(run, 0, worker, "")])
        await self.wait_until(lambda: not run.active)
        self.assertEqual(self.workers.started, [])
        self.assertEqual(run.waiting, [0])
        leader.set_evacuated(frozenset())
        await self.wait_until(lambda: self.workers.started)

    # Injects an outage of the store: a leader without reads goes on by what it knows,
    # also about evacuations.
    async def test_an_outage_holds_back_only_starts_in_the_evacuated_data_centre(self):
        await self.list_worker("w2", zone="z2")
        leader = self.start_leader(1)
        leader.rules = rules = FakeRules(self.clock)
        await self.wait_until(lambda: rules.reads and leader._surveyed)
        await self.wait_until(lambda: self.accept_runs(leader))
        leader.set_evacuated(frozenset({"z1"}))
        rules.is_answered = rules.is_reachable_ = False
        self.store.is_down = True
        await self.wait_until(lambda: leader.progress_writer.is_failing_)
        rules.current_as_of_ -= leader.start_gate.max_age_ms + 1
        leader.start_gate._read_required_since = rules.current_as_of_
        self.submit(leader, [step(count=3)])
        await self.wait_until(lambda: len(self.workers.started) == 3)
        self.assertEqual({start[0] for start in self.workers.started}, {"w2"})

    async def test_a_pause_between_plan_and_order_sends_nothing(self):
        leader = self.start_leader(1)
        leader.rules = rules = FakeRules(self.clock)
        await self.wait_until(lambda: rules.reads and leader._surveyed)
        rules.is_answered = False
        self.submit(leader, [step()])
        run = next(iter(leader.state.open_steps.values()))
        leader.orders.start_all([Placement(run, 0, leader.state.workers["w1"], "")])
        leader.start_gate._checked_at -= PAUSE_MS
        await self.wait_until(lambda: not run.active)
        await asyncio.sleep(0.1)
        self.assertEqual(self.workers.started, [])
        rules.is_answered = True
        await self.wait_until(lambda: self.workers.started)

    # Guards against half a gang that waits for members that may not start.
    async def test_a_gang_with_members_there_starts_whole_elsewhere(self):
        await self.list_worker("w2", zone="z2")
        leader = self.start_leader(1)
        workers = leader.state.workers
        await self.wait_until(lambda: "w2" in workers and workers["w2"].is_reachable)
        await self.wait_until(lambda: leader._surveyed)
        leader.set_evacuated(frozenset({"z1"}))
        self.submit(leader, [step(count=2, gang=True)])
        run = next(iter(leader.state.open_steps.values()))
        leader.orders.start_all(
            [
                Placement(run, 0, workers["w1"], ""),
                Placement(run, 1, workers["w2"], ""),
            ]
        )
        (first_run,) = {attempt.run for attempt in run.active.values()}
        await self.wait_until(
            lambda: [a.run > first_run for a in run.active.values()] == [True] * 2
        )
        self.assertEqual(len(workers["w2"].attempts), 2)
        self.assertNotIn("w1", {start[0] for start in self.workers.started})

    # Injects the failure of a leader during an evacuation.
    async def test_a_successor_starts_nothing_before_it_has_read(self):
        first = self.start_leader(1)
        first.set_evacuated(frozenset({"z1"}))
        await self.wait_until(lambda: first._surveyed)
        self.submit(first, [step()])
        await asyncio.sleep(0.1)
        first.step_down("test")
        successor = self.start_leader(2)
        successor.rules = rules = FakeRules(self.clock)
        rules.is_answered = False
        await self.wait_until(lambda: rules.reads and successor._surveyed)
        self.submit(successor, [step()], OTHER_JOB)
        await asyncio.sleep(0.1)
        self.assertEqual(self.workers.started, [])
        successor.set_evacuated(frozenset({"z1"}))
        rules.is_answered = True
        await self.wait_until(lambda: successor._start_refusal is None)
        await asyncio.sleep(0.1)
        self.assertEqual(self.workers.started, [])
        successor.set_evacuated(frozenset())
        await self.wait_until(lambda: len(self.workers.started) == 2)
        self.assertTrue(self.store.records(WORK_STREAM))
