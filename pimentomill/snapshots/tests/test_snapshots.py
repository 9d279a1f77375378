import random
import unittest

import msgspec

from pimentomill.cell import CellState
from pimentomill.journal import AppendState, PendingAppend, encode_envelope
from pimentomill.snapshots import (
    SnapshotCollector,
    SnapshotSchedule,
    SnapshotWriter,
    load_latest,
    snapshot_stream,
    split_snapshot,
)
from pimentomill.standins import LogModel


class State(msgspec.Struct):
    values: list[int]


def split_random_state(seed, offset, id, size=500):
    rng = random.Random(seed)
    state = State([rng.randrange(10**9) for _ in range(size)])
    return state, split_snapshot(state, offset, id, max_part_bytes=200)


class CollectorTest(unittest.TestCase):
    def setUp(self):
        self.collector = SnapshotCollector(State)

    def add(self, parts):
        for part in parts:
            self.collector.add(part)

    def test_complete_snapshot_is_loaded(self):
        state, parts = split_random_state(1, 10, "a")
        self.assertGreater(len(parts), 3)
        self.add(parts)
        self.assertEqual(self.collector.latest_, state)

    def test_incomplete_snapshot_is_never_loaded(self):
        _, parts = split_random_state(1, 10, "a")
        for missing in range(len(parts)):
            self.add(parts[:missing] + parts[missing + 1 :])
            self.assertIsNone(SnapshotCollector(State).latest_)
        collector = SnapshotCollector(State)
        for part in parts[:-1]:
            collector.add(part)
        self.assertIsNone(collector.latest_)

    def test_incomplete_newer_snapshot_does_not_replace_the_older_one(self):
        old, first = split_random_state(1, 10, "a")
        _, second = split_random_state(2, 20, "b")
        self.add(first)
        self.add(second[:-1])
        self.assertEqual(self.collector.latest_, old)

    def test_interleaved_snapshots_of_two_writers_do_not_mix(self):
        _, first = split_random_state(1, 10, "a")
        newer, second = split_random_state(2, 20, "b")
        mixed = [part for pair in zip(first, second, strict=False) for part in pair]
        self.add(mixed + first + second)
        self.assertEqual(self.collector.latest_, newer)

    def test_late_copy_of_an_older_snapshot_does_not_replace_a_newer_one(self):
        _, first = split_random_state(1, 10, "a")
        newer, second = split_random_state(2, 20, "b")
        self.add(second)
        self.add(first)
        self.assertEqual(self.collector.latest_, newer)

    def test_corrupt_part_is_detected(self):
        _, parts = split_random_state(1, 10, "a")
        corrupt = msgspec.structs.replace(parts[1], data=b"x" * len(parts[1].data))
        self.add([parts[0], corrupt, *parts[2:]])
        self.assertIsNone(self.collector.latest_)


class LoaderTest(unittest.TestCase):
    def test_latest_complete_retained_snapshot_is_loaded(self):
        log = LogModel(retained_records=30)
        stream = snapshot_stream("s")
        seq = 0
        for seed in range(1, 6):
            state, parts = split_random_state(seed, seed * 10, f"s{seed}")
            for part in parts:
                seq += 1
                log.append(stream, [encode_envelope("w", seq, part)])
        found = load_latest(lambda s, at: log.slice(s, at, 7), "s", State)
        self.assertEqual(found, state)

    def test_nothing_is_loaded_from_an_empty_log(self):
        log = LogModel(retained_records=30)
        self.assertIsNone(load_latest(lambda s, at: log.slice(s, at, 7), "s", State))


class ScheduleTest(unittest.TestCase):
    def test_due_by_records_or_time_but_only_with_new_records(self):
        schedule = SnapshotSchedule(every_records=100, every_ms=1_000)
        self.assertFalse(schedule.is_due(50, 0, 0))
        self.assertTrue(schedule.is_due(100, 0, 0))
        self.assertTrue(schedule.is_due(50, 0, 1_000))
        schedule.record_snapshot(50, 1_000)
        self.assertFalse(schedule.is_due(50, 0, 5_000))
        self.assertTrue(schedule.is_due(51, 0, 5_000))

    def test_next_rank_is_due_after_twice_the_records(self):
        schedule = SnapshotSchedule(every_records=100, every_ms=1_000)
        self.assertFalse(schedule.is_due(199, 1, 0))
        self.assertTrue(schedule.is_due(200, 1, 0))


class WriterTest(unittest.TestCase):
    def setUp(self):
        self.items = []
        schedule = SnapshotSchedule(every_records=10, every_ms=1_000)
        self.writer = SnapshotWriter("s", schedule, self.submit)

    def submit(self, stream, part):
        self.items.append(PendingAppend(stream, part, 0, 100))
        return self.items[-1]

    def settle(self, state):
        for item in self.items:
            item.state = state

    def run_at(self, offset):
        self.writer.write_if_due(CellState(next_offset=offset), "w", 0, 0)
        return len(self.items)

    def test_snapshot_with_an_unknown_append_is_written_again(self):
        self.assertEqual(self.run_at(10), 1)
        self.assertEqual(self.run_at(11), 1)
        self.settle(AppendState.UNKNOWN)
        self.assertEqual(self.run_at(12), 2)

    def test_durable_snapshot_is_not_written_again(self):
        self.run_at(10)
        self.settle(AppendState.DURABLE)
        self.assertEqual(self.run_at(19), 1)
        self.assertEqual(self.run_at(20), 2)
