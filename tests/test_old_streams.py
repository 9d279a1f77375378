"""Streams of earlier builds fold into the expected state."""

import json
import unittest
from pathlib import Path

import msgspec

from pimentomill.cell import CellFold, CellState
from pimentomill.jobs import JobTable
from pimentomill.journal import decode_envelope
from pimentomill.replica import LEADER_KEY, ElectionTiming, LeaderWatch
from pimentomill.snapshots import SnapshotCollector, SnapshotPart
from pimentomill.utils import ManualClock, Resources
from pimentomill.work import WorkFold

DATA = json.loads((Path(__file__).parent / "data" / "records.json").read_text())


def fold_stream(stream_fold, name):
    """Fold a stream and return the refusal of each record."""
    records = [decode_envelope(bytes.fromhex(raw)) for raw in DATA["streams"][name]]
    applied = [stream_fold.apply(at, record) for at, record in enumerate(records)]
    return [item.refusal for item in applied]


class OldStreamsTest(unittest.TestCase):
    def test_stream_of_a_cell(self):
        cell_fold = CellFold()
        *refusals, last = fold_stream(cell_fold, "cell")
        state = cell_fold.state_
        self.assertEqual(refusals, [""] * 19)
        self.assertEqual(last, "team alpha exists already, with version 7")
        self.assertEqual(list(state.members), ["m1"])
        self.assertEqual(state.groups_of("m1"), ["g1"])
        self.assertEqual(sorted(state.teams), ["alpha", "gamma"])
        self.assertEqual(state.keys["k1"].digest, "ab" * 4)
        self.assertEqual(state.queues["open"].team, "alpha")
        self.assertTrue(state.workers["worker-1"].drained)
        left = Resources(1000, 256, 0)
        self.assertEqual(state.allotments["alpha"]["g1"], left)
        collector = SnapshotCollector(CellState)
        for sample in DATA["records"]["part of a snapshot"]["samples"].values():
            raw = bytes.fromhex(sample["hex"])
            collector.add(msgspec.msgpack.decode(raw, type=SnapshotPart))
        self.assertEqual(collector.latest_, state)

    def test_stream_of_a_group(self):
        work_fold = WorkFold()
        *refusals, last = fold_stream(work_fold, "group")
        jobs = work_fold.state_.jobs
        self.assertEqual((refusals, last), ([""] * 12, "epoch 5 is over"))
        states = [task.state.value for task in jobs["j1@g1"].tasks]
        self.assertEqual(states, ["ended", "assigned"])
        self.assertEqual(jobs["j1@g1"].tasks[0].attempt, 2)
        self.assertEqual(jobs["j1@g1"].tasks[1].worker, "worker-2")
        self.assertTrue(jobs["j2@g1"].cancelled)
        self.assertEqual(jobs["j3@g1"].moved_to, "g2")
        self.assertEqual(work_fold.state_.requests["r1@g1"].status, 201)

    def test_stream_of_jobs_and_leaders(self):
        table = JobTable()
        timing = ElectionTiming(1300, 700, 3000, 30)
        watch = LeaderWatch("n2-def", ManualClock(), timing)
        for key, raw in DATA["streams"]["keyed"]:
            table.apply(key, bytes.fromhex(raw))
            if key == LEADER_KEY:
                watch.apply(bytes.fromhex(raw))
        states = {job: table.state_of(job).value for job in table.entries_}
        expected = {"job-1": "running", "job-2": "cancelled", "job-3": "completed"}
        self.assertEqual(states, expected)
        entry = table.find("job-1")
        self.assertEqual(entry.accepted_.queue.placement_policy.valid_ms, 900)
        self.assertEqual(entry.progress_.steps[0].checkpoints, {1: "ck-1"})
        self.assertEqual((watch.epoch, watch.record_.node), (7, "n1"))
        self.assertFalse(watch.record_.resigned)
