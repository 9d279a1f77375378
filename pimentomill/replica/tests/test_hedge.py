import asyncio
import unittest

from pimentomill.exceptions import (
    AppendUnknownError,
    FencedError,
    LogUnavailableError,
)
from pimentomill.replica import Hedge
from pimentomill.utils import ManualClock


class TestHedge(unittest.IsolatedAsyncioTestCase):
    """Answers of the store are lost, or a path to it is broken."""

    def setUp(self):
        self.hedge = Hedge(ManualClock())
        self.started = []
        self.never = asyncio.Event()

    def attempt(self, name, result=None, error=None, waits=False):
        async def run():
            self.started.append(name)
            if waits:
                await self.never.wait()
            if error is not None:
                raise error
            return result

        return run

    async def test_a_quick_answer_needs_no_second_attempt(self):
        first = self.attempt("first", 1)
        self.assertEqual(await self.hedge.run(first, self.attempt("second", 2)), 1)
        self.assertEqual(self.started, ["first"])

    async def test_a_rejection_needs_no_second_attempt(self):
        first = self.attempt("first", error=LogUnavailableError("down"))
        with self.assertRaises(LogUnavailableError):
            await self.hedge.run(first, self.attempt("second", 2))
        self.assertEqual(self.started, ["first"])

    async def test_the_second_attempt_succeeds_while_the_first_is_silent(self):
        first = self.attempt("first", 1, waits=True)
        self.assertEqual(await self.hedge.run(first, self.attempt("second", 2)), 2)
        self.never.set()

    async def test_the_first_may_still_answer_after_the_second_failed(self):
        first = self.attempt("first", 1, waits=True)
        second = self.attempt("second", error=LogUnavailableError("refused"))
        running = asyncio.ensure_future(self.hedge.run(first, second))
        while "second" not in self.started:
            await asyncio.sleep(0.005)
        self.never.set()
        self.assertEqual(await running, 1)

    async def test_one_unknown_outcome_leaves_the_whole_unknown(self):
        first = self.attempt("first", error=AppendUnknownError("silent"), waits=True)
        second = self.attempt("second", error=LogUnavailableError("refused"))
        running = asyncio.ensure_future(self.hedge.run(first, second))
        while "second" not in self.started:
            await asyncio.sleep(0.005)
        self.never.set()
        with self.assertRaises(AppendUnknownError):
            await running

    async def test_a_later_leader_fences_both_attempts(self):
        first = self.attempt("first", error=FencedError("epoch 2"), waits=True)
        second = self.attempt("second", error=AppendUnknownError("silent"))
        running = asyncio.ensure_future(self.hedge.run(first, second))
        while "second" not in self.started:
            await asyncio.sleep(0.005)
        self.never.set()
        with self.assertRaises(FencedError):
            await running
