import asyncio
import contextlib
import json
import unittest

import eliot
import msgspec

from pimentomill.control import SPEEDS_KEY, ControlSettings, Features
from pimentomill.control._leader_state import LeaderState
from pimentomill.dispatch.tests.samples import accepted, step
from pimentomill.fleet import EndKind
from pimentomill.httpclient import HttpClient
from pimentomill.jobs import (
    Cancelled,
    JobState,
    JobTable,
    KeyedRecord,
    Progress,
    StepCrashes,
    StepProgress,
    Withdrawn,
    accepted_key,
    cancelled_key,
    encode_record,
    progress_key,
)
from pimentomill.links import LinkClient
from pimentomill.node import CellNode, NodeSettings
from pimentomill.platform._rules import decode_rule, decode_rules
from pimentomill.platform._workers import PlatformWorkers, decode_worker
from pimentomill.speeds import SpeedModel
from pimentomill.standins import MemoryStore, MemoryWorkers
from pimentomill.telemetry import CellMetrics
from pimentomill.usage import USAGE_KEY, TeamUsage, UsageLedger, UsageRecord
from pimentomill.utils import ManualClock, SystemClock

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

    def check_job_record(self, key, value):
        """Check that a successor takes the cell's jobs over beside a record."""
        table = JobTable()
        job = accepted(ODD_JOB, [step(3), step(depends_on=(0,))])
        if key != accepted_key(ODD_JOB):
            table.apply(accepted_key(ODD_JOB), encode_record(job))
        if table.apply(key, value) is None:
            self.assert_logged(key)
        state = LeaderState(2, ManualClock(1000), table.find)
        for entry in table.iter_accepted():
            state.sync_job(entry.accepted_.job, entry, inherited=True)
        list(state.ready_steps())
        state.pop_changes()
        table.apply(cancelled_key(ODD_JOB), encode_record(Cancelled(ODD_JOB, 1)))
        state.sync_job(ODD_JOB, table.find(ODD_JOB), inherited=False)
        for record in state.pop_changes()[0]:
            encode_record(record)

    # Guards against a cell without a leader, as each successor fails at the same job.
    def test_each_job_record_is_taken_over_or_ignored(self):
        steps = [step(estimate_ms=5, max_per_worker=1), step(2, depends_on=(0,))]
        done = StepProgress(0, 0, b"\1", {1: (2,)}, {2: "c"})
        crashes = StepCrashes(0, 0, {1: (2,)}, {1: (2,)})
        progress = Progress(ODD_JOB, JobState.RUNNING, 1, (done,), (crashes,))
        withdrawn = Withdrawn(ODD_JOB, "q", "t", 1)
        for key, record in (
            (accepted_key(ODD_JOB), accepted(ODD_JOB, steps)),
            (accepted_key(ODD_JOB), accepted(ODD_JOB, steps, occurrences=2)),
            (progress_key(ODD_JOB), progress),
            (cancelled_key(ODD_JOB), Cancelled(ODD_JOB, 1)),
            (withdrawn.key, withdrawn),
        ):
            for name, value in odd_msgpack_records(plain(record)).items():
                with self.subTest(key=key[:2], shape=name):
                    self.logged.clear()
                    self.check_job_record(key, value)

    # Guards against a record that is taken for one of another job or kind.
    def test_a_job_record_under_the_key_of_another_is_ignored(self):
        value = encode_record(accepted(ODD_JOB, [step()]))
        keys = [prefix + key for prefix in ("j:", "p:", "c:", "d:") for key in ODD_KEYS]
        for key in (*keys, progress_key(ODD_JOB), accepted_key("f" * 16)):
            table = JobTable()
            self.assertIsNone(table.apply(key, value), key)
            self.assertEqual(table.entries_, {})
            self.assert_logged(key)

    # Guards against a cell without a leader: a step of so many tasks fills the memory.
    async def test_an_entry_leads_beside_a_job_with_countless_tasks(self):
        job = plain(accepted(ODD_JOB, [step()]))
        for count in (0, -1, 10**6, 10**15, 2**63):
            job["spec"]["steps"][0]["count"] = count
            key = accepted_key(ODD_JOB)
            self.put("work", key, msgspec.msgpack.encode(job))
            await self.start_entry()
            await self.run_job()
            await self.stop_entry()
        await self.start_entry()
        await self.check_serving()

    # Guards against settings that another writer has left and that end the process.
    async def test_jobs_run_beside_every_odd_rule(self):
        rules = {**CONFIG, "Version": 7}
        await self.start_entry()
        for value in odd_json_records(rules).values():
            catalog = decode_rules(value)
            if catalog is None or self.is_harmless(catalog):
                self.put("rules", "config", value)
        for key in (*ODD_KEYS, "evacuate/", "evacuate/a\nb", "evacuate/" + "x" * 240):
            for value in (b"{}", b"[" * 200_000, b""):
                self.put("rules", key, value)
        await self.run_job()
        # An entry that starts knows no settings from before.
        self.put_rule("config", json.dumps(CONFIG).encode())
        await self.check_serving()

    @staticmethod
    def is_harmless(catalog):
        """Return whether settings send the jobs of the tests to their workers."""
        queue = catalog.queues.get("q")
        limits = [team.limit for team in catalog.teams.values()]
        return (
            queue is not None
            and queue.service == "s"
            and all(limit.is_zero() for limit in limits)
        )
