import asyncio
import unittest
from unittest import mock

import msgspec

from pimentomill.control import PolicyTickets
from pimentomill.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    ProcessEndedError,
    StateUnavailableError,
    TransportError,
)
from pimentomill.httpclient import HttpClient
from pimentomill.jobs import JobState, KeyedRecord, StepKey
from pimentomill.links import (
    CallerAnswer,
    CallerRequest,
    LeaseOutcome,
    LeaseQuery,
    LinkClient,
    LinkServer,
    RemotePolicyClient,
    Watcher,
    WatchOutcome,
    _client,
    _server,
)
from pimentomill.overload import LoadReport, PoolLoad
from pimentomill.replica import ENROLMENT_MS, GrantRefusal, LeaseRequest

STEP = StepKey("a" * 16, 0, 1)
RECORDS = [KeyedRecord("k", b"\x00v")]
REQUEST = CallerRequest("GET", "h", "/q/" + "a" * 16, "key", b"")


class FakePolicyClient:
    name = "n1"

    def __init__(self):
        self.fails = False

    async def ask(self, step, workers):
        if self.fails:
            raise TransportError("refused", False)
        return PolicyTickets({workers[0]: str(step.step)}, 1500)


class FakeServices:
    def __init__(self):
        self.appended = []
        self.notified = []
        self.enrolled = []
        self.lease_requests = []
        self.refusal = None
        self.error = None
        self.is_writing_ = True
        self.has_resigned_ = False

    def is_writing(self):
        return self.is_writing_

    def raise_error(self):
        if self.error is not None:
            raise self.error

    async def append_for(self, records):
        self.raise_error()
        self.appended += records

    def on_appended(self, first, records):
        self.notified.append((first, records))

    def enrol(self, incarnation, address):
        self.enrolled.append((incarnation, address))

    def grant_lease(self, req):
        self.lease_requests.append(req)
        return self.refusal

    def state_for(self, job):
        self.raise_error()
        return JobState.RUNNING

    async def answer_for(self, req):
        self.raise_error()
        return CallerAnswer(200, req.path.encode(), version=3)


class TestLinks(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.policy_client = FakePolicyClient()
        self.services = FakeServices()
        self.server = LinkServer(
            self.policy_client, "life-1", self.services, self.services.answer_for
        )
        await self.server.start("127.0.0.1", 0)
        port = self.server.address_[1]
        self.address = f"127.0.0.1:{port}"
        self.http = HttpClient(4)
        self.client = LinkClient(self.http)

    async def asyncTearDown(self):
        await self.http.close()
        await self.server.stop()

    async def query_policy(self):
        remote = RemotePolicyClient("n1", self.address, self.client)
        return await remote.ask(STEP, ["w1", "w2"])

    async def test_policy_query_through_another_entry(self):
        answer = await self.query_policy()
        self.assertEqual((answer.tickets, answer.valid_ms), ({"w1": "1"}, 1500))
        self.policy_client.fails = True
        with self.assertRaises(TransportError):
            await self.query_policy()

    async def test_a_query_through_an_entry_that_has_ended_says_so(self):
        """Guards against a long backoff for an entry that is only restarting."""
        await self.query_policy()
        await self.server.stop()
        with self.assertRaises(ProcessEndedError):
            await self.query_policy()

    async def test_append_through_another_entry(self):
        await self.client.append(self.address, RECORDS)
        self.assertEqual(self.services.appended, RECORDS)

    async def test_outcome_reported_by_other_entry_is_preserved(self):
        for error in (LogUnavailableError("down"), AppendUnknownError("lost")):
            self.services.error = error
            with self.assertRaises(type(error)):
                await self.client.append(self.address, RECORDS)

    async def test_internal_error_of_other_entry_is_not_rejection(self):
        self.services.error = ValueError("unexpected")
        with (
            mock.patch.object(_server._log, "warning") as warning,
            self.assertRaises(AppendUnknownError),
        ):
            await self.client.append(self.address, RECORDS)
        self.assertIn("ValueError: unexpected", warning.call_args.kwargs["traceback"])

    async def test_a_record_beyond_the_bound_is_not_appended(self):
        large = [KeyedRecord("k", bytes(_server.BOUNDS.body_bytes))]
        with self.assertRaises(AppendUnknownError):
            await self.client.append(self.address, large)
        self.assertEqual(self.services.appended, [])
        await self.client.append(self.address, RECORDS)
        self.assertEqual(self.services.appended, RECORDS)

    async def test_leader_is_notified_of_records_and_queried_for_state(self):
        await self.client.notify_appended(self.address, 7, RECORDS)
        self.assertEqual(self.services.notified, [(7, RECORDS)])
        state = await self.client.query_state(self.address, "a" * 16)
        self.assertIs(state, JobState.RUNNING)
        self.services.error = StateUnavailableError("another entry leads")
        with self.assertRaises(TransportError):
            await self.client.query_state(self.address, "a" * 16)

    async def test_caller_is_answered_by_another_entry(self):
        answer = await self.client.forward(self.address, REQUEST)
        expected = CallerAnswer(200, REQUEST.path.encode(), version=3)
        self.assertEqual(answer, expected)
        self.services.error = StateUnavailableError("no store here")
        with self.assertRaises(StateUnavailableError):
            await self.client.forward(self.address, REQUEST)

    async def test_nothing_is_stored_if_connection_is_refused(self):
        await self.server.stop()
        with self.assertRaises(LogUnavailableError):
            await self.client.append(self.address, RECORDS)

    async def watch(self, incarnation, on_heartbeat=lambda is_writing: None):
        return await self.client.watch_incarnation(
            self.address, incarnation, on_heartbeat
        )

    async def test_a_watch_enrols_the_entry_that_requests_it(self):
        watcher = Watcher("life-2", "10.0.0.2:1")
        with mock.patch.object(_server, "WATCH_DURATION_S", 0.1):
            await self.client.watch_incarnation(
                self.address, "life-1", lambda is_writing: None, watcher=watcher
            )
            await self.watch("life-1")
            await self.client.watch_incarnation(
                self.address, "life-0", lambda is_writing: None, watcher=watcher
            )
        self.assertEqual(self.services.enrolled, [("life-2", "10.0.0.2:1")])

    # Guards against an entry that can't claim, as its enrolment has ended while it
    # watches the leader.
    def test_the_next_watch_renews_the_enrolment_before_it_ends(self):
        self.assertLess(1000 * _server.WATCH_DURATION_S, 0.75 * ENROLMENT_MS)

    async def request_lease(self, grantor="life-1"):
        """Request a lease without a time limit, as the outcome is under test."""
        query = LeaseQuery(3, "life-l", grantor)
        with mock.patch.object(_client, "LEASE_TIMEOUT_MS", 60_000):
            return await self.client.request_lease(self.address, query)

    async def test_a_lease_is_granted_or_refused(self):
        self.assertIs(await self.request_lease(), LeaseOutcome.GRANTED)
        self.assertEqual(self.services.lease_requests, [LeaseRequest(3, "life-l")])
        self.services.refusal = GrantRefusal.CLAIMED
        self.assertIs(await self.request_lease(), LeaseOutcome.REFUSED)

    async def test_an_incarnation_that_has_ended_grants_no_lease(self):
        self.assertIs(await self.request_lease("life-0"), LeaseOutcome.ENDED)
        await self.server.stop()
        await self.http.close()
        self.http = HttpClient(4)
        self.client = LinkClient(self.http)
        self.assertIs(await self.request_lease(), LeaseOutcome.ENDED)

    # Guards against an entry that is taken for ended after its connections were reset.
    async def test_a_closed_connection_does_not_show_an_end(self):
        async def close(reader, writer):
            writer.close()

        server = await asyncio.start_server(close, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        query = LeaseQuery(3, "life-l", "life-1")
        outcome = await self.client.request_lease(f"127.0.0.1:{port}", query)
        self.assertIs(outcome, LeaseOutcome.UNKNOWN)
        server.close()
        await server.wait_closed()

    # Guards against an election that ends with an error, as another writer has left a
    # leader whose address can't be used.
    async def test_a_watch_of_an_unusable_address_is_inconclusive(self):
        for self.address in ("a..b:1", "127.0.0.1:99999", "." * 300 + ":1"):
            self.assertIs(await self.watch("life"), WatchOutcome.INCONCLUSIVE)

    async def test_a_watch_delivers_load_reports_besides_heartbeats(self):
        report = LoadReport(3, 20, {"p": PoolLoad({0: [0, 5], 2: [1, 9]}, ["t"])})
        self.server.load_report = lambda: report
        reports, heartbeats = [], []
        with mock.patch.object(_server, "WATCH_DURATION_S", 0.5):
            await self.client.watch_incarnation(
                self.address, "life-1", heartbeats.append, reports.append
            )
        self.assertIn(len(reports), (1, 2))
        self.assertEqual(reports[0], report)
        self.assertGreater(len(heartbeats), len(reports))
        self.assertEqual(set(heartbeats), {True})

    def test_reports_that_arrive_in_parts_are_put_together(self):
        """A network splits and joins what was sent; a part is no failing heartbeat."""
        report = LoadReport(3, 20, {"p": PoolLoad({0: [5]}, [])})
        stream = b".\n" + msgspec.json.encode(report) + b"\n."
        for size in (1, 7, len(stream)):
            reader, reports, heartbeats = _client._WatchReader(), [], []
            for first in range(0, len(stream), size):
                found, is_writing = reader.read(stream[first : first + size])
                reports += found
                heartbeats.append(is_writing)
            self.assertEqual(reports, [report])
            self.assertNotIn(False, heartbeats)
        found, is_writing = _client._WatchReader().read(b".\n{x}\n!")
        self.assertEqual((found, is_writing), ([], False))

    async def test_ended_incarnation_is_detected(self):
        self.assertIs(await self.watch("life-0"), WatchOutcome.ENDED)
        await self.server.stop()
        self.assertIs(await self.watch("life-1"), WatchOutcome.ENDED)

    async def test_watch_ends_if_leader_steps_down(self):
        def on_heartbeat(is_writing):
            self.services.has_resigned_ = True

        self.assertIs(
            await self.watch("life-1", on_heartbeat), WatchOutcome.INCONCLUSIVE
        )

    async def test_heartbeats_arrive_until_timeout(self):
        heartbeats = []

        def on_heartbeat(is_writing):
            heartbeats.append(is_writing)
            self.services.is_writing_ = False
            if len(heartbeats) == 2:
                self.patcher = mock.patch.object(_server, "HEARTBEAT_INTERVAL_S", 60.0)
                self.patcher.start()
                self.addCleanup(self.patcher.stop)

        self.assertIs(await self.watch("life-1", on_heartbeat), WatchOutcome.TIMED_OUT)
        self.assertEqual((heartbeats[0], heartbeats[-1]), (True, False))
