"""A job submitted at one entry runs once and is reported by another."""

import unittest

import msgspec

from scripts.cell import CellShape, LocalCell


class EndToEndTest(unittest.TestCase):
    def setUp(self):
        self.cell = LocalCell(CellShape())
        self.addCleanup(self.cell.close)
        self.cell.start()

    def test_job_submitted_at_one_entry_is_visible_at_another(self):
        cell = self.cell
        cell.execute("create team planting share 20 limit cpu 64 memory 128GB")
        key = cell.execute("give key to planting")["data"]["key"]
        submission = {
            "spec": {
                "kind": "batch",
                "resources": [1000, 100, 0],
                "command": ["sleep", "0.2"],
            }
        }
        first = cell.submit(key, submission, "row-plan-1", entry=0)
        self.assertEqual(first.status, 202, first.data)
        job_id = msgspec.json.decode(first.data)["id"]
        repeat = cell.submit(key, submission, "row-plan-1", entry=1)
        self.assertEqual(msgspec.json.decode(repeat.data)["id"], job_id)
        job = cell.wait_for_state(key, job_id, "succeeded", entry=1)
        self.assertEqual(job["tasks"][0]["attempt"], 1)
        self.assertIn(job["tasks"][0]["worker"], cell.explain(job_id, entry=1))
        self.assertEqual(cell.stop()["entry-1"], 0)
