import asyncio
import json
import unittest
from unittest import mock

import aiohttp

from pimentomill.catalog import Catalog, RequestLimits, Team
from pimentomill.control import ControlSettings
from pimentomill.dispatch.tests.samples import queue
from pimentomill.ingress import IngressLimits, Machine
from pimentomill.intake import _intake
from pimentomill.jobs import KeyedRecord
from pimentomill.links import CallerAnswer
from pimentomill.node import CellNode, NodeSettings
from pimentomill.overload import Refusal
from pimentomill.platform import _caller_handler
from pimentomill.platform._caller_handler import CallerHandler
from pimentomill.platform._frontend import Frontend
from pimentomill.standins import MemoryStore, MemoryWorkers
from pimentomill.telemetry import CellMetrics, ComponentLogger
from pimentomill.utils import SystemClock

JOB = "5c0e7a21d94b36f8"
BODY = json.dumps({"Spec": "x", "Steps": [{"Count": 1, "Cpu": 100}]}).encode()
KEY = {"Key": "k1"}
INCOMPLETE_REQUESTS = 200
RESPONSE_BOUND_S = 8.0
"""Exceeded by a server with one thread per connection and a timeout of 10 s each."""
LONG_AGE_MS = 30_000
LIMITS = IngressLimits.for_callers(Machine())


def make_catalog(version=1, keys=None, queues=None):
    known = queues or [queue("a"), queue("b", public=True)]
    limits = RequestLimits(header_bytes=2000, body_bytes=500, header_timeout_ms=300)
    names = {"k1": "t", "k2": "u"} if keys is None else keys
    return Catalog(version, known, [Team("t"), Team("u")], names, ["planting"], limits)


class FrontendCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.catalogs = {b"1": make_catalog()}
        self.node = CellNode(
            NodeSettings(
                "n1",
                "127.0.0.1:1",
                key_term_ms=2 * LONG_AGE_MS,
                ready_age_ms=LONG_AGE_MS,
            ),
            ControlSettings(),
            self.store,
            MemoryWorkers(),
            None,
            lambda key, value: self.catalogs.get(value) if key == "config" else None,
            lambda key, value: None,
            None,
            SystemClock(),
            CellMetrics(),
        )
        for module, name in (
            (_caller_handler, "MAX_SETTINGS_AGE_MS"),
            (_intake, "STORE_OUTAGE_AGE_MS"),
        ):
            patched = mock.patch.object(module, name, LONG_AGE_MS - 1)
            patched.start()
            self.addCleanup(patched.stop)
        self.frontend = Frontend(CallerHandler(self.node), LIMITS)
        await self.frontend.start(*[("127.0.0.1", 0)] * 3)
        callers, readiness, metrics = self.frontend.addresses_
        self.metrics_address = metrics
        self.address, self.ready_address = callers, readiness
        self.session = aiohttp.ClientSession()
        await self.store.append("rules", [KeyedRecord("config", b"1")])
        loops = (self.node.rules.run(), self.node.work.run())
        self.tasks = [asyncio.ensure_future(loop) for loop in loops]
        await self.wait_until(self.node.is_ready)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        await self.frontend.stop()

    async def wait_until(self, condition):
        async with asyncio.timeout(LONG_AGE_MS / 1000):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(self, method, path, body=None, headers=KEY):
        url = f"http://127.0.0.1:{self.address[1]}{path}"
        headers = {"Host": "h", **headers}
        async with self.session.request(
            method, url, data=body, headers=headers
        ) as resp:
            return resp.status, await resp.read(), resp.headers

    async def call_status(self, *args, **kwargs):
        return (await self.call(*args, **kwargs))[0]

    async def ready_status(self):
        url = f"http://127.0.0.1:{self.ready_address[1]}/ready"
        async with self.session.get(url) as resp:
            return resp.status


class TestRequests(FrontendCase):
    async def test_submit_query_and_cancel_job(self):
        self.assertEqual(await self.call_status("POST", "/a/" + JOB, BODY), 200)
        _, body, _ = await self.call("GET", "/a/" + JOB)
        self.assertEqual(json.loads(body), {"State": "queued"})
        _, body, _ = await self.call("GET", "/a/")
        self.assertEqual(json.loads(body), {"Waiting": 1})
        self.assertEqual(await self.call_status("DELETE", "/a/" + JOB), 200)
        await self.wait_until(lambda: self.node.table.find(JOB).cancelled_)
        _, body, _ = await self.call("GET", "/a/" + JOB)
        self.assertEqual(json.loads(body), {"State": "cancelled"})

    async def test_a_refused_job_gets_the_computed_delay_and_a_repeat_succeeds(self):
        refuse_all = mock.Mock()
        refuse_all.decide.return_value = Refusal("job would be too late", 7, 1000)
        accepted_before = "5c0e7a21d94b36f9"
        path = "/a/" + accepted_before
        self.assertEqual(await self.call_status("POST", path, BODY), 200)
        self.node.intake.admission = refuse_all
        with mock.patch.object(_intake, "ADMISSION_CONFIRM_TIMEOUT_MS", LONG_AGE_MS):
            status, body, headers = await self.call("POST", "/a/" + JOB, BODY)
            self.assertEqual(await self.call_status("POST", path, BODY), 200)
        self.assertEqual((status, body), (429, b"job would be too late"))
        self.assertEqual(headers["Retry-After"], "7")
        self.assertEqual(await self.call_status("GET", "/a/" + JOB), 410)

    async def test_unknown_queues_keys_and_jobs(self):
        self.assertEqual(await self.call_status("POST", "/c/" + JOB, BODY), 404)
        unknown = {"Key": "other"}
        self.assertEqual(
            await self.call_status("POST", "/a/" + JOB, BODY, headers=unknown), 401
        )
        self.assertEqual(await self.call_status("GET", "/a/" + JOB), 410)
        self.assertEqual(await self.call_status("DELETE", "/a/" + JOB), 410)

    async def test_a_public_queue_needs_no_key(self):
        self.assertEqual(
            await self.call_status("POST", "/b/" + JOB, BODY, headers={}), 200
        )

    async def test_job_of_another_team_is_hidden(self):
        await self.call_status("POST", "/a/" + JOB, BODY)
        other = {"Key": "k2"}
        self.assertEqual(await self.call_status("GET", "/a/" + JOB, headers=other), 410)

    async def test_invalid_bodies_and_job_names(self):
        self.assertEqual(await self.call_status("POST", "/a/" + JOB, b"{"), 400)
        self.assertEqual(await self.call_status("POST", "/a/" + JOB, b" " * 501), 413)
        self.assertEqual(await self.call_status("POST", "/a/short", BODY), 404)
        self.assertEqual(self.store.records("work"), [])

    async def test_oversized_header_is_rejected(self):
        long = {**KEY, "X-Long": "x" * 2000}
        self.assertEqual(await self.call_status("GET", "/a/", headers=long), 431)
        self.assertEqual(await self.call_status("GET", "/a/"), 200)

    async def test_connection_with_incomplete_header_is_closed(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address[1])
        writer.write(b"GET /a/ HTTP/1.1\r\nHost: h\r\nX")
        async with asyncio.timeout(RESPONSE_BOUND_S):
            self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_connection_stays_open_after_an_answer(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address[1])
        for _ in range(2):
            writer.write(b"GET /b/ HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertIn(b" 200 ", await reader.readline())
            await reader.readuntil(b'{"Waiting":0}')
            await asyncio.sleep(0.4)
        writer.close()

    async def test_incomplete_requests_delay_no_other_caller(self):
        writers = []
        for _ in range(INCOMPLETE_REQUESTS):
            _, writer = await asyncio.open_connection("127.0.0.1", self.address[1])
            writer.write(b"POST /a/" + JOB.encode() + b" HTTP/1.1\r\nHost: h\r\nX")
            writers.append(writer)
        async with asyncio.timeout(RESPONSE_BOUND_S):
            self.assertEqual(await self.call_status("GET", "/a/"), 200)
            self.assertEqual(await self.ready_status(), 200)
        for writer in writers:
            writer.close()


class TestLog(FrontendCase):
    """Guards against callers without an answer of whom the log tells nothing."""

    def setUp(self):
        self.lines = []
        self.enterContext(
            mock.patch.object(
                ComponentLogger,
                "_write",
                lambda _, level, text, fields: self.lines.append((text, fields)),
            )
        )

    def logged(self, text):
        return [fields for line, fields in self.lines if line == text]

    async def test_quick_routine_answers_are_not_logged(self):
        self.assertEqual(await self.call_status("GET", "/a/"), 200)
        self.assertEqual(self.logged("Request"), [])

    async def test_slow_answers_are_logged(self):
        with mock.patch.object(_caller_handler, "SLOW_ANSWER_MS", 0):
            self.assertEqual(await self.call_status("GET", "/a/"), 200)
        fields = self.logged("Request")[0]
        self.assertEqual((fields["method"], fields["status"]), ("GET", 200))
        self.assertLessEqual(fields["forward_ms"], fields["took_ms"])

    async def test_a_slow_answer_of_another_entry_is_logged(self):
        answer = CallerAnswer(200, b"{}")
        with (
            mock.patch.object(_caller_handler, "SLOW_ANSWER_MS", 0),
            mock.patch.object(
                self.node, "forward", mock.AsyncMock(return_value=answer)
            ),
        ):
            self.assertEqual(await self.call_status("GET", "/a/"), 200)
        fields = self.logged("Slow answer of another entry")[0]
        self.assertEqual((fields["path"], fields["status"]), ("/a/", 200))

    async def test_a_caller_that_leaves_without_an_answer_is_logged(self):
        never = asyncio.Event()
        with mock.patch.object(self.node, "forward", lambda req: never.wait()):
            _, writer = await asyncio.open_connection("127.0.0.1", self.address[1])
            writer.write(b"GET /b/ HTTP/1.1\r\nHost: h\r\n\r\n")
            await self.wait_until(lambda: self.frontend.in_flight_)
            writer.close()
            await self.wait_until(
                lambda: self.logged("Connection lost before the answer")
            )


class TestMetrics(FrontendCase):
    async def test_answers_are_counted(self):
        await self.call_status("GET", "/c/")
        url = f"http://127.0.0.1:{self.metrics_address[1]}/metrics"
        async with self.session.get(url) as resp:
            text = await resp.text()
        self.assertIn('requests_total{method="GET",status="404"} 1.0', text)
        self.assertIn("request_ms_bucket", text)


class TestOutage(FrontendCase):
    async def stop_store(self):
        """Make the store unavailable; a pending read may end well after that."""
        self.store.is_down = True
        followers = (self.node.work, self.node.rules)
        await self.wait_until(lambda: not any(one.is_reachable_ for one in followers))

    async def test_rejected_with_retry_after(self):
        await self.stop_store()
        status, _, headers = await self.call("POST", "/a/" + JOB, BODY)
        self.assertEqual(status, 503)
        self.assertGreater(int(headers["Retry-After"]), 0)
        self.assertEqual(self.store.records("work"), [])

    async def test_unknown_outcome_is_not_a_rejection(self):
        self.store.lose_answers = 1000
        with mock.patch.object(_intake, "APPEND_RETRY_WINDOW_MS", 30):
            self.assertEqual(await self.call_status("POST", "/a/" + JOB, BODY), 504)

    async def test_keys_are_rejected_when_settings_are_too_old(self):
        await self.stop_store()
        self.node.rules.current_as_of_ -= 2 * LONG_AGE_MS
        self.assertEqual(await self.call_status("GET", "/a/"), 503)
        self.assertEqual(await self.call_status("GET", "/b/", headers={}), 200)
        self.assertEqual(await self.ready_status(), 503)

    async def test_unknown_key_is_not_denied_by_outdated_settings(self):
        await self.stop_store()
        self.node.rules.current_as_of_ -= LONG_AGE_MS
        other = {"Key": "other"}
        self.assertEqual(await self.call_status("GET", "/a/", headers=other), 503)


class TestSettings(FrontendCase):
    async def publish(self, name, value):
        self.catalogs[name] = value
        await self.store.append("rules", [KeyedRecord("config", name)])

    async def test_revoked_key_is_rejected(self):
        await self.publish(b"2", make_catalog(2, keys={"k2": "u"}))
        await self.wait_until(lambda: self.node.catalog_.version == 2)
        self.assertEqual(await self.call_status("GET", "/a/"), 401)

    async def test_older_settings_version_is_not_applied(self):
        await self.publish(b"3", make_catalog(3, keys={}))
        await self.publish(b"2", make_catalog(2))
        await self.publish(b"4", None)
        await self.wait_until(lambda: self.node.rules.offset_ == 4)
        self.assertEqual(self.node.catalog_.version, 3)

    async def test_a_stopping_entry_answers_but_takes_no_new_callers(self):
        await self.node.stop()
        self.assertEqual(await self.ready_status(), 503)
        status, _, headers = await self.call("POST", "/a/" + JOB, BODY)
        self.assertEqual((status, headers["Connection"]), (200, "close"))
