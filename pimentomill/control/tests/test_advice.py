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
        question = self.desk.reserve(found, self.workers)
        self.assertIsNotNone(question)
        self.tasks.append(asyncio.ensure_future(self.desk.ask(question)))
        await asyncio.sleep(0)

    async def answer(self, found):
        """Ask an idle entry and return whether it answered."""
        return await self.desk.ask(self.desk.reserve(found, self.workers))

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
        self.assertTrue(await self.answer(found))
        self.assertEqual(found.queried, {"w1", "w2"})
        self.assertEqual(found.allowed, {"w1"})
        self.assertEqual(found.tickets["w1"].valid_until, 1900)

    async def test_an_entry_that_does_not_answer_rests(self):
        self.ports[0].fails = True
        self.ports[0].gate.set()
        self.assertFalse(await self.answer(self.step("a", SHORT)))
        self.assertEqual(self.desk.idle_count(), 3)
        self.clock.advance(2000)
        self.assertEqual(self.desk.idle_count(), 4)

    async def test_an_entry_that_failed_last_gets_no_short_question(self):
        self.ports[0].fails = True
        self.ports[0].gate.set()
        await self.answer(self.step("a", SHORT))
        self.clock.advance(2000)
        for letter in "bcd":
            await self.ask(self.step(letter, SHORT))
        self.assertFalse(self.desk.can_take(self.step("e", SHORT), 2))
        self.ports[0].fails = False
        self.assertTrue(await self.answer(self.step("f", LONG)))
        self.assertTrue(self.desk.can_take(self.step("g", SHORT), 2))

    async def test_questions_of_one_pass_get_different_entries(self):
        """Nothing is sent before all are reserved, as in a pass of the planner."""
        questions = [
            self.desk.reserve(self.step(letter, SHORT), self.workers)
            for letter in "abcd"
        ]
        names = {question.port.name for question in questions}
        self.assertEqual(len(names), 4)
        self.assertIsNone(self.desk.reserve(self.step("e", SHORT), self.workers))

    async def test_entries_that_rest_are_no_lane_for_short_questions(self):
        """Half of the entries are cut off while many long questions come."""
        for port in self.ports[:2]:
            port.fails = True
            port.gate.set()
        for letter in "ab":
            await self.answer(self.step(letter, LONG))
        await self.ask(self.step("c", LONG))
        self.assertFalse(self.desk.can_take(self.step("d", LONG), 2))
        self.assertTrue(self.desk.can_take(self.step("e", SHORT), 2))

    async def test_a_refused_question_is_repeated_later(self):
        self.desk.ports = {"n0": self.ports[0]}
        self.ports[0].fails = True
        self.ports[0].gate.set()
        self.assertFalse(await self.answer(self.step("a", SHORT)))
        self.assertEqual(self.desk.idle_count(), 0)
        self.clock.advance(150)
        self.assertEqual(self.desk.idle_count(), 1)
