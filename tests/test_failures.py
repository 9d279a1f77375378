"""Failures of real processes: kills, freezes, platform outages and races."""

import signal
import threading
import time
import unittest

import msgspec

from scripts.cell import CellShape, LocalCell

LEASES = {
    "ownership_ms": 3_000,
    "renew_ms": 700,
    "margin_ms": 300,
    "task_ms": 20_000,
    "command_ms": 1_000,
    "report_ms": 1_000,
}
SHAPE = CellShape(entries=3, workers=4, backends=0, groups=2, leases=LEASES)
TAKEOVER_TIMEOUT_S = 25.0


def decode_body(response):
    return msgspec.json.decode(response.data)


def make_batch(duration_s, tasks=1, **fields):
    spec = {"kind": "batch", "tasks": tasks, "resources": [1000, 100, 0]}
    return {"spec": {**spec, "command": ["sleep", str(duration_s)], **fields}}


class FailureTest(unittest.TestCase):
    def setUp(self):
        self.cell = LocalCell(SHAPE)
        self.addCleanup(self.cell.close)
        self.cell.start()
        self.cell.execute("create team planting share 2 limit cpu 64 memory 64GB")
        self.key = self.cell.execute("give key to planting")["data"]["key"]

    def list_starts(self):
        """Return the started attempts of each task on all workers."""
        starts = {}
        for worker in self.cell.workers:
            port = worker.settings["listen"]["port"]
            url = f"http://127.0.0.1:{port}/v1/started"
            for job, index, attempt, _ in decode_body(
                self.cell.http.request("GET", url)
            ):
                starts.setdefault((job, index), []).append(attempt)
        return starts

    def list_holders(self, entry):
        """Return the holder of each group as an entry reports it."""
        text = self.cell.execute("show groups", entry)["text"]
        return dict(line.split()[:2] for line in text.splitlines()[1:])

    def find_holder_index(self, group, entry=0):
        return int(self.list_holders(entry)[group].rpartition("-")[2]) - 1

    def other_entry(self, *excluded):
        return next(i for i in range(SHAPE.entries) if i not in excluded)

    def set_faults(self, **faults):
        url = self.cell.platform_url + "/v1/faults"
        self.cell.http.request("PUT", url, body=msgspec.json.encode(faults))

    def submit_many(self, count, entry, duration_s=0.2):
        job_ids = []
        for number in range(count):
            response = self.cell.submit(
                self.key, make_batch(duration_s), f"m{number}", entry
            )
            self.assertEqual(response.status, 202, response.data)
            job_ids.append(decode_body(response)["id"])
        return job_ids

    def wait_for_success(self, job_ids, entry):
        for job_id in job_ids:
            self.cell.wait_for_state(
                self.key, job_id, "succeeded", entry, timeout_s=TAKEOVER_TIMEOUT_S
            )

    def test_killed_holder_is_replaced_and_no_job_is_lost_or_run_twice(self):
        victim = self.find_holder_index("g1")
        entry = self.other_entry(victim)
        ids = self.submit_many(20, entry, duration_s=2)
        self.cell.entries[victim].kill()
        self.wait_for_success(ids, entry)
        starts = self.list_starts()
        self.assertTrue(all(len(attempts) == 1 for attempts in starts.values()))
        self.assertEqual({job for job, _ in starts}, set(ids))

    def test_holder_frozen_past_its_lease_does_not_act_on_resuming(self):
        victim = self.find_holder_index("g1")
        entry = self.other_entry(victim)
        frozen = self.cell.entries[victim].settings["name"]
        self.cell.entries[victim].send_signal(signal.SIGSTOP)
        self.cell.wait_for(
            lambda: self.list_holders(entry)["g1"] not in (frozen, "nobody"),
            "a takeover",
        )
        ids = self.submit_many(20, entry, duration_s=2)
        self.cell.entries[victim].send_signal(signal.SIGCONT)
        self.wait_for_success(ids, entry)
        self.assertTrue(all(len(a) == 1 for a in self.list_starts().values()))

    def test_log_outage_rejects_submissions_promptly_and_loses_no_accepted_job(self):
        ids = self.submit_many(5, 0, duration_s=8)
        for job_id in ids:
            self.cell.wait_for_state(self.key, job_id, "running")
        self.set_faults(is_down=True)
        self.cell.wait_for(
            lambda: self.cell.submit(self.key, make_batch(1), "late").status == 503,
            "a rejection",
        )
        asked_at = time.monotonic()
        response = self.cell.submit(self.key, make_batch(1), "late")
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertLess(time.monotonic() - asked_at, 5)
        time.sleep(5)
        self.set_faults()
        self.wait_for_success(ids, 1)
        self.assertTrue(all(len(a) == 1 for a in self.list_starts().values()))

    def test_lost_append_answers_do_not_duplicate_a_job(self):
        self.set_faults(loses_answers=True)
        self.cell.submit(self.key, make_batch(0.2), "doubtful")
        self.set_faults()
        response = self.cell.submit(self.key, make_batch(0.2), "doubtful", 1)
        self.assertEqual(response.status, 202, response.data)
        job_id = decode_body(response)["id"]
        self.wait_for_success([job_id], 2)
        self.assertEqual(self.list_starts(), {(job_id, 0): [1]})

    def test_concurrent_changes_do_not_overwrite_each_other(self):
        version = self.cell.execute("show teams")["data"][0]["version"]
        statuses = {}

        def change(entry):
            statement = f"set team planting share {entry + 10} expecting {version}"
            statuses[entry] = self.cell.execute(statement, entry)["status"]

        threads = [threading.Thread(target=change, args=(i,)) for i in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(statuses.values()), [200, 409, 409])
        winner = next(entry for entry, status in statuses.items() if status == 200)
        for entry in range(3):
            share = self.cell.execute("show teams", entry)["data"][0]["share"]
            self.assertEqual(share, winner + 10)

    def test_tasks_of_a_killed_worker_are_run_again(self):
        response = self.cell.submit(self.key, make_batch(3), "w")
        job_id = decode_body(response)["id"]
        job = self.cell.wait_for_state(self.key, job_id, "running")
        name = job["tasks"][0]["worker"]
        worker = next(w for w in self.cell.workers if w.name == name)
        worker.kill()
        worker.start()
        self.wait_for_success([job_id], 0)
        job = self.cell.get_job(self.key, job_id)
        self.assertEqual(job["tasks"][0]["attempt"], 2)

    def test_restarted_entry_reports_jobs_that_ended_before_its_start(self):
        ids = self.submit_many(3, 0)
        self.wait_for_success(ids, 0)
        for process in self.cell.entries:
            process.kill()
        for process in self.cell.entries:
            process.start()
        self.cell.wait_for(self.cell.are_entries_ready, "the new entries")
        self.cell.wait_for(
            lambda: set(self.try_list_holders()) == {"g1", "g2"}, "new holders"
        )
        self.wait_for_success(ids, 2)
        self.assertTrue(all(len(a) == 1 for a in self.list_starts().values()))

    def try_list_holders(self):
        try:
            return self.list_holders(0)
        except Exception:
            return {}
