import asyncio
import unittest
from unittest import mock

from pimentomill.dispatch.tests.samples import accepted, queue, step
from pimentomill.exceptions import LogUnavailableError, StateUnavailableError
from pimentomill.intake import Intake, Kept, _intake
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


class TestIntake(unittest.IsolatedAsyncioTestCase):
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
        age = mock.patch.object(_intake, "OUTAGE_AGE_MS", WAIT_MS)
        age.start()
        self.addCleanup(age.stop)
        await self.current()

    async def asyncTearDown(self):
        self.task.cancel()

    def unloaded(self):
        """Return an intake whose state has not been loaded yet."""
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

    async def current(self):
        deadline = Instant(self.follower.clock.now() + WAIT_MS)
        self.assertTrue(await self.follower.wait_current(deadline))

    async def submit(self, job=JOB):
        return await self.intake.submit(self.queue, "t", job, self.spec)

    async def state(self, team="t", job=JOB):
        return await self.intake.state(self.queue, team, job)

    async def test_a_job_that_was_kept_is_shown_at_once(self):
        self.assertIs(await self.submit(), Kept.KEPT)
        self.assertIs(await self.state(), JobState.QUEUED)

    async def test_the_leader_tells_of_an_unfinished_job(self):
        async def ask(job):
            return JobState.COMPLETED

        await self.submit()
        await self.state()
        self.intake.ask_leader = ask
        self.assertIs(await self.state(), JobState.COMPLETED)
        with self.assertRaises(StateUnavailableError):
            self.store.is_down = True
            await self.state(job="b" * 16)

    async def test_without_the_leader_s_word_the_stream_is_read(self):
        async def ask(job):
            return None

        self.intake.ask_leader = ask
        await self.submit()
        self.assertIs(await self.state(), JobState.QUEUED)

    async def test_a_repeat_is_the_same_job(self):
        await self.submit()
        await self.state()
        calls = len(self.store.records("work"))
        self.assertIs(await self.submit(), Kept.KEPT)
        self.assertEqual(len(self.store.records("work")), calls)

    async def test_refused_only_if_nothing_was_kept(self):
        self.store.is_down = True
        self.assertIs(await self.submit(), Kept.NOT_KEPT)
        self.assertEqual(self.store.records("work"), [])

    async def test_a_lost_answer_is_not_called_a_refusal(self):
        self.store.lose_answers = 1000
        with mock.patch.object(_intake, "APPEND_WAIT_MS", 30):
            self.assertIs(await self.submit(), Kept.UNKNOWN)

    async def test_a_repeat_settles_a_lost_answer(self):
        self.store.lose_answers = 1
        self.assertIs(await self.submit(), Kept.KEPT)

    async def test_an_unknown_job_is_denied_only_by_the_newest_state(self):
        self.assertIsNone(await self.state())
        self.store.is_down = True
        while self.follower.is_reachable_:
            await asyncio.sleep(0.005)
        with self.assertRaises(StateUnavailableError):
            await self.state()

    async def test_a_job_of_another_team_is_not_shown_or_cancelled(self):
        await self.submit()
        self.assertIsNone(await self.state(team="u"))
        kept = await self.intake.cancel(self.queue, "u", JOB)
        self.assertIs(kept, Kept.NO_SUCH_JOB)

    async def test_a_cancelled_job_stays_cancelled(self):
        await self.submit()
        self.assertIs(await self.intake.cancel(self.queue, "t", JOB), Kept.KEPT)
        await self.current()
        self.assertIs(await self.state(), JobState.CANCELLED)

    async def test_jobs_that_have_not_begun_are_counted_by_queue(self):
        await self.submit()
        await self.state()
        self.assertEqual(self.intake.waiting(self.queue), 1)
        self.assertEqual(self.intake.waiting(queue(name="other")), 0)

    # Guards against an entry that has just started and counts no job at all.
    async def test_jobs_are_not_counted_before_they_are_loaded(self):
        intake = self.unloaded()
        with self.assertRaises(StateUnavailableError):
            intake.waiting(self.queue)

    # Guards against a finished job shown as queued while its progress is loaded.
    async def test_a_job_that_is_loaded_in_part_is_shown_as_the_leader_tells(self):
        intake = self.unloaded()
        record = accepted(JOB, steps=[step()])
        intake.table.apply(accepted_key(JOB), encode_record(record))
        with self.assertRaises(StateUnavailableError):
            await intake.state(record.queue, record.team, JOB)

        async def ask(job):
            return JobState.RUNNING

        intake.ask_leader = ask
        shown = await intake.state(record.queue, record.team, JOB)
        self.assertIs(shown, JobState.RUNNING)

    # Guards against a job shown as cancelled that had been completed before.
    async def test_a_cancelled_job_that_is_loaded_in_part_is_not_shown(self):
        intake = self.unloaded()
        record = accepted(JOB, steps=[step()])
        intake.table.apply(accepted_key(JOB), encode_record(record))
        cancelled = encode_record(Cancelled(JOB, 1))
        intake.table.apply(cancelled_key(JOB), cancelled)
        with self.assertRaises(StateUnavailableError):
            await intake.state(record.queue, record.team, JOB)

    # Guards against hand-ins refused because "the store can't be reached" by an entry
    # whose appends are answered, only because it is still loading its state.
    async def test_a_hand_in_is_kept_while_the_state_is_loaded(self):
        async def nobody(records):
            raise LogUnavailableError("no other entry could append")

        async def never_whole(stream, after):
            await asyncio.sleep(WAIT_MS / 1000)

        intake = self.unloaded()
        intake.relay = nobody
        self.store.newest = never_whole
        loading = asyncio.ensure_future(intake.follower.run())
        self.addCleanup(loading.cancel)
        kept = await intake.submit(self.queue, "t", JOB, self.spec)
        self.assertIs(kept, Kept.KEPT)

    # Guards against counts without the jobs that were accepted during the load: pages
    # are no snapshot, and the records that follow the first one are not replayed yet.
    async def test_jobs_are_not_counted_before_the_replay_has_caught_up(self):
        newest = self.store.newest

        async def while_others_hand_in(stream, after):
            page = await newest(stream, after)
            await self.submit()
            return page

        held = asyncio.Event()

        async def held_back(stream, offset, wait_ms):
            held.set()
            await asyncio.sleep(WAIT_MS / 1000)

        await self.submit("b" * 16)
        await self.submit("c" * 16)
        for name in ("newest", "read"):
            self.addCleanup(setattr, self.store, name, getattr(self.store, name))
        self.store.page_size = 1
        self.store.newest = while_others_hand_in
        self.store.read = held_back
        intake = self.unloaded()
        follower = intake.follower
        follower.apply = lambda record: intake.table.apply(record.key, record.value)
        loading = asyncio.ensure_future(follower.run())
        self.addCleanup(loading.cancel)
        async with asyncio.timeout(WAIT_MS / 1000):
            await held.wait()
        with self.assertRaises(StateUnavailableError):
            intake.waiting(self.queue)

    async def test_unreadable_records_are_passed_over(self):
        await self.store.append("work", [KeyedRecord("j:" + JOB, b"\xc1")])
        await self.submit()
        self.assertIs(await self.state(), JobState.QUEUED)
