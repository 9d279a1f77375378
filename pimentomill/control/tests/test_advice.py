import asyncio
import unittest

from pimentomill.catalog import AdvicePolicy
from pimentomill.control import AdviceDesk, AdviceGiven
from pimentomill.dispatch.tests.samples import first_step, queue, step, worker
from pimentomill.exceptions import TransportError
from pimentomill.utils import ManualClock

SHORT = AdvicePolicy(20.0, 0.2, 2000)
LONG = AdvicePolicy(500.0, 6.0, 2000)


class FakePort:
    def __init__(self, name):
        self.name = name
        self.asked = []
        self.gate = asyncio.Event()
        self.fails = False

    async def ask(self, key, workers):
        self.asked.append(key)
        await self.gate.wait()
        if self.fails:
            raise TransportError("gone", True)
        return AdviceGiven({workers[0]: "t"}, 2000)


class TestAdviceDesk(unittest.IsolatedAsyncioTestCase):
    """Few entries, many questions: some take 20 ms, others half a second."""

    def setUp(self):
        self.clock = ManualClock()
        self.desk = AdviceDesk(self.clock, 100)
        self.ports = [FakePort(f"n{number}") for number in range(4)]
        self.desk.ports = {port.name: port for port in self.ports}
        self.workers = [worker("w1"), worker("w2")]
        self.tasks = []

    async def asyncTearDown(self):
        for port in self.ports:
            port.gate.set()
        await asyncio.gather(*self.tasks)

    def step(self, letter, policy):
        return first_step(letter * 16, [step()], of=queue(advice=policy))

    async def ask(self, found):
        self.tasks.append(asyncio.ensure_future(self.desk.ask(found, self.workers)))
        await asyncio.sleep(0)

    async def test_an_entry_has_one_question_at_a_time(self):
        for letter in "abcd":
            await self.ask(self.step(letter, SHORT))
        self.assertEqual([len(port.asked) for port in self.ports], [1, 1, 1, 1])
        self.assertEqual(self.desk.idle_count(), 0)

    async def test_long_questions_leave_an_entry_for_short_ones(self):
        for letter in "abc":
            await self.ask(self.step(letter, LONG))
        self.assertFalse(self.desk.can_take(self.step("d", LONG), 2))
        self.assertTrue(self.desk.can_take(self.step("e", SHORT), 2))

    async def test_an_answer_is_kept_with_its_validity(self):
        found = self.step("a", SHORT)
        self.ports[0].gate.set()
        self.assertTrue(await self.desk.ask(found, self.workers))
        self.assertEqual(found.asked, {"w1", "w2"})
        self.assertEqual(found.allowed, {"w1"})
        self.assertEqual(found.tickets["w1"].valid_until, 1900)

    async def test_an_entry_that_does_not_answer_rests(self):
        self.ports[0].fails = True
        self.ports[0].gate.set()
        self.assertFalse(await self.desk.ask(self.step("a", SHORT), self.workers))
        self.assertEqual(self.desk.idle_count(), 3)
        self.clock.advance(2000)
        self.assertEqual(self.desk.idle_count(), 4)

    async def test_an_entry_that_failed_last_gets_no_short_question(self):
        self.ports[0].fails = True
        self.ports[0].gate.set()
        await self.desk.ask(self.step("a", SHORT), self.workers)
        self.clock.advance(2000)
        for letter in "bcd":
            await self.ask(self.step(letter, SHORT))
        self.assertFalse(self.desk.can_take(self.step("e", SHORT), 2))
        self.ports[0].fails = False
        self.assertTrue(await self.desk.ask(self.step("f", LONG), self.workers))
        self.assertTrue(self.desk.can_take(self.step("g", SHORT), 2))
