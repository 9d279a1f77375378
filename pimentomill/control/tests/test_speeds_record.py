import asyncio
import time
from unittest import mock

from pimentomill.control import SPEEDS_KEY, Features, _speeds_record
from pimentomill.control._speeds_record import SpeedsRecorder
from pimentomill.dispatch.tests.samples import first_step, info, step
from pimentomill.fleet import EndKind
from pimentomill.jobs import KeyedRecord
from pimentomill.speeds import SpeedModel
from pimentomill.standins import MemoryWorkers

from .test_leader import JOB, LeaderCase

ON = Features(worker_speeds=True)


class TickingWorkers(MemoryWorkers):
    """Workers whose clock runs, so that their runs have durations."""

    @property
    def clock_ms(self):
        return round(time.monotonic() * 1000)

    @clock_ms.setter
    def clock_ms(self, value):
        pass


class TestSpeedsRecord(LeaderCase):
    """A leader ends while it learns the speeds of its workers."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.workers = TickingWorkers()
        for name in ("w1", "w2"):
            await self.list_worker(name)

    def stored(self):
        return [
            record.value
            for record in self.store.records("work")
            if record.key == SPEEDS_KEY
        ]

    async def run_tasks(self, leader, job=JOB, count=4):
        """Run a job to its end, also if runs that stood still were started again."""
        self.submit(leader, [step(count=count, estimate_ms=50)], job)
        await self.wait_until(lambda: self.workers.started)
        while job in leader.state.jobs:
            await asyncio.sleep(0.01)
            for name, worker in self.workers.workers.items():
                for task in list(worker.running):
                    self.workers.end(name, task, EndKind.DONE)

    async def test_a_successor_reads_what_the_leader_has_learned(self):
        """Guards against a takeover that forgets all speeds."""
        with mock.patch.object(_speeds_record, "RECORD_INTERVAL_MS", 50):
            leader = self.start_leader(1, features=ON)
            await self.run_tasks(leader)
            await self.wait_until(self.stored)
            await self.wait_until(
                lambda: (
                    leader._speeds_recorder._recorded_runs
                    == leader.state.stragglers.model.runs_
                )
            )
            await leader.progress_writer.flush()
            leader.step_down("test")
        newest = self.stored()[-1]
        successor = self.start_leader(2, features=ON)
        successor.restore_speeds(newest)
        await self.wait_until(lambda: successor._surveyed)
        learned, restored = (
            each.state.stragglers.model for each in (leader, successor)
        )
        for name in ("w1", "w2"):
            ratio = restored.factor(name) / learned.factor(name)
            self.assertAlmostEqual(ratio, 1.0, delta=0.05)

    async def test_a_record_lost_with_the_store_costs_no_service(self):
        """Guards against starts that wait for the record while the store is down."""
        with mock.patch.object(_speeds_record, "RECORD_INTERVAL_MS", 20):
            leader = self.start_leader(1, features=ON)
            await self.run_tasks(leader)
            self.store.is_down = True
            started = len(self.workers.started)
            self.submit(leader, [step(estimate_ms=50)], "b" * 16)
            await self.wait_until(lambda: len(self.workers.started) > started)
            self.store.is_down = False
            await self.wait_until(self.stored)

    async def test_nothing_is_recorded_without_the_feature(self):
        """Guards against records of deployments that do not learn speeds."""
        with mock.patch.object(_speeds_record, "RECORD_INTERVAL_MS", 0):
            leader = self.start_leader(1)
            leader.restore_speeds(b"unreadable")
            await self.run_tasks(leader)
            await leader.progress_writer.flush()
        self.assertEqual(self.stored(), [])

    async def test_a_record_is_due_at_most_once_in_five_seconds(self):
        """Guards against a record with each finished run, and without any."""
        model = SpeedModel(1.0)
        recorder = SpeedsRecorder(model, 1000)
        recorder.restore(b"unreadable")
        run_step = first_step(steps=[step(estimate_ms=100)])
        written = []
        for now in range(1000, 16_001, 100):
            if now <= 10_000:
                model.record_end(run_step, info("w1"), 100)
            record = recorder.due_record(now)
            if record is not None:
                self.assertIsInstance(record, KeyedRecord)
                written.append(now)
        self.assertEqual(written, [6000, 11_000])
