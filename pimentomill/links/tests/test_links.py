import unittest
from unittest import mock

from pimentomill.control import PolicyTickets
from pimentomill.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    StateUnavailableError,
    TransportError,
)
from pimentomill.httpclient import HttpCaller
from pimentomill.jobs import JobState, KeyedRecord, StepKey
from pimentomill.links import (
    CallerAnswer,
    CallerRequest,
    EntryLinks,
    LifeSign,
    LinkServer,
    RemoteAdvisor,
    _server,
)

STEP = StepKey("a" * 16, 0, 1)
RECORDS = [KeyedRecord("k", b"\x00v")]
REQUEST = CallerRequest("GET", "h", "/q/" + "a" * 16, "key", b"")


class FakeAdvisor:
    name = "n1"

    def __init__(self):
        self.fails = False

    async def ask(self, step, workers):
        if self.fails:
            raise TransportError("refused", False)
        return PolicyTickets({workers[0]: str(step.step)}, 1500)


class FakeServices:
    def __init__(self):
        self.kept = []
        self.noted = []
        self.error = None
        self.writing = True
        self.has_resigned_ = False

    def is_writing(self):
        return self.writing

    def check(self):
        if self.error is not None:
            raise self.error

    async def append_for(self, records):
        self.check()
        self.kept += records

    def note_appended(self, first, records):
        self.noted.append((first, records))

    def state_for(self, job):
        self.check()
        return JobState.RUNNING

    async def answer_for(self, req):
        self.check()
        return CallerAnswer(200, req.path.encode(), version=3)


class TestLinks(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.advisor = FakeAdvisor()
        self.services = FakeServices()
        self.server = LinkServer(
            self.advisor, "life-1", self.services, self.services.answer_for
        )
        await self.server.start("127.0.0.1", 0)
        port = self.server._runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"
        self.http = HttpCaller(4)
        self.links = EntryLinks(self.http)

    async def asyncTearDown(self):
        await self.http.close()
        await self.server.stop()

    async def ask(self):
        advisor = RemoteAdvisor("n1", self.address, self.links)
        return await advisor.ask(STEP, ["w1", "w2"])

    async def test_a_question_through_another_entry(self):
        given = await self.ask()
        self.assertEqual((given.tickets, given.valid_ms), ({"w1": "1"}, 1500))
        self.advisor.fails = True
        with self.assertRaises(TransportError):
            await self.ask()

    async def test_an_append_through_another_entry(self):
        await self.links.append(self.address, RECORDS)
        self.assertEqual(self.services.kept, RECORDS)

    async def test_what_the_other_entry_knows_of_the_outcome_is_kept(self):
        for error in (LogUnavailableError("down"), AppendUnknownError("lost")):
            self.services.error = error
            with self.assertRaises(type(error)):
                await self.links.append(self.address, RECORDS)

    async def test_an_error_inside_the_other_entry_is_no_refusal(self):
        self.services.error = ValueError("unexpected")
        with self.assertLogs("aiohttp.server"), self.assertRaises(AppendUnknownError):
            await self.links.append(self.address, RECORDS)

    async def test_the_leader_is_told_of_records_and_asked_about_a_job(self):
        await self.links.tell_appended(self.address, 7, RECORDS)
        self.assertEqual(self.services.noted, [(7, RECORDS)])
        state = await self.links.state(self.address, "a" * 16)
        self.assertIs(state, JobState.RUNNING)
        self.services.error = StateUnavailableError("another entry leads")
        with self.assertRaises(TransportError):
            await self.links.state(self.address, "a" * 16)

    async def test_a_caller_is_answered_by_another_entry(self):
        answer = await self.links.forward(self.address, REQUEST)
        expected = CallerAnswer(200, REQUEST.path.encode(), version=3)
        self.assertEqual(answer, expected)
        self.services.error = StateUnavailableError("no store here")
        with self.assertRaises(StateUnavailableError):
            await self.links.forward(self.address, REQUEST)

    async def test_nothing_was_kept_where_nothing_listens(self):
        await self.server.stop()
        with self.assertRaises(LogUnavailableError):
            await self.links.append(self.address, RECORDS)

    async def watch(self, life, on_beat=lambda is_writing: None):
        return await self.links.watch_life(self.address, life, on_beat)

    async def test_an_ended_life_is_noticed(self):
        self.assertIs(await self.watch("life-0"), LifeSign.GONE)
        await self.server.stop()
        self.assertIs(await self.watch("life-1"), LifeSign.GONE)

    async def test_the_watch_of_a_leader_that_resigns_ends(self):
        def on_beat(is_writing):
            self.services.has_resigned_ = True

        self.assertIs(await self.watch("life-1", on_beat), LifeSign.OPEN)

    async def test_a_life_gives_signs_until_it_falls_silent(self):
        beats = []

        def on_beat(is_writing):
            beats.append(is_writing)
            self.services.writing = False
            if len(beats) == 2:
                self.frozen = mock.patch.object(_server, "BEAT_S", 60.0)
                self.frozen.start()
                self.addCleanup(self.frozen.stop)

        self.assertIs(await self.watch("life-1", on_beat), LifeSign.SILENT)
        self.assertEqual((beats[0], beats[-1]), (True, False))
