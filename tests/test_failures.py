"""Failures of real daemons: kills, freezes, outages of the platform, races."""

import signal
import threading
import time
import unittest

import msgspec

from scripts.cell import CellShape, SmallCell

LEASES = {
    "ownership_ms": 3_000,
    "renew_ms": 700,
    "margin_ms": 300,
    "task_ms": 20_000,
    "command_ms": 1_000,
    "report_ms": 1_000,
}
SHAPE = CellShape(entries=3, workers=4, backends=0, groups=2, leases=LEASES)
TAKEOVER_S = 25.0


def decoded(response):
    return msgspec.json.decode(response.data)


def batch(seconds, tasks=1, **more):
    spec = {"kind": "batch", "tasks": tasks, "resources": [1000, 100, 0]}
    return {"spec": {**spec, "command": ["sleep", str(seconds)], **more}}


class FailureTest(unittest.TestCase):
    def setUp(self):
        self.cell = SmallCell(SHAPE)
        self.addCleanup(self.cell.close)
        self.cell.start()
        self.cell.operate("create team planting share 2 limit cpu 64 memory 64GB")
        self.key = self.cell.operate("give key to planting")["data"]["key"]

    def starts(self):
        """Return the starts of each task, over all workers."""
        found = {}
        for worker in self.cell.workers:
            port = worker.settings["listen"]["port"]
            url = f"http://127.0.0.1:{port}/v1/started"
            for job, index, attempt, _ in decoded(self.cell.http.request("GET", url)):
                found.setdefault((job, index), []).append(attempt)
        return found

    def holders(self, entry):
        """Return the holder of each group, as an entry sees it."""
        text = self.cell.operate("show groups", entry)["text"]
        return dict(line.split()[:2] for line in text.splitlines()[1:])

    def holder_index(self, group, entry=0):
        return int(self.holders(entry)[group].rpartition("-")[2]) - 1

    def other(self, *taken):
        return next(i for i in range(SHAPE.entries) if i not in taken)

    def set_faults(self, **faults):
        url = self.cell.platform_url + "/v1/faults"
        self.cell.http.request("PUT", url, body=msgspec.json.encode(faults))

    def submit_many(self, count, entry, seconds=0.2):
        ids = []
        for number in range(count):
            response = self.cell.submit(self.key, batch(seconds), f"m{number}", entry)
            self.assertEqual(response.status, 202, response.data)
            ids.append(decoded(response)["id"])
        return ids

    def wait_for_end(self, ids, entry):
        for job_id in ids:
            self.cell.wait_for_state(
                self.key, job_id, "succeeded", entry, within_s=TAKEOVER_S
            )

    def test_killed_holder_is_replaced_and_no_work_is_lost_or_doubled(self):
        victim = self.holder_index("g1")
        entry = self.other(victim)
        ids = self.submit_many(20, entry, seconds=2)
        self.cell.entries[victim].kill()
        self.wait_for_end(ids, entry)
        starts = self.starts()
        self.assertTrue(all(len(attempts) == 1 for attempts in starts.values()))
        self.assertEqual({job for job, _ in starts}, set(ids))

    def test_holder_frozen_past_its_lease_does_nothing_on_waking(self):
        victim = self.holder_index("g1")
        entry = self.other(victim)
        frozen = self.cell.entries[victim].settings["name"]
        self.cell.entries[victim].send(signal.SIGSTOP)
        self.cell.wait_for(
            lambda: self.holders(entry)["g1"] not in (frozen, "nobody"), "a takeover"
        )
        ids = self.submit_many(20, entry, seconds=2)
        self.cell.entries[victim].send(signal.SIGCONT)
        self.wait_for_end(ids, entry)
        self.assertTrue(all(len(a) == 1 for a in self.starts().values()))

    def test_outage_of_the_log_refuses_at_once_and_nothing_accepted_is_lost(self):
        ids = self.submit_many(5, 0, seconds=8)
        for job_id in ids:
            self.cell.wait_for_state(self.key, job_id, "running")
        self.set_faults(is_down=True)
        self.cell.wait_for(
            lambda: self.cell.submit(self.key, batch(1), "late").status == 503,
            "a refusal",
        )
        asked_at = time.monotonic()
        response = self.cell.submit(self.key, batch(1), "late")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertLess(time.monotonic() - asked_at, 5)
        time.sleep(5)
        self.set_faults()
        self.wait_for_end(ids, 1)
        self.assertTrue(all(len(a) == 1 for a in self.starts().values()))

    def test_lost_answers_of_the_log_double_nothing(self):
        self.set_faults(loses_answers=True)
        self.cell.submit(self.key, batch(0.2), "doubtful")
        self.set_faults()
        response = self.cell.submit(self.key, batch(0.2), "doubtful", 1)
        self.assertEqual(response.status, 202, response.data)
        job_id = decoded(response)["id"]
        self.wait_for_end([job_id], 2)
        self.assertEqual(self.starts(), {(job_id, 0): [1]})

    def test_racing_operators_never_undo_one_another(self):
        version = self.cell.operate("show teams")["data"][0]["version"]
        answers = {}

        def change(entry):
            statement = f"set team planting share {entry + 10} expecting {version}"
            answers[entry] = self.cell.operate(statement, entry)["status"]

        threads = [threading.Thread(target=change, args=(i,)) for i in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(answers.values()), [200, 409, 409])
        winner = next(entry for entry, status in answers.items() if status == 200)
        for entry in range(3):
            share = self.cell.operate("show teams", entry)["data"][0]["share"]
            self.assertEqual(share, winner + 10)

    def test_killed_worker_loses_its_tasks_and_they_run_elsewhere(self):
        response = self.cell.submit(self.key, batch(3), "w")
        job_id = decoded(response)["id"]
        job = self.cell.wait_for_state(self.key, job_id, "running")
        name = job["tasks"][0]["worker"]
        worker = next(w for w in self.cell.workers if w.name == name)
        worker.kill()
        worker.start()
        self.wait_for_end([job_id], 0)
        job = self.cell.job(self.key, job_id)
        self.assertEqual(job["tasks"][0]["attempt"], 2)

    def test_replaced_entry_answers_for_work_that_ended_before_it_started(self):
        ids = self.submit_many(3, 0)
        self.wait_for_end(ids, 0)
        for process in self.cell.entries:
            process.kill()
        for process in self.cell.entries:
            process.start()
        self.cell.wait_for(self.cell.entries_are_ready, "the new entries")
        self.cell.wait_for(
            lambda: set(self.holders_or_none()) == {"g1", "g2"}, "new holders"
        )
        self.wait_for_end(ids, 2)
        self.assertTrue(all(len(a) == 1 for a in self.starts().values()))

    def holders_or_none(self):
        try:
            return self.holders(0)
        except Exception:
            return {}
