import asyncio
import unittest
from unittest import mock

from pimentomill.dispatch.tests.samples import accepted, queue, step
from pimentomill.exceptions import LogUnavailableError, StateUnavailableError
from pimentomill.intake import ChangeOutcome, Intake, _intake
from pimentomill.jobs import (
    Cancelled,
    JobState,
    JobTable,
    KeyedRecord,
    accepted_key,
    cancelled_key,
    encode_record,
)
from pimentomill.replica import Follower, FollowerTiming
from pimentomill.standins import MemoryStore
from pimentomill.utils import Instant, SystemClock

JOB = "a" * 16
WAIT_MS = 20_000


class IntakeCase(unittest.IsolatedAsyncioTestCase):
    """Run an intake on an in-memory store."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        clock = SystemClock()
        table = JobTable()
        self.follower = Follower(
            self.store,
            "work",
            lambda record: table.apply(record.key, record.value),
            lambda: None,
            clock,
            FollowerTiming(wait_ms=30, pause_ms=1, retry_ms=5),
        )
        self.intake = Intake(self.store, "work", table, self.follower, clock)
        self.queue = queue()
        self.spec = accepted(steps=[step()]).spec
        self.task = asyncio.ensure_future(self.follower.run())
        patcher = mock.patch.object(_intake, "STORE_OUTAGE_AGE_MS", WAIT_MS)
        patcher.start()
        self.addCleanup(patcher.stop)
        await self.wait_current()

    async def asyncTearDown(self):
        self.task.cancel()

    def make_unloaded_intake(self):
        """Return an intake whose follower has not loaded the state."""
        table = JobTable()
        follower = Follower(
            self.store,
            "work",
            lambda record: None,
            lambda: None,
            SystemClock(),
            FollowerTiming(wait_ms=30, pause_ms=1),
        )
        return Intake(self.store, "work", table, follower, follower.clock)

    async def wait_current(self):
        deadline = Instant(self.follower.clock.now() + WAIT_MS)
        self.assertTrue(await self.follower.wait_current(deadline))

    async def submit(self, job=JOB):
        return await self.intake.submit(self.queue, "t", job, self.spec)

    async def state(self, team="t", job=JOB):
        return await self.intake.state(self.queue, team, job)


class TestIntake(IntakeCase):
    async def test_durable_job_is_shown_immediately(self):
        self.assertIs(await self.submit(), ChangeOutcome.DURABLE)
        self.assertIs(await self.state(), JobState.QUEUED)

    async def test_leader_reports_state_of_unfinished_job(self):
        async def query_leader(job):
            return JobState.COMPLETED

        await self.submit()
        await self.state()
        self.intake.query_leader = query_leader
        self.assertIs(await self.state(), JobState.COMPLETED)
        with self.assertRaises(StateUnavailableError):
            self.store.is_down = True
            await self.state(job="b" * 16)

    async def test_stream_is_read_if_leader_has_no_answer(self):
        async def query_leader(job):
            return None

        self.intake.query_leader = query_leader
        await self.submit()
        self.assertIs(await self.state(), JobState.QUEUED)

    async def test_repeated_submission_is_same_job(self):
        await self.submit()
        await self.state()
        record_count = len(self.store.records("work"))
        self.assertIs(await self.submit(), ChangeOutcome.DURABLE)
        self.assertEqual(len(self.store.records("work")), record_count)

    async def test_rejected_only_if_nothing_was_stored(self):
        self.store.is_down = True
        self.assertIs(await self.submit(), ChangeOutcome.REJECTED)
        self.assertEqual(self.store.records("work"), [])

    async def test_lost_answer_is_not_reported_as_rejection(self):
        self.store.lose_answers = 1000
        with mock.patch.object(_intake, "APPEND_RETRY_WINDOW_MS", 30):
            self.assertIs(await self.submit(), ChangeOutcome.UNKNOWN)

    async def test_retry_resolves_lost_answer(self):
        self.store.lose_answers = 1
        self.assertIs(await self.submit(), ChangeOutcome.DURABLE)

    async def test_job_is_reported_missing_only_by_newest_state(self):
        self.assertIsNone(await self.state())
        self.store.is_down = True
        while self.follower.is_reachable_:
            await asyncio.sleep(0.005)
        with self.assertRaises(StateUnavailableError):
            await self.state()

    async def test_job_of_another_team_is_not_shown_or_cancelled(self):
        await self.submit()
        self.assertIsNone(await self.state(team="u"))
        outcome = await self.intake.cancel(self.queue, "u", JOB)
        self.assertIs(outcome, ChangeOutcome.NO_SUCH_JOB)

    async def test_cancelled_job_stays_cancelled(self):
        await self.submit()
        self.assertIs(
            await self.intake.cancel(self.queue, "t", JOB), ChangeOutcome.DURABLE
        )
        await self.wait_current()
        self.assertIs(await self.state(), JobState.CANCELLED)

    async def cancel(self, team="t", job=JOB):
        return await self.intake.cancel(self.queue, team, job)

    # Guards against a job that runs although its cancelling was answered with 410, as
    # its submission was on its way through an entry that stood still.
    async def test_a_job_cancelled_before_its_acceptance_never_runs(self):
        self.assertIs(await self.cancel(), ChangeOutcome.NO_SUCH_JOB)
        self.assertIsNone(await self.state())
        record = accepted(JOB, [step()], team="t")
        late = KeyedRecord(accepted_key(JOB), encode_record(record))
        await self.store.append("work", [late])
        await self.wait_current()
        self.assertIs(await self.state(), JobState.CANCELLED)

    # Guards against a caller who is told that a job was accepted that never runs.
    async def test_a_submission_after_the_cancelling_is_not_accepted(self):
        await self.cancel()
        await self.wait_current()
        self.assertIs(await self.submit(), ChangeOutcome.WITHDRAWN)
        self.assertEqual(len(self.store.records("work")), 1)

    # Guards against a key of one team that cancels jobs of another one by their names.
    async def test_a_cancelling_by_another_team_does_not_keep_a_job_from_running(self):
        self.assertIs(await self.cancel("u"), ChangeOutcome.NO_SUCH_JOB)
        await self.wait_current()
        self.assertIs(await self.submit(), ChangeOutcome.DURABLE)
        self.assertIs(await self.state(), JobState.QUEUED)
        self.assertIs(await self.cancel("u"), ChangeOutcome.NO_SUCH_JOB)
        await self.wait_current()
        self.assertIs(await self.state(), JobState.QUEUED)

    # Guards against 410 for a cancelling that could not be stored.
    async def test_a_cancelling_that_is_not_stored_is_not_acknowledged(self):
        append = self.store.append

        async def reject(stream, records, writer=None):
            raise LogUnavailableError("the store rejects appends")

        self.store.append = reject
        self.assertIs(await self.cancel(), ChangeOutcome.REJECTED)
        self.store.append = append
        self.store.lose_answers = 1000
        with mock.patch.object(_intake, "APPEND_RETRY_WINDOW_MS", 30):
            self.assertIs(await self.cancel(job="b" * 16), ChangeOutcome.UNKNOWN)

    # Guards against a flood of cancellations that fills the store, or keeps those of
    # other teams from being stored.
    async def test_cancellations_of_unknown_jobs_are_bounded_for_each_team(self):
        with mock.patch.object(_intake, "MAX_WITHDRAWN_JOBS", 2):
            for job in ("b" * 16, "b" * 16, "c" * 16):
                await self.cancel(job=job)
                await self.wait_current()
            self.assertEqual(len(self.store.records("work")), 2)
            with self.assertRaises(StateUnavailableError):
                await self.cancel()
            self.assertIs(await self.cancel("u"), ChangeOutcome.NO_SUCH_JOB)
        self.assertEqual(len(self.store.records("work")), 3)

    async def test_queued_jobs_are_counted_by_queue(self):
        await self.submit()
        await self.state()
        self.assertEqual(self.intake.count_queued(self.queue), 1)
        self.assertEqual(self.intake.count_queued(queue(name="other")), 0)

    # Guards against an entry that reports a count of zero before its initial load.
    async def test_jobs_are_not_counted_before_load(self):
        intake = self.make_unloaded_intake()
        with self.assertRaises(StateUnavailableError):
            intake.count_queued(self.queue)

    # Guards against a finished job that is shown as queued because its progress record
    # has not been loaded.
    async def test_partially_loaded_job_is_shown_as_leader_reports(self):
        intake = self.make_unloaded_intake()
        record = accepted(JOB, steps=[step()])
        intake.table.apply(accepted_key(JOB), encode_record(record))
        with self.assertRaises(StateUnavailableError):
            await intake.state(record.queue, record.team, JOB)

        async def query_leader(job):
            return JobState.RUNNING

        intake.query_leader = query_leader
        state = await intake.state(record.queue, record.team, JOB)
        self.assertIs(state, JobState.RUNNING)

    # Guards against a job that is shown as cancelled although it had completed before
    # the cancellation.
    async def test_partially_loaded_cancelled_job_is_not_shown(self):
        intake = self.make_unloaded_intake()
        record = accepted(JOB, steps=[step()])
        intake.table.apply(accepted_key(JOB), encode_record(record))
        cancelled = encode_record(Cancelled(JOB, 1))
        intake.table.apply(cancelled_key(JOB), cancelled)
        with self.assertRaises(StateUnavailableError):
            await intake.state(record.queue, record.team, JOB)

    # Guards against an entry that rejects submissions with "the store can't be reached"
    # during its initial load, although the store acknowledges its appends.
    async def test_submission_is_accepted_while_state_is_loaded(self):
        async def reject_relay(records):
            raise LogUnavailableError("no other entry could append")

        async def block_newest(stream, after):
            await asyncio.sleep(WAIT_MS / 1000)

        intake = self.make_unloaded_intake()
        intake.relay = reject_relay
        self.store.newest = block_newest
        loading = asyncio.ensure_future(intake.follower.run())
        self.addCleanup(loading.cancel)
        outcome = await intake.submit(self.queue, "t", JOB, self.spec)
        self.assertIs(outcome, ChangeOutcome.DURABLE)

    # Guards against counts that miss jobs accepted during the initial load: the pages
    # do not form a snapshot, and the records that follow the first page have not been
    # replayed.
    async def test_jobs_are_not_counted_before_replay_has_caught_up(self):
        newest = self.store.newest

        async def newest_during_submission(stream, after):
            page = await newest(stream, after)
            await self.submit()
            return page

        is_read_blocked = asyncio.Event()

        async def block_read(stream, offset, wait_ms):
            is_read_blocked.set()
            await asyncio.sleep(WAIT_MS / 1000)

        await self.submit("b" * 16)
        await self.submit("c" * 16)
        for name in ("newest", "read"):
            self.addCleanup(setattr, self.store, name, getattr(self.store, name))
        self.store.page_size = 1
        self.store.newest = newest_during_submission
        self.store.read = block_read
        intake = self.make_unloaded_intake()
        follower = intake.follower
        follower.apply = lambda record: intake.table.apply(record.key, record.value)
        loading = asyncio.ensure_future(follower.run())
        self.addCleanup(loading.cancel)
        async with asyncio.timeout(WAIT_MS / 1000):
            await is_read_blocked.wait()
        with self.assertRaises(StateUnavailableError):
            intake.count_queued(self.queue)

    async def test_undecodable_records_are_skipped(self):
        await self.store.append("work", [KeyedRecord("j:" + JOB, b"\xc1")])
        await self.submit()
        self.assertIs(await self.state(), JobState.QUEUED)
