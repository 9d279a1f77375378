import asyncio
import contextlib
import json
import unittest

import eliot
import msgspec

from pimentomill.control import SPEEDS_KEY, ControlSettings, Features
from pimentomill.dispatch.tests.samples import accepted, step
from pimentomill.fleet import EndKind
from pimentomill.httpclient import HttpClient
from pimentomill.jobs import (
    JobState,
    KeyedRecord,
)
from pimentomill.links import LinkClient
from pimentomill.node import CellNode, NodeSettings
from pimentomill.platform._rules import decode_rule
from pimentomill.platform._workers import PlatformWorkers, decode_worker
from pimentomill.speeds import SpeedModel
from pimentomill.standins import MemoryStore, MemoryWorkers
from pimentomill.telemetry import CellMetrics
from pimentomill.usage import USAGE_KEY, TeamUsage, UsageLedger, UsageRecord
from pimentomill.utils import SystemClock

from .odd_shapes import (
    ODD_ADDRESSES,
    ODD_KEYS,
    deeply_nested_records,
    odd_json_records,
    odd_msgpack_records,
)

WAIT_S = 40.0
ODD_JOB = "0dd" + "0" * 13
CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "q",
            "Host": "h",
            "PathPrefix": "/q/",
            "Service": "s",
            "Priority": 1,
            "MaxAttempts": 2,
            "Stretch": 2.0,
            "TargetLatencyMs": 1000,
            "TimeoutMs": 3000,
            "Public": False,
        }
    ],
    "Services": [{"Name": "s"}],
    "Tenants": [
        {
            "Name": "t",
            "ApiKeys": ["k"],
            "Weight": 1.0,
            "MaxCount": {"Cpu": 0, "MemMb": 0, "Gpu": 0},
        }
    ],
    "Limits": {"HeaderBytes": 16384, "MaxBodyBytes": 262144},
}
REGISTRATION = {
    "Service": "s",
    "Address": "127.0.0.1:1",
    "Zone": "z",
    "State": "ready",
    "ColdLeftMs": 0,
    "RemainingMs": 0,
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1"],
    "born": 1,
}
MAX_LOG_CHARS = 2000
"""Most characters of a log line about an entry, however long the entry is."""


def plain(record) -> dict | list:
    """Return a record as the dicts and lists of its stored form."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(record))


class RoutedWorkers(PlatformWorkers):
    """Calls in-memory workers, and all others at their registered address."""

    def __init__(self, http, memory):
        super().__init__(http, 300, 300)
        self.memory = memory

    def _port(self, info):
        return self.memory if info.worker in self.memory.workers else super()

    async def start(self, info, order):
        return await self._port(info).start(info, order)

    async def stop(self, info, task, run, token):
        return await self._port(info).stop(info, task, run, token)

    async def hold(self, info, order):
        return await self._port(info).hold(info, order)


class OddRecordsCase(unittest.IsolatedAsyncioTestCase):
    """Run an entry on an in-memory store that another writer writes to as well."""

    async def asyncSetUp(self):
        self.store = MemoryStore(page_size=50)
        self.memory = MemoryWorkers()
        self.http = HttpClient(4)
        self.logged = []
        self.failures = []
        self.job_count = 0
        self.running = None
        eliot.add_destinations(self.on_log)
        self.put_rule("config", json.dumps(CONFIG).encode())
        self.list_worker("w1")

    async def asyncTearDown(self):
        await self.stop_entry()
        eliot.remove_destination(self.on_log)
        await self.http.close()

    def on_log(self, message):
        text = message.get("text", "")
        self.logged.append(message)
        if "Task failed" in text:
            self.failures.append(message)

    def put(self, stream, key, value):
        self.store.records(stream).append(KeyedRecord(key, value))

    def put_rule(self, key, value):
        self.put("rules", key, value)

    def list_worker(self, name, **changes):
        self.memory.add(name)
        value = json.dumps({**REGISTRATION, **changes}).encode()
        self.put("workers", name, value)

    async def start_entry(self, name="n1"):
        self.node = CellNode(
            NodeSettings(name, "127.0.0.1:1", 60_000, silence_ms=300),
            ControlSettings(
                hold_wait_ms=50,
                hold_gap_ms=1,
                retry_ms=10,
                beat_ms=50,
                lease_ms=1000,
                features=Features(worker_speeds=True, past_use_half_life_s=60),
            ),
            self.store,
            RoutedWorkers(self.http, self.memory),
            None,
            decode_rule,
            decode_worker,
            LinkClient(self.http),
            SystemClock(),
            CellMetrics(),
        )
        self.running = asyncio.ensure_future(self.node.run())
        await self.wait_until(lambda: self.node.leader_ is not None, "no leader")

    async def stop_entry(self):
        if self.running is not None:
            self.running.cancel()
            await asyncio.gather(self.running, return_exceptions=True)
            self.running = None

    async def wait_until(self, condition, why):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WAIT_S):
                while not condition():
                    self.assertFalse(
                        self.running is not None and self.running.done(), why
                    )
                    await asyncio.sleep(0.005)
        self.assertTrue(condition(), why)

    async def run_job(self, worker="w1", **fields):
        """Submit a job through the entry and let it run to its end on a worker."""
        self.job_count += 1
        job = f"{self.job_count:016x}"
        label = {"required_label": worker} if worker != "w1" else {}
        spec = accepted(steps=[step(**label, **fields)]).spec
        await self.node.intake.submit(self.node.catalog_.queues["q"], "t", job, spec)
        await self.wait_until(
            lambda: any(task.job == job for _, task, _ in self.memory.started),
            f"job {self.job_count} did not start",
        )
        name, task, _ = next(s for s in self.memory.started if s[1].job == job)
        self.memory.end(name, task, EndKind.DONE)
        await self.wait_until(
            lambda: self.node.table.state_of(job) is JobState.COMPLETED,
            f"job {self.job_count} was not completed",
        )

    async def check_serving(self):
        """Check that jobs run, also on a new worker and under another leader."""
        await self.run_job()
        self.list_worker("w9", Labels=["a", "r1", "w9"])
        await self.run_job("w9")
        await self.stop_entry()
        await self.start_entry("n2")
        await self.run_job()
        await self.run_job("w9")
        why = [(item.get("why"), item.get("trace")) for item in self.failures]
        self.assertEqual(why[:1], [])

    def assert_logged(self, key):
        """Check that a log line says why a key was ignored."""
        found = any(
            key in (line.get("key"), line.get("worker")) and line.get("why")
            for line in self.logged
        )
        self.assertTrue(found, key[:50])


class TestOddWorkers(OddRecordsCase):
    """Another writer leaves odd entries among those of the workers."""

    def put_shapes(self, shapes):
        for number, value in enumerate(shapes.values()):
            self.put("workers", f"odd-{number}", value)

    # Guards against one odd entry that ends the process or keeps new workers unused.
    async def test_jobs_run_beside_every_odd_entry(self):
        shapes = odd_json_records(REGISTRATION)
        for address in ODD_ADDRESSES:
            value = {**REGISTRATION, "Address": address}
            shapes[f"address {address!r}"] = json.dumps(value).encode()
        self.put_shapes(shapes)
        for key in ODD_KEYS:
            self.put("workers", key, json.dumps(REGISTRATION).encode())
        await self.start_entry()
        await self.check_serving()

    # Guards against a leader that stops following the list at an odd entry.
    async def test_an_odd_entry_written_while_jobs_run(self):
        await self.start_entry()
        await self.run_job()
        shapes = odd_json_records(REGISTRATION)
        for value in shapes.values():
            self.put("workers", "odd", value)
        await self.check_serving()

    # Guards against an operator who can't see which entry was left out.
    async def test_each_entry_left_out_is_logged_with_its_reason(self):
        for name, value in odd_json_records(REGISTRATION).items():
            self.logged.clear()
            if decode_worker("w-odd", value) is None:
                self.assert_logged("w-odd")
                self.assertLess(len(str(self.logged[-1])), MAX_LOG_CHARS, name)

    # Guards against a worker that can't be called but counts as one to use.
    def test_an_entry_with_an_impossible_field_names_no_worker(self):
        for field, value in (
            *(("Address", address) for address in ODD_ADDRESSES),
            ("Capacity", {"Cpu": -1}),
            ("Capacity", {"MemMb": 2**53}),
            ("Capacity", {"Gpu": 2**70}),
            ("RemainingMs", 2**64),
            ("RemainingMs", -(2**70)),
            ("ColdLeftMs", 1e308),
            ("born", 10**400),
            ("born", -1),
        ):
            odd = json.dumps({**REGISTRATION, field: value}).encode()
            self.assertIsNone(decode_worker("w", odd), (field, value))

    # Guards against a check that leaves out workers that can be used.
    def test_usual_entries_are_used(self):
        for field, value in (
            ("Address", "10.0.0.9:8080"),
            ("Address", "10.0.0.9:65535"),
            ("Address", "[fe80::1]:80"),
            ("Address", "worker-1.cell_2.example:80"),
            ("Capacity", {}),
            ("RemainingMs", -3),
            ("RemainingMs", 2**40),
            ("ColdLeftMs", 3.5),
            ("born", 1_800_000_000_000),
            ("Odd", [[{"a": 2**70}]]),
        ):
            entry = json.dumps({**REGISTRATION, field: value}).encode()
            self.assertIsNotNone(decode_worker("w", entry), (field, value))


class TestOddRecordsOfTheCell(OddRecordsCase):
    """Another writer leaves odd records among those of the cell itself."""

    async def lead_after(self, key, shapes):
        """Check for each value that an entry which starts with it can lead."""
        for name, value in shapes.items():
            with self.subTest(name):
                self.put("work", key, value)
                try:
                    await self.start_entry()
                finally:
                    await self.stop_entry()
                failures = [item.get("trace") for item in self.failures]
                self.assertEqual(failures[:1], [])

    # Guards against a cell without a leader, as each successor reads the same record.
    async def test_an_entry_leads_whatever_its_predecessor_seems_to_have_left(self):
        usage = UsageRecord(1, 60.0, (TeamUsage("t", 12.5, 0.5, 1.0),))
        speeds = [30, [1, 2], [["a", 1, 2]], [["image", 1, 2]], [["w1", 0, 1, 2]]]
        nested = deeply_nested_records
        await self.lead_after(USAGE_KEY, nested(plain(usage)))
        await self.lead_after(SPEEDS_KEY, nested(speeds))
        await self.start_entry()
        await self.check_serving()

    # Guards against an error in a value that no play has tried.
    def test_each_usage_record_is_restored_or_ignored(self):
        usage = UsageRecord(1, 60.0, (TeamUsage("t", 12.5, 0.5, 1.0),))
        for name, value in odd_msgpack_records(plain(usage)).items():
            with self.subTest(name), contextlib.suppress(ValueError):
                UsageLedger(60).restore(value, 0)

    # Guards against an error in a value that no play has tried.
    def test_each_speeds_record_is_restored_or_ignored(self):
        speeds = [30, [1, 2], [["a", 1, 2]], [["image", 1, 2]], [["w1", 0, 1, 2]]]
        for name, value in odd_msgpack_records(speeds).items():
            model = SpeedModel(1.5)
            with self.subTest(name), contextlib.suppress(msgspec.DecodeError):
                model.restore(value)
                model.encode()
