import json
import unittest
from unittest import mock

from pimentomill.dispatch.tests.samples import info
from pimentomill.exceptions import ConflictError, FencedError, TransportError
from pimentomill.fleet import EndKind, HoldOrder, StartOrder, StartOutcome
from pimentomill.httpclient import HttpClient
from pimentomill.jobs import TaskKey
from pimentomill.platform._workers import PlatformWorkers, decode_worker

from .fake_wire import FakeWire
from .odd_shapes import DEPTHS, LOCALLY_ODD_ADDRESSES

TIMEOUT_MS = 20_000
TASK = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
REGISTRATION = {
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
        self.http = HttpClient(4)
        self.workers = PlatformWorkers(self.http, TIMEOUT_MS, TIMEOUT_MS)
        self.info = info(address=self.wire.address)

    async def asyncTearDown(self):
        await self.http.close()
        await self.wire.stop()

    def set_answer(self, path, status, body=b""):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.wire.answers[path] = (status, content)

    async def start(self):
        order = StartOrder(TASK, 2, "text", 486000, 7, "saved", "ticket")
        return await self.workers.start(self.info, order)


class TestStart(WorkersCase):
    async def test_request(self):
        self.set_answer("/run-start", 200, {"ClockMs": 5})
        answer = await self.start()
        self.assertEqual((answer.outcome, answer.clock_ms), (StartOutcome.STARTED, 5))
        _, _, body, headers = self.wire.requests[0]
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

    async def test_rejection_reasons(self):
        reasons = {
            "fence": StartOutcome.FENCED,
            "old": StartOutcome.STALE_RUN,
            "late": StartOutcome.TOO_LATE,
            "room": StartOutcome.NO_CAPACITY,
            "ticket": StartOutcome.NO_TICKET,
            "new one": StartOutcome.UNKNOWN,
        }
        for reason, outcome in reasons.items():
            self.set_answer("/run-start", 409, {"ClockMs": 5, "Reason": reason})
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
            self.set_answer("/run-start", status)
            self.assertIs((await self.start()).outcome, outcome)

    async def test_timeout_is_an_unknown_outcome(self):
        self.wire.unanswered.add("/run-start")
        self.workers.start_timeout_ms = 50
        self.assertIs((await self.start()).outcome, StartOutcome.UNKNOWN)

    async def test_refused_connection_means_nothing_was_started(self):
        await self.wire.stop()
        self.assertIs((await self.start()).outcome, StartOutcome.UNHEALTHY)
        await self.wire.start()


class TestHold(WorkersCase):
    async def hold(self):
        return await self.workers.hold(self.info, HoldOrder(7, 57, 486000, 10))

    # Guards against a worker that stays out of reach for a lease, as each connection
    # that has gone silent takes a time-out of its own.
    async def test_a_hold_without_an_answer_leads_to_new_connections(self):
        self.wire.unanswered.add("/hold")
        self.workers.hold_timeout_ms = 50
        with mock.patch.object(self.http, "_renew") as renew:
            with self.assertRaises(TransportError):
                await self.hold()
            renew.assert_called_once_with(f"http://{self.wire.address}/hold")
            self.wire.unanswered.add("/run-start")
            self.workers.start_timeout_ms = 50
            await self.start()
            renew.assert_called_once()

    # Guards against a worker that stays in use, as a call to an address that another
    # writer has left fails in a way that does not count as silence.
    async def test_a_call_to_an_unusable_address_gets_no_answer(self):
        for address in LOCALLY_ODD_ADDRESSES:
            self.info = info(address=address)
            with self.assertRaises(TransportError) as raised:
                await self.hold()
            self.assertFalse(raised.exception.sent, address)
            self.assertLess(len(str(raised.exception)), 300)
            self.assertIs((await self.start()).outcome, StartOutcome.UNHEALTHY)
        self.info = info("line\nbreak", address=self.wire.address)
        with self.assertRaises(TransportError):
            await self.hold()

    # Guards against a worker that stays in use, as its answer can't be decoded.
    async def test_a_deeply_nested_answer_can_not_be_decoded(self):
        nested = b"[" * 200_000 + b"]" * 200_000
        self.set_answer("/hold", 200, b'{"ClockMs":1,"Odd":' + nested + b"}")
        with self.assertRaises(TransportError):
            await self.hold()

    async def test_running_and_finished_runs(self):
        name = "5c0e7a21d94b36f8.0.1.17"
        self.set_answer(
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

    async def test_invalid_answers(self):
        name = "5c0e7a21d94b36f8.0.1.17"
        rows = [
            ["no.task", 1, "", 0],
            [5, 1, "", 0],
            [name, 1, None, 0],
            [name, "1", "", 0],
            [name, 1, "", 1e400],
            [name],
            {},
        ]
        reports = [{"ClockMs": 1, "Running": [row]} for row in rows]
        reports.append({"ClockMs": 1, "Finished": [[1, name, 1, "done", 7]]})
        for body in (b"", b"{}", *reports):
            self.set_answer("/hold", 200, body)
            with self.assertRaises(TransportError):
                await self.hold()
        self.set_answer(
            "/hold", 200, {"ClockMs": 1, "Finished": [[1, "a.0.0.0", 1, "x"]]}
        )
        with self.assertRaises(TransportError):
            await self.hold()

    async def test_higher_token_and_other_incarnation(self):
        self.set_answer("/hold", 409, {"ClockMs": 1, "Reason": "fence"})
        with self.assertRaises(FencedError):
            await self.hold()
        self.set_answer("/hold", 421)
        with self.assertRaises(ConflictError):
            await self.hold()


class TestRegistrations(unittest.TestCase):
    def decode(self, **changes):
        registration = {**REGISTRATION, **changes}
        registration = {
            name: value for name, value in registration.items() if value is not None
        }
        found = decode_worker("i-1", json.dumps(registration).encode())
        return found if found is None else found.info

    def test_complete_registration(self):
        found = self.decode()
        self.assertEqual(
            (found.service, found.rack, found.incarnation_ms), ("s", "r1-3", 77)
        )
        self.assertEqual(found.kind, REGISTRATION["Labels"][0])
        self.assertEqual(found.capacity.memory_mb, 32768)
        self.assertFalse(found.is_draining)

    def test_cold_worker_in_a_data_centre(self):
        for left_ms, expected in ((2500.4, 2500), (0, 0), (-1, 0)):
            value = json.dumps({**REGISTRATION, "ColdLeftMs": left_ms}).encode()
            found = decode_worker("i-1", value)
            self.assertEqual((found.info.zone, found.cold_left_ms), ("z", expected))
        plain = {key: REGISTRATION[key] for key in REGISTRATION if key != "ColdLeftMs"}
        found = decode_worker("i-1", json.dumps(plain).encode())
        self.assertEqual(found.cold_left_ms, 0)

    def test_draining_worker_and_its_remaining_time(self):
        found = self.decode(State="draining", RemainingMs=1800)
        self.assertTrue(found.is_draining)
        self.assertEqual(found.min_remaining_ms, 1800)

    def test_invalid_registrations_are_ignored(self):
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


class TestNestedRegistration(unittest.TestCase):
    # Guards against a worker that stays in use although its entry can't be read.
    def test_a_deeply_nested_entry_names_no_worker(self):
        for depth in DEPTHS:
            nested = "[" * depth + "]" * depth
            for field in ("Odd", "Capacity", "born"):
                value = json.dumps({**REGISTRATION, field: "@"})
                odd = value.replace('"@"', nested).encode()
                self.assertIsNone(decode_worker("w", odd), (depth, field))
