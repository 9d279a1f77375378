import json
import unittest

from pimentomill.dispatch.tests.samples import info
from pimentomill.exceptions import ConflictError, FencedError, TransportError
from pimentomill.fleet import EndKind, HoldOrder, StartOrder, StartOutcome
from pimentomill.httpclient import HttpCaller
from pimentomill.jobs import TaskKey
from pimentomill.platform._workers import PlatformWorkers, decode_worker

from .fake_wire import FakeWire

PATIENCE_MS = 20_000
TASK = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
ENTRY = {
    "Service": "s",
    "Address": "10.0.0.9:8080",
    "Zone": "z",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdLeftMs": 0,
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "ClockMs": 1,
    "Sequence": 4,
    "born": 77,
}


class WorkersCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.wire = FakeWire()
        await self.wire.start()
        self.http = HttpCaller(4)
        self.workers = PlatformWorkers(self.http, PATIENCE_MS, PATIENCE_MS)
        self.info = info(address=self.wire.address)

    async def asyncTearDown(self):
        await self.http.close()
        await self.wire.stop()

    def answer(self, path, status, body=b""):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.wire.answers[path] = (status, content)

    async def start(self):
        order = StartOrder(TASK, 2, "text", 486000, 7, "saved", "ticket")
        return await self.workers.start(self.info, order)


class TestStart(WorkersCase):
    async def test_what_is_sent(self):
        self.answer("/run-start", 200, {"ClockMs": 5})
        answer = await self.start()
        self.assertEqual((answer.outcome, answer.clock_ms), (StartOutcome.STARTED, 5))
        _, _, body, headers = self.wire.seen[0]
        self.assertEqual(
            json.loads(body),
            {
                "Task": "5c0e7a21d94b36f8.0.1.17",
                "RunId": 2,
                "Spec": "text",
                "ExpiresMs": 486000,
                "FencingToken": 7,
                "Checkpoint": "saved",
                "Ticket": "ticket",
            },
        )
        self.assertEqual(headers["Expect-Instance"], "w1")

    async def test_each_reason_of_a_rejection(self):
        reasons = {
            "fence": StartOutcome.FENCED,
            "old": StartOutcome.STALE_RUN,
            "late": StartOutcome.TOO_LATE,
            "room": StartOutcome.NO_CAPACITY,
            "ticket": StartOutcome.NO_TICKET,
            "new one": StartOutcome.UNKNOWN,
        }
        for reason, outcome in reasons.items():
            self.answer("/run-start", 409, {"ClockMs": 5, "Reason": reason})
            self.assertIs((await self.start()).outcome, outcome)

    async def test_other_statuses(self):
        statuses = {
            429: StartOutcome.UNHEALTHY,
            503: StartOutcome.UNHEALTHY,
            421: StartOutcome.WRONG_INSTANCE,
            400: StartOutcome.INVALID,
            500: StartOutcome.UNKNOWN,
        }
        for status, outcome in statuses.items():
            self.answer("/run-start", status)
            self.assertIs((await self.start()).outcome, outcome)

    async def test_no_answer_leaves_the_outcome_open(self):
        self.wire.mute.add("/run-start")
        self.workers.start_timeout_ms = 50
        self.assertIs((await self.start()).outcome, StartOutcome.UNKNOWN)

    async def test_nothing_was_started_where_nothing_listens(self):
        await self.wire.stop()
        self.assertIs((await self.start()).outcome, StartOutcome.UNHEALTHY)
        await self.wire.start()


class TestHold(WorkersCase):
    async def hold(self):
        return await self.workers.hold(self.info, HoldOrder(7, 57, 486000, 10))

    async def test_both_lists(self):
        name = "5c0e7a21d94b36f8.0.1.17"
        self.answer(
            "/hold",
            200,
            {
                "ClockMs": 9,
                "born": 77,
                "Running": [[name, 2, "c", 41, 120]],
                "Finished": [[58, name, 1, "done", ""]],
            },
        )
        report = await self.hold()
        self.assertEqual((report.incarnation_ms, report.clock_ms), (77, 9))
        self.assertEqual(report.running[0], (TASK, 2, "c", 41, 120))
        self.assertEqual(report.ended[0], (58, TASK, 1, EndKind.DONE, ""))

    async def test_unreadable_answers(self):
        for body in (b"", b"{}", {"ClockMs": 1, "Running": [["no.task", 1, "", 0]]}):
            self.answer("/hold", 200, body)
            with self.assertRaises(TransportError):
                await self.hold()
        self.answer("/hold", 200, {"ClockMs": 1, "Finished": [[1, "a.0.0.0", 1, "x"]]})
        with self.assertRaises(TransportError):
            await self.hold()

    async def test_a_higher_token_and_another_life(self):
        self.answer("/hold", 409, {"ClockMs": 1, "Reason": "fence"})
        with self.assertRaises(FencedError):
            await self.hold()
        self.answer("/hold", 421)
        with self.assertRaises(ConflictError):
            await self.hold()


class TestEntries(unittest.TestCase):
    def decode(self, **changes):
        entry = {**ENTRY, **changes}
        entry = {name: value for name, value in entry.items() if value is not None}
        return decode_worker("i-1", json.dumps(entry).encode())

    def test_a_whole_entry(self):
        found = self.decode()
        self.assertEqual(
            (found.service, found.rack, found.incarnation_ms), ("s", "r1-3", 77)
        )
        self.assertEqual(found.capacity.memory_mb, 32768)
        self.assertFalse(found.is_draining)

    def test_a_draining_worker_and_the_time_it_stays(self):
        found = self.decode(State="draining", RemainingMs=1800)
        self.assertTrue(found.is_draining)
        self.assertEqual(found.min_remaining_ms, 1800)

    def test_entries_of_other_writers_name_no_worker(self):
        for changes in (
            {"Service": None},
            {"Address": None},
            {"Address": ""},
            {"State": "resting"},
            {"State": 7},
            {"Capacity": None},
            {"Capacity": {"Cpu": "many"}},
            {"Labels": "a"},
        ):
            self.assertIsNone(self.decode(**changes), changes)
        self.assertIsNone(decode_worker("i-1", b"\x00\xff"))
