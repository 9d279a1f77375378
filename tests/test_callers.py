"""Caller interface of a cell: errors, limits, requests and graceful stop."""

import signal
import socket
import threading
import unittest

import msgspec
import urllib3

from pimentomill.work import choose_home_group, make_job_id
from scripts.cell import OPERATOR_KEY, CellShape, LocalCell

SHAPE = CellShape(entries=2, workers=2, backends=2, groups=2)
BATCH = {"spec": {"kind": "batch", "resources": [1000, 100, 0]}}
PATH = "/v1/services/planting/requests"
SLOW_MS = "4000"
"""Duration of a slow request in milliseconds, well below the entry's stop timeout."""


def decode_body(response):
    return msgspec.json.decode(response.data)


def accepted_job_id(response):
    """Return the id of an accepted job; raise an error with the response otherwise."""
    if response.status != 202:
        raise AssertionError(f"submission: {response.status} {response.data!r}")
    return decode_body(response)["id"]


class CallersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cell = LocalCell(SHAPE)
        cls.addClassCleanup(cls.cell.close)
        cls.cell.start()
        cls.cell.execute("create team planting share 2 limit cpu 32 memory 64GB")
        cls.cell.execute("create team kiln share 1 limit cpu 32 memory 64GB")
        cls.key = cls.cell.execute("give key to planting")["data"]["key"]
        cls.other_key = cls.cell.execute("give key to kiln")["data"]["key"]

    def submit(self, submission, name, key=None):
        return self.cell.submit(key or self.key, submission, name)

    def submit_accepted(self, submission, name):
        """Submit a job and return its id."""
        return accepted_job_id(self.submit(submission, name))

    def assert_rejected(self, response, status, error):
        self.assertEqual(response.status, status, response.data)
        self.assertEqual(decode_body(response)["error"], error)

    def test_wrong_keys_are_rejected(self):
        for key in ("nonsense", "pm.k-1.x", self.key + "x", OPERATOR_KEY, ""):
            self.assert_rejected(
                self.submit(BATCH, "n", key or " "), 401, "unauthorized"
            )

    def test_malformed_body_is_rejected_with_its_path(self):
        response = self.cell.call(
            "POST", "/v1/jobs", self.key, b"{", 0, {"Idempotency-Key": "b"}
        )
        self.assert_rejected(response, 400, "invalid")
        submission = {
            "spec": {"kind": "batch", "resources": [1000, 100, 0], "tasks": 0}
        }
        response = self.submit(submission, "c")
        self.assert_rejected(response, 400, "invalid")
        self.assertIn("tasks", decode_body(response)["message"])

    def test_negative_amounts_are_rejected(self):
        submission = {"spec": {"kind": "batch", "resources": [1000, -5, 0]}}
        self.assert_rejected(self.submit(submission, "d"), 400, "invalid")

    def test_missing_idempotency_key_is_rejected(self):
        response = self.cell.call(
            "POST", "/v1/jobs", self.key, msgspec.json.encode(BATCH)
        )
        self.assert_rejected(response, 400, "invalid")

    def test_oversized_body_is_rejected(self):
        response = self.cell.call("POST", PATH, self.key, b"x" * 300_000)
        self.assertEqual(response.status, 413)

    def test_unknown_path_and_method_are_rejected(self):
        self.assert_rejected(self.cell.call("GET", "/v2/x", self.key), 404, "not_found")
        self.assert_rejected(self.cell.call("PUT", "/v1/jobs", self.key), 405, "method")

    def test_same_key_with_other_work_is_a_conflict(self):
        job_id = self.submit_accepted(BATCH, "same")
        self.cell.wait_for_state(self.key, job_id, "succeeded")
        other = {"spec": {**BATCH["spec"], "tasks": 3}}
        self.assert_rejected(self.submit(other, "same"), 409, "conflict")

    def test_job_of_another_team_is_hidden(self):
        job_id = self.submit_accepted(BATCH, "hidden")
        self.cell.wait_for_state(self.key, job_id, "succeeded")
        path = f"/v1/jobs/{job_id}"
        self.assert_rejected(
            self.cell.call("GET", path, self.other_key), 404, "not_found"
        )
        self.assert_rejected(
            self.cell.call("DELETE", path, self.other_key), 404, "not_found"
        )
        self.assertEqual(self.cell.call("GET", path, OPERATOR_KEY).status, 200)

    # Guards against UNASKED: a job ran although its cancellation had been answered
    # with 404, as its submission was still on its way.
    def test_a_job_that_is_cancelled_before_its_submission_never_runs(self):
        groups = [f"g{i + 1}" for i in range(SHAPE.groups)]
        group = choose_home_group(groups, "planting", "withdrawn")
        job = make_job_id(group, "planting", "withdrawn")
        response = self.cell.call("DELETE", f"/v1/jobs/{job}", self.key)
        self.assert_rejected(response, 404, "not_found")
        self.assertEqual(self.submit_accepted(BATCH, "withdrawn"), job)
        shown = self.cell.wait_for_state(self.key, job, "cancelled")
        self.assertEqual([task["attempt"] for task in shown["tasks"]], [0])

    def test_wrong_key_cannot_probe_jobs_and_requests(self):
        for path in ("/v1/jobs/none@g1", "/v1/requests/none@g1"):
            response = self.cell.call("GET", path, self.key + "x")
            self.assert_rejected(response, 401, "unauthorized")
            self.assert_rejected(
                self.cell.call("GET", path, self.key), 404, "not_found"
            )

    def test_syntax_error_reports_the_column_of_the_token(self):
        answer = self.cell.execute("show teems")
        self.assertEqual((answer["status"], answer["column"]), (400, 6))

    def test_statement_needs_an_operators_key(self):
        response = self.cell.call("POST", "/v1/commands", self.key, b"show teams")
        self.assert_rejected(response, 401, "unauthorized")

    def test_open_queue_accepts_jobs_under_any_key(self):
        self.cell.execute("open queue common for kiln")
        self.cell.wait_for(
            lambda: self.submit({**BATCH, "queue": "common"}, "q").status == 202,
            "the open queue",
        )
        ticket = decode_body(self.submit({**BATCH, "queue": "common"}, "q"))
        self.assertEqual(ticket["team"], "kiln")
        response = self.submit({**BATCH, "queue": "none"}, "q2")
        self.assert_rejected(response, 404, "not_found")

    def test_non_idempotent_request_runs_once_through_two_entries(self):
        headers = {"Idempotency-Key": "order-9"}
        first = self.cell.request(self.key, "planting", b"40", headers)
        self.assertEqual((first.status, first.data), (200, b"40"))
        request = first.headers["Pimentomill-Request"]
        repeat = self.cell.call("POST", PATH, self.key, b"40", 1, headers)
        self.assert_rejected(repeat, 409, "repeat")
        self.assertEqual(self.list_runs().count(request), 1)
        stored = decode_body(self.cell.call("GET", f"/v1/requests/{request}", self.key))
        self.assertEqual((stored["outcome"], stored["status"]), ("answered", 200))

    def list_runs(self):
        return [
            run
            for backend in self.cell.backends
            for run in decode_body(
                self.cell.http.request(
                    "GET",
                    f"http://127.0.0.1:{backend.settings['listen']['port']}/v1/runs",
                )
            )
        ]

    def test_timed_out_request_is_unknown_and_can_be_queried(self):
        headers = {
            "Idempotency-Key": "order-slow",
            "Stand-In-Sleep-Ms": "1500",
            "Pimentomill-Budget-Ms": "300",
        }
        response = self.cell.request(self.key, "planting", b"40", headers)
        self.assert_rejected(response, 504, "unknown")
        path = f"/v1/requests/{decode_body(response)['id']}"

        def is_recorded() -> bool:
            stored = decode_body(self.cell.call("GET", path, self.key, entry=1))
            return stored.get("outcome") == "unknown"

        self.cell.wait_for(is_recorded, "the outcome in the log")

    def test_service_without_backend_servers_is_reported_as_not_run(self):
        headers = {"Pimentomill-Idempotent": "true"}
        response = self.cell.call(
            "POST", "/v1/services/none/requests", self.key, b"", 0, headers
        )
        self.assert_rejected(response, 503, "not_run")
        self.assertIn("Retry-After", response.headers)

    def test_slow_client_does_not_block_the_entry(self):
        port = self.cell.entries[0].settings["callers"]["port"]
        with socket.create_connection(("127.0.0.1", port)) as slow:
            slow.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n")
            self.assertEqual(self.cell.execute("show teams")["status"], 200)

    def test_metrics_can_be_read(self):
        texts = [
            self.cell.http.request("GET", self.cell.control_url(i) + "/metrics").data
            for i in range(SHAPE.entries)
        ]
        self.assertTrue(all(b"control_bytes" in text for text in texts))
        self.assertTrue(any(b"worker_reports" in text for text in texts))


class GracefulStopTest(unittest.TestCase):
    def setUp(self):
        self.cell = LocalCell(SHAPE)
        self.addCleanup(self.cell.close)
        self.cell.start()
        self.cell.execute("create team planting share 2 limit cpu 32 memory 64GB")
        self.key = self.cell.execute("give key to planting")["data"]["key"]

    def wait_for_backend(self):
        """Wait until the first entry knows a backend server."""
        headers = {"Pimentomill-Idempotent": "true"}
        response = self.cell.request(self.key, "planting", b"x", headers)
        self.assertEqual(response.status, 200, response.data)

    def count_runs(self):
        """Return the number of requests that the backend servers have started."""
        ports = [b.settings["listen"]["port"] for b in self.cell.backends]
        urls = [f"http://127.0.0.1:{port}/v1/runs" for port in ports]
        return sum(len(decode_body(self.cell.http.request("GET", url))) for url in urls)

    def signal_during_request(self, signum):
        """Signal the first entry during a slow request; return the body or None."""
        self.wait_for_backend()
        headers = {"Idempotency-Key": "slow", "Stand-In-Sleep-Ms": SLOW_MS}
        bodies = []
        runs_before = self.count_runs()

        def call():
            try:
                response = self.cell.request(self.key, "planting", b"x", headers)
                bodies.append(response.data)
            except urllib3.exceptions.HTTPError:
                bodies.append(None)

        thread = threading.Thread(target=call)
        thread.start()
        self.cell.wait_for(lambda: self.count_runs() > runs_before, "the slow request")
        self.cell.entries[0].send_signal(signum)
        thread.join()
        return bodies[0]

    def test_stop_cuts_off_nothing_in_flight_and_work_goes_on(self):
        service = {"kind": "service", "replicas": 2, "resources": [1000, 100, 0]}
        submission = {"spec": {**service, "command": ["serve"]}}
        job_id = accepted_job_id(self.cell.submit(self.key, submission, "svc", 1))
        running = self.cell.wait_for_state(self.key, job_id, "running", 1)
        self.assertEqual(self.signal_during_request(signal.SIGTERM), b"x")
        self.assertEqual(self.cell.entries[0].stop(), 0)
        after = self.cell.wait_for_state(self.key, job_id, "running", 1)
        attempts = [(t["worker"], t["attempt"]) for t in after["tasks"]]
        before = [(t["worker"], t["attempt"]) for t in running["tasks"]]
        self.assertEqual(attempts, before)

    def test_kill_cuts_off_a_request_in_flight(self):
        self.assertIsNone(self.signal_during_request(signal.SIGKILL))
