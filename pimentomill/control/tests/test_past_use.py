import asyncio
import unittest
from unittest import mock

from pimentomill.catalog import Team
from pimentomill.control import Features, _past_use
from pimentomill.control._leader_state import LeaderState
from pimentomill.control._past_use import RECORD_INTERVAL_MS, UsageTracker
from pimentomill.control._progress_writer import ProgressWriter
from pimentomill.control.tests.test_leader import JOB, WAIT_S, LeaderCase
from pimentomill.dispatch import order_steps
from pimentomill.dispatch.tests.samples import first_step, info, step
from pimentomill.exceptions import FencedError
from pimentomill.usage import USAGE_KEY, UsageLedger, decode_usage
from pimentomill.utils import ManualClock, Resources

ENABLED = Features(past_use_half_life_s=3600.0)


class FakeWriter:
    """Keeps the records that a progress writer would append."""

    replace_extra_record = ProgressWriter.replace_extra_record

    def __init__(self):
        self.extra_records = []


class TestUsageTracker(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.state = LeaderState(1, self.clock, usage=UsageLedger(3600))
        self.state.usage.teams = {"a": Team("a"), "b": Team("b")}
        self.state.sync_worker(info("w1", cpu=10_000))
        self.writer = FakeWriter()
        self.tracker = UsageTracker(self.state, self.writer, self.clock)
        self.tracker.order([], self.clock.now())
        self.state.usage.add("a", Resources(5000), self.clock.now())
        self.steps = [
            first_step("1" * 16, [step()], team="a"),
            first_step("2" * 16, [step()], team="b", seen_at=1),
        ]

    def order(self, after_ms):
        self.clock.advance(after_ms)
        found = self.tracker.order(self.steps, self.clock.now())
        return [item.job.accepted.team for item in found]

    def metrics(self):
        return self.state.metrics.render().decode()

    def test_a_change_of_the_first_team_is_logged_and_counted(self):
        with mock.patch.object(_past_use._log, "info") as logged:
            self.assertEqual(self.order(1000), ["b", "a"])
            self.assertEqual(self.order(1000), ["b", "a"])
        fields = logged.call_args.kwargs
        self.assertEqual(logged.call_count, 1)
        self.assertEqual(fields["first"]["team"], "b")
        self.assertEqual(fields["instead_of"]["current_share"], 0.5)
        self.assertIn('past_use_changes_total{pool="planting"} 2.0', self.metrics())
        self.assertIn('team_current_share{team="a"} 0.5', self.metrics())
        self.tracker.close()
        self.assertNotIn('team="a"', self.metrics())

    # Guards against records that pile up while the store is down.
    def test_a_few_records_a_minute_replace_one_another(self):
        written = set()
        for _ in range(60):
            self.order(1000)
            self.assertLessEqual(len(self.writer.extra_records), 1)
            written.update(record.value for record in self.writer.extra_records)
        self.assertEqual(len(written), 60_000 // RECORD_INTERVAL_MS)

    def test_an_undecodable_record_loses_history_only(self):
        self.tracker.restore(b"\xc1")
        self.assertEqual(self.order(1000), ["b", "a"])

    def test_without_past_use_nothing_changes(self):
        state = LeaderState(1, self.clock)
        tracker = UsageTracker(state, self.writer, self.clock)
        tracker.restore(b"\xc1")
        tracker.add_record()
        self.clock.advance(RECORD_INTERVAL_MS)
        now = self.clock.now()
        self.assertEqual(tracker.order(self.steps, now), order_steps(self.steps, now))
        self.assertEqual(self.writer.extra_records, [])
        self.assertNotIn("team_", self.metrics())


class TestLeaderChange(LeaderCase):
    def start(self, epoch, **fields):
        return self.start_leader(epoch, features=ENABLED, teams=[Team("t")], **fields)

    def recorded_s(self):
        """Return the recorded sum of the team, None before the first record."""
        for record in reversed(self.store.records("work")):
            if record.key == USAGE_KEY:
                (usage,) = decode_usage(record.value).teams
                return usage.past_s, record.value
        return None

    async def run_task(self, leader, duration_s=0.3):
        self.submit(leader, [step(cpu=16_000)])
        await self.wait_until(lambda: self.workers.started)
        await asyncio.sleep(duration_s)

    # Guards against usage lost at a planned stop, and against a run that both leaders
    # count for the same time.
    async def test_a_successor_continues_from_the_recorded_sum(self):
        first = self.start(1)
        await self.wait_until(lambda: first.state.usage.capacity.cpu_milli == 32_000)
        started_at = self.clock.now()
        await self.run_task(first)
        await first.resign()
        await asyncio.wait_for(self.tasks[0], WAIT_S)
        resigned_at = self.clock.now()
        past_s, value = self.recorded_s()
        self.assertGreaterEqual(past_s, 0.14)
        self.assertLessEqual(past_s, 0.5 * (resigned_at - started_at) / 1000)

        await asyncio.sleep(0.2)
        second = self.start(2, fleet=self.infos.values())
        second.usage.restore(value)
        restored_at = self.clock.now()
        self.assertAlmostEqual(
            second.state.usage.past_s("t", restored_at), past_s, places=3
        )
        await self.wait_until(lambda: second.state.usage.current_share("t") == 0.5)
        await asyncio.sleep(0.2)
        now = self.clock.now()
        added_s = second.state.usage.past_s("t", now) - past_s
        self.assertGreater(added_s, 0.09)
        self.assertLessEqual(added_s, 0.5 * (now - restored_at) / 1000)
        self.assertEqual(len(self.workers.started), 1)

    # Guards against a deposed leader that overwrites its successor's record.
    async def test_the_record_of_a_deposed_leader_is_rejected(self):
        first = self.start(1)
        await self.run_task(first, 0.1)
        second = self.start(2, fleet=self.infos.values())
        await self.wait_until(lambda: second.state.usage.current_share("t"))
        second.usage.add_record()
        await second.progress_writer.flush()
        before = self.recorded_s()
        first.usage.add_record()
        with self.assertRaises(FencedError):
            await first.progress_writer.flush()
        self.assertEqual(self.recorded_s(), before)

    # Guards against a store outage that stops the accounting or the service.
    async def test_accounting_continues_while_the_store_is_down(self):
        leader = self.start(1)
        await self.wait_until(lambda: leader.state.usage.capacity.cpu_milli)
        await self.wait_until(lambda: self.accept_runs(leader))
        self.store.is_down = True
        await self.run_task(leader, 0.1)
        leader.usage.add_record()
        self.store.is_down = False
        await self.wait_until(self.recorded_s)
        self.assertGreater(self.recorded_s()[0], 0.0)
        self.assertEqual(leader.state.jobs[JOB].accepted.team, "t")
