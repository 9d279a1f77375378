import unittest
from unittest import mock

import msgspec

from pimentomill.replica import (
    ElectionTiming,
    LeaderRecord,
    LeaderWatch,
    LinkView,
    Rival,
    _leadership,
)
from pimentomill.utils import ManualClock

READ_PERIOD_MS = 200
"""Milliseconds between two reads of an entry that does not lead."""
SLOW_APPEND_MS = 600
"""Milliseconds that an append takes where the store is slow."""
MAX_EARLY_CLAIMS = 10
"""Claims that may be under way at a time."""


class TestLeaderWatch(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.watch = LeaderWatch("me", self.clock, ElectionTiming(1000, 500, 2500, 10))

    def apply_heartbeat(self, epoch, incarnation, resigned=False):
        record = LeaderRecord(epoch, "node", incarnation, resigned)
        self.watch.apply(msgspec.msgpack.encode(record))

    def should_claim(self):
        return self.watch.should_claim(self.clock.now())

    # Guards against a change of the leader whose line does not tell for how long the
    # one before was not heard.
    def test_a_change_of_the_leader_is_logged_with_the_silence_before(self):
        with mock.patch.object(_leadership._log, "info") as logged:
            self.apply_heartbeat(1, "a")
            self.clock.advance(873)
            self.apply_heartbeat(2, "b")
        silences = [call.kwargs["silent_ms"] for call in logged.call_args_list]
        self.assertEqual(silences, [None, 873])

    # Guards against a cell without a leader: no claim could follow such an epoch.
    def test_a_record_of_an_impossible_epoch_is_ignored(self):
        self.apply_heartbeat(3, "other")
        for epoch in (2**40, 2**63 - 2, 2**63 - 1, 2**63, 2**64 - 1):
            self.apply_heartbeat(epoch, "odd")
            self.assertEqual((self.watch.epoch, self.should_claim()), (3, False))
        self.apply_heartbeat(4, "next")
        self.assertEqual(self.watch.epoch, 4)

    # Guards against candidates that notice a silent leader late because all of them
    # read rarely, and against an entry that counts the leader as ahead of it.
    def test_a_few_of_the_largest_entries_are_likely_successors(self):
        self.apply_heartbeat(1, "leader")
        names = [f"life-{number}" for number in range(40)]
        likely = 0
        for name in names:
            watch = LeaderWatch(name, self.clock, self.watch.timing)
            watch.record_ = self.watch.record_
            others = [Rival(other, 1.0) for other in names if other != name]
            others.append(Rival("leader", 4.0))
            likely += watch.is_likely_successor(others)
            larger = [*others, Rival("large", 2.0)]
            self.assertFalse(watch.is_likely_successor(larger))
        self.assertEqual(likely, 3)

    def test_a_silent_leader_is_replaced(self):
        self.apply_heartbeat(1, "other")
        for _ in range(3):
            self.clock.advance(300)
            self.assertFalse(self.should_claim())
        self.clock.advance(200)
        self.assertTrue(self.should_claim())

    def test_silence_does_not_count_while_the_store_can_not_be_read(self):
        self.apply_heartbeat(1, "other")
        read_until = self.clock.now()
        self.clock.advance(5000)
        self.assertFalse(self.watch.should_claim(read_until))

    def test_after_an_outage_the_leader_has_time_for_a_heartbeat(self):
        self.apply_heartbeat(1, "other")
        self.assertFalse(self.should_claim())
        self.clock.advance(4000)
        self.assertFalse(self.should_claim())
        for _ in range(4):
            self.clock.advance(300)
            last = self.should_claim()
        self.assertTrue(last)

    def test_a_leader_that_resigned_is_replaced_at_once(self):
        self.apply_heartbeat(1, "other", resigned=True)
        self.clock.advance(80)
        self.assertTrue(self.should_claim())

    def test_a_heartbeat_of_an_earlier_epoch_is_ignored(self):
        self.apply_heartbeat(2, "other")
        self.apply_heartbeat(1, "me")
        self.assertFalse(self.watch.is_leader())
        self.assertEqual(self.watch.epoch, 2)

    def test_the_first_claim_of_an_epoch_wins(self):
        self.apply_heartbeat(2, "other")
        self.apply_heartbeat(2, "me")
        self.assertFalse(self.watch.is_leader())

    def test_an_undecodable_heartbeat_is_ignored(self):
        self.watch.apply(b"\xff\x00")
        self.assertIsNone(self.watch.record_)

    def test_a_leader_silent_in_the_store_and_on_the_link_is_replaced_sooner(self):
        self.apply_heartbeat(1, "other")
        self.watch.observe_link("other", LinkView.SILENT)
        self.clock.advance(450)
        self.assertFalse(self.should_claim())
        self.clock.advance(100)
        self.assertTrue(self.should_claim())

    def test_a_cut_link_alone_replaces_nobody(self):
        self.watch.observe_link("other", LinkView.SILENT)
        for _ in range(10):
            self.apply_heartbeat(1, "other")
            self.clock.advance(400)
            self.assertFalse(self.should_claim())

    def test_a_leader_that_is_heard_again_has_the_usual_time(self):
        self.apply_heartbeat(1, "other")
        self.watch.observe_link("other", LinkView.SILENT)
        self.watch.observe_link("other", LinkView.UNKNOWN)
        self.clock.advance(600)
        self.assertFalse(self.should_claim())

    def test_a_healthy_leader_may_send_slow_heartbeats(self):
        """Each append to a slow store takes over half a second."""
        self.apply_heartbeat(1, "other")
        self.watch.observe_link("other", LinkView.HEALTHY)
        for _ in range(4):
            self.clock.advance(600)
            self.assertFalse(self.should_claim())
        self.clock.advance(200)
        self.assertTrue(self.should_claim())

    def test_a_leader_that_can_not_write_is_replaced_sooner(self):
        """The store rejects the leader's instance and serves the others."""
        self.apply_heartbeat(1, "other")
        self.watch.observe_link("other", LinkView.NOT_WRITING)
        self.clock.advance(550)
        self.assertTrue(self.should_claim())

    def test_a_leader_that_is_heard_costs_no_look_at_the_other_entries(self):
        """Each of 97 entries checks the leader several times a second."""

        def rivals():
            self.fail("the rivals have been looked at")
            yield

        self.apply_heartbeat(1, "other")
        self.watch.observe_link("other", LinkView.HEALTHY)
        self.clock.advance(900)
        self.assertFalse(self.watch.should_claim(self.clock.now(), rivals()))

    def test_a_check_is_due_at_once_when_the_leader_may_be_lost(self):
        signs = {
            "ended": lambda: self.watch.observe_end("other"),
            "silent": lambda: self.watch.observe_link("other", LinkView.SILENT),
            "resigned": lambda: self.apply_heartbeat(1, "other", resigned=True),
        }
        for name, observe in signs.items():
            with self.subTest(name):
                self.setUp()
                self.apply_heartbeat(1, "other")
                self.watch.observe_link("other", LinkView.HEALTHY)
                self.watch.changed.clear()
                self.apply_heartbeat(1, "other")
                self.assertFalse(self.watch.changed.is_set())
                observe()
                self.assertTrue(self.watch.changed.is_set())
                self.assertTrue(self.watch.is_suspected(self.clock.now()))

    def test_only_live_entries_take_precedence(self):
        self.apply_heartbeat(1, "other", resigned=True)
        leader = Rival("other", 1.0)
        ahead = [Rival(f"life-{number}", 1.0) for number in range(40)]
        self.assertTrue(self.watch.should_claim(self.clock.now(), [leader]))
        self.assertFalse(self.watch.should_claim(self.clock.now(), [leader, *ahead]))
        self.clock.advance(50)
        self.assertTrue(self.watch.should_claim(self.clock.now(), [leader, *ahead]))

    def test_an_entry_with_more_cores_goes_first(self):
        """Instances have half a core to two cores; the leader's process has ended."""
        self.apply_heartbeat(1, "other")
        self.watch.observe_end("other")
        alike, larger = Rival("b", 1.2), Rival("c", 2.0)
        self.assertTrue(self.watch.should_claim(self.clock.now(), [alike]))
        self.assertFalse(self.watch.should_claim(self.clock.now(), [alike, larger]))
        self.clock.advance(120)
        self.assertTrue(self.watch.should_claim(self.clock.now(), [alike, larger]))

    def test_at_the_first_start_an_entry_waits_by_its_own_size(self):
        small = LeaderWatch("me", self.clock, self.watch.timing, cores=0.5)
        large = LeaderWatch("me", self.clock, self.watch.timing, cores=2.0)
        self.assertTrue(large.should_claim(self.clock.now()))
        self.assertFalse(small.should_claim(self.clock.now()))
        self.clock.advance(113)
        self.assertTrue(small.should_claim(self.clock.now()))

    # Guards against a leader with a fifth of the CPU capacity and a link of 5 Mbit/s
    # while an entry with more of both is alive: jobs wait twice as long under it.
    def test_an_entry_with_more_cores_goes_first_after_a_silence(self):
        """Six large and 25 small entries read the stream every 200 ms."""
        entries = [Rival(f"large-{number}", 2.15) for number in range(6)]
        entries += [Rival(f"small-{number}", 0.52) for number in range(25)]
        for epoch in range(1, 12):
            waits = {
                entry: self.claim_wait_ms(entry, entries, epoch) for entry in entries
            }
            first_large = min(waits[entry] for entry in entries[:6])
            first_small = min(waits[entry] for entry in entries[6:])
            self.assertGreaterEqual(first_small - first_large, READ_PERIOD_MS, epoch)

    # Guards against claims of all entries at once, which held back the first one for
    # 2.3 s in a slow store with 97 entries.
    def test_few_of_many_entries_claim_within_the_time_of_a_slow_append(self):
        entries = [Rival(f"life-{number}", 1.0) for number in range(97)]
        for epoch in range(1, 4):
            for has_ended in (False, True):
                claims = 0
                for entry in entries:
                    clock, watch = self.lose_leader(entry, epoch, has_ended)
                    rivals = [other for other in entries if other is not entry]
                    for _ in range(SLOW_APPEND_MS // 100):
                        clock.advance(100)
                        has_claimed = watch.should_claim(clock.now(), rivals)
                    claims += has_claimed
                self.assertGreater(claims, 0)
                self.assertLessEqual(claims, MAX_EARLY_CLAIMS)

    def test_the_claims_of_a_small_cell_stay_close_together(self):
        """All entries but one may be lost with the leader."""
        entries = [Rival(f"life-{number}", 1.0) for number in range(6)]
        for epoch in range(1, 20):
            waits = [self.claim_wait_ms(entry, entries, epoch) for entry in entries]
            self.assertLessEqual(max(waits) - min(waits), 50)

    def lose_leader(self, entry, epoch, has_ended=False):
        """Return the clock and the watch of an entry when the first claim is due."""
        clock = ManualClock(1000)
        watch = LeaderWatch(entry.incarnation, clock, self.watch.timing, entry.cores)
        record = LeaderRecord(epoch, "node", "gone", False)
        watch.apply(msgspec.msgpack.encode(record))
        if has_ended:
            watch.observe_end("gone")
        else:
            for _ in range(9):
                clock.advance(self.watch.timing.silence_ms // 10)
                watch.should_claim(clock.now())
        return clock, watch

    def claim_wait_ms(self, entry, entries, epoch):
        """Return the silence after which an entry claims, in steps of 10 ms."""
        clock, watch = self.lose_leader(entry, epoch)
        rivals = [other for other in entries if other is not entry]
        while not watch.should_claim(clock.now(), rivals):
            clock.advance(10)
        return clock.now() - watch.seen_at_
