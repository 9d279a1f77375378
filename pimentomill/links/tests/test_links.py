import unittest
from unittest import mock

import aiohttp

from pimentomill.control import AdviceGiven
from pimentomill.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    TransportError,
)
from pimentomill.jobs import KeyedRecord, StepKey
from pimentomill.links import (
    LifeSign,
    LinkServer,
    RemoteAdvisor,
    _links,
    relay_append,
    watch_life,
)

STEP = StepKey("a" * 16, 0, 1)
RECORDS = [KeyedRecord("k", b"\x00v")]


class FakeAdvisor:
    name = "n1"

    def __init__(self):
        self.fails = False

    async def ask(self, step, workers):
        if self.fails:
            raise TransportError("refused", False)
        return AdviceGiven({workers[0]: str(step.step)}, 1500)


class TestLinks(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.advisor = FakeAdvisor()
        self.kept = []
        self.error = None
        self.server = LinkServer(self.advisor, "life-1", self.append)
        await self.server.start("127.0.0.1", 0)
        port = self.server._runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.server.stop()

    async def append(self, records):
        if self.error is not None:
            raise self.error
        self.kept += records

    async def ask(self):
        advisor = RemoteAdvisor("n1", self.address, self.session)
        return await advisor.ask(STEP, ["w1", "w2"])

    async def test_a_question_through_another_entry(self):
        given = await self.ask()
        self.assertEqual((given.tickets, given.valid_ms), ({"w1": "1"}, 1500))
        self.advisor.fails = True
        with self.assertRaises(TransportError):
            await self.ask()

    async def test_an_append_through_another_entry(self):
        await relay_append(self.session, self.address, RECORDS)
        self.assertEqual(self.kept, RECORDS)

    async def test_what_the_other_entry_knows_of_the_outcome_is_kept(self):
        for error in (LogUnavailableError("down"), AppendUnknownError("lost")):
            self.error = error
            with self.assertRaises(type(error)):
                await relay_append(self.session, self.address, RECORDS)

    async def test_nothing_was_kept_where_nothing_listens(self):
        await self.server.stop()
        with self.assertRaises(LogUnavailableError):
            await relay_append(self.session, self.address, RECORDS)

    async def watch(self, life, on_beat=lambda: None):
        return await watch_life(self.session, self.address, life, on_beat)

    async def test_an_ended_life_is_noticed(self):
        self.assertIs(await self.watch("life-0"), LifeSign.GONE)
        await self.server.stop()
        self.assertIs(await self.watch("life-1"), LifeSign.GONE)

    async def test_a_life_gives_signs_until_it_falls_silent(self):
        beats = []

        def on_beat():
            beats.append(1)
            if len(beats) == 2:
                self.frozen = mock.patch.object(_links, "BEAT_S", 60.0)
                self.frozen.start()
                self.addCleanup(self.frozen.stop)

        self.assertIs(await self.watch("life-1", on_beat), LifeSign.SILENT)
        self.assertGreaterEqual(len(beats), 2)
