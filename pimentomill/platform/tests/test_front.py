import asyncio
import json
import unittest
from unittest import mock

import aiohttp

from pimentomill.catalog import Catalog, RequestLimits, Team
from pimentomill.control import ControlSettings
from pimentomill.dispatch.tests.samples import queue
from pimentomill.intake import _intake
from pimentomill.jobs import KeyedRecord
from pimentomill.node import CellNode, NodeSettings
from pimentomill.platform import _callers
from pimentomill.platform._callers import Callers
from pimentomill.platform._front import Front
from pimentomill.standins import MemoryStore, MemoryWorkers
from pimentomill.telemetry import CellMetrics
from pimentomill.utils import SystemClock

JOB = "5c0e7a21d94b36f8"
BODY = json.dumps({"Spec": "x", "Steps": [{"Count": 1, "Cpu": 100}]}).encode()
KEY = {"Key": "k1"}
HALF_SENT = 200
HELD_UP_S = 8.0
"""A thread a connection, each with 10 s of patience, answers nobody within this."""
LONG_MS = 30_000


def catalog(version=1, keys=None, queues=None):
    known = queues or [queue("a"), queue("b", public=True)]
    limits = RequestLimits(header_bytes=2000, body_bytes=500, header_timeout_ms=300)
    names = {"k1": "t", "k2": "u"} if keys is None else keys
    return Catalog(version, known, [Team("t"), Team("u")], names, ["planting"], limits)


class FrontCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.catalogs = {b"1": catalog()}
        self.node = CellNode(
            NodeSettings(
                "n1", "127.0.0.1:1", key_term_ms=2 * LONG_MS, ready_age_ms=LONG_MS
            ),
            ControlSettings(),
            self.store,
            MemoryWorkers(),
            None,
            self.catalogs.get,
            lambda key, value: None,
            None,
            SystemClock(),
            CellMetrics(),
        )
        for module, name in (
            (_callers, "DOUBT_AGE_MS"),
            (_intake, "STORE_OUTAGE_AGE_MS"),
        ):
            patched = mock.patch.object(module, name, LONG_MS - 1)
            patched.start()
            self.addCleanup(patched.stop)
        self.front = Front(Callers(self.node))
        await self.front.start(*[("127.0.0.1", 0)] * 3)
        callers, readiness, metrics = (
            runner.addresses[0] for runner in self.front._runners
        )
        self.metrics_address = metrics
        self.address, self.ready_address = callers, readiness
        self.session = aiohttp.ClientSession()
        await self.store.append("rules", [KeyedRecord("config", b"1")])
        loops = (self.node.rules.run(), self.node.work.run())
        self.tasks = [asyncio.ensure_future(loop) for loop in loops]
        await self.until(self.node.is_ready)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await self.session.close()
        await self.front.stop()

    async def until(self, condition):
        async with asyncio.timeout(LONG_MS / 1000):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(self, method, path, body=None, headers=KEY):
        url = f"http://127.0.0.1:{self.address[1]}{path}"
        headers = {"Host": "h", **headers}
        async with self.session.request(
            method, url, data=body, headers=headers
        ) as resp:
            return resp.status, await resp.read(), resp.headers

    async def status(self, *args, **kwargs):
        return (await self.call(*args, **kwargs))[0]

    async def ready(self):
        url = f"http://127.0.0.1:{self.ready_address[1]}/ready"
        async with self.session.get(url) as resp:
            return resp.status


class TestRequests(FrontCase):
    async def test_a_job_from_hand_in_to_cancel(self):
        self.assertEqual(await self.status("POST", "/a/" + JOB, BODY), 200)
        _, body, _ = await self.call("GET", "/a/" + JOB)
        self.assertEqual(json.loads(body), {"State": "queued"})
        _, body, _ = await self.call("GET", "/a/")
        self.assertEqual(json.loads(body), {"Waiting": 1})
        self.assertEqual(await self.status("DELETE", "/a/" + JOB), 200)
        await self.until(lambda: self.node.table.find(JOB).cancelled_)
        _, body, _ = await self.call("GET", "/a/" + JOB)
        self.assertEqual(json.loads(body), {"State": "cancelled"})

    async def test_unknown_queues_keys_and_jobs(self):
        self.assertEqual(await self.status("POST", "/c/" + JOB, BODY), 404)
        unknown = {"Key": "other"}
        self.assertEqual(
            await self.status("POST", "/a/" + JOB, BODY, headers=unknown), 401
        )
        self.assertEqual(await self.status("GET", "/a/" + JOB), 410)
        self.assertEqual(await self.status("DELETE", "/a/" + JOB), 410)

    async def test_a_public_queue_needs_no_key(self):
        self.assertEqual(await self.status("POST", "/b/" + JOB, BODY, headers={}), 200)

    async def test_another_team_s_job_is_not_shown(self):
        await self.status("POST", "/a/" + JOB, BODY)
        other = {"Key": "k2"}
        self.assertEqual(await self.status("GET", "/a/" + JOB, headers=other), 410)

    async def test_bad_bodies(self):
        self.assertEqual(await self.status("POST", "/a/" + JOB, b"{"), 400)
        self.assertEqual(await self.status("POST", "/a/" + JOB, b" " * 501), 413)
        self.assertEqual(await self.status("POST", "/a/short", BODY), 404)
        self.assertEqual(self.store.records("work"), [])

    async def test_a_header_that_is_too_long_is_refused(self):
        long = {**KEY, "X-Long": "x" * 2000}
        self.assertEqual(await self.status("GET", "/a/", headers=long), 431)
        self.assertEqual(await self.status("GET", "/a/"), 200)

    async def test_a_connection_without_a_whole_header_is_closed(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address[1])
        writer.write(b"GET /a/ HTTP/1.1\r\nHost: h\r\nX")
        async with asyncio.timeout(HELD_UP_S):
            self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_an_answered_connection_stays_open(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address[1])
        for _ in range(2):
            writer.write(b"GET /b/ HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertIn(b" 200 ", await reader.readline())
            await reader.readuntil(b'{"Waiting":0}')
            await asyncio.sleep(0.4)
        writer.close()

    async def test_half_sent_requests_delay_nobody(self):
        writers = []
        for _ in range(HALF_SENT):
            _, writer = await asyncio.open_connection("127.0.0.1", self.address[1])
            writer.write(b"POST /a/" + JOB.encode() + b" HTTP/1.1\r\nHost: h\r\nX")
            writers.append(writer)
        async with asyncio.timeout(HELD_UP_S):
            self.assertEqual(await self.status("GET", "/a/"), 200)
            self.assertEqual(await self.ready(), 200)
        for writer in writers:
            writer.close()


class TestMetrics(FrontCase):
    async def test_answers_are_counted_as_text(self):
        await self.status("GET", "/c/")
        url = f"http://127.0.0.1:{self.metrics_address[1]}/metrics"
        async with self.session.get(url) as resp:
            text = await resp.text()
        self.assertIn('requests_total{method="GET",status="404"} 1.0', text)
        self.assertIn("request_ms_bucket", text)


class TestOutage(FrontCase):
    async def lose_store(self):
        """Take the store away; a read that it held back may end well after that."""
        self.store.is_down = True
        followers = (self.node.work, self.node.rules)
        await self.until(lambda: not any(one.is_reachable_ for one in followers))

    async def test_refused_at_once_with_a_time_to_return(self):
        await self.lose_store()
        status, _, headers = await self.call("POST", "/a/" + JOB, BODY)
        self.assertEqual(status, 503)
        self.assertGreater(int(headers["Retry-After"]), 0)
        self.assertEqual(self.store.records("work"), [])

    async def test_an_unknown_outcome_is_no_refusal(self):
        self.store.lose_answers = 1000
        with mock.patch.object(_intake, "APPEND_RETRY_WINDOW_MS", 30):
            self.assertEqual(await self.status("POST", "/a/" + JOB, BODY), 504)

    async def test_keys_are_refused_once_they_can_t_be_checked(self):
        await self.lose_store()
        self.node.rules.current_as_of_ -= 2 * LONG_MS
        self.assertEqual(await self.status("GET", "/a/"), 503)
        self.assertEqual(await self.status("GET", "/b/", headers={}), 200)
        self.assertEqual(await self.ready(), 503)

    async def test_an_unknown_key_is_not_denied_by_old_settings(self):
        await self.lose_store()
        self.node.rules.current_as_of_ -= LONG_MS
        other = {"Key": "other"}
        self.assertEqual(await self.status("GET", "/a/", headers=other), 503)


class TestSettings(FrontCase):
    async def put(self, name, value):
        self.catalogs[name] = value
        await self.store.append("rules", [KeyedRecord("config", name)])

    async def test_a_withdrawn_key_stops_working(self):
        await self.put(b"2", catalog(2, keys={"k2": "u"}))
        await self.until(lambda: self.node.catalog_.version == 2)
        self.assertEqual(await self.status("GET", "/a/"), 401)

    async def test_settings_never_go_back(self):
        await self.put(b"3", catalog(3, keys={}))
        await self.put(b"2", catalog(2))
        await self.put(b"4", None)
        await self.until(lambda: self.node.rules.offset_ == 4)
        self.assertEqual(self.node.catalog_.version, 3)

    async def test_a_stopping_entry_answers_but_takes_no_new_callers(self):
        await self.node.stop()
        self.assertEqual(await self.ready(), 503)
        status, _, headers = await self.call("POST", "/a/" + JOB, BODY)
        self.assertEqual((status, headers["Connection"]), (200, "close"))
