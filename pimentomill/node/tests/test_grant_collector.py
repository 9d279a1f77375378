import asyncio
import unittest

from pimentomill.links import LeaseOutcome, LeaseQuery
from pimentomill.node._grant_collector import GrantCollector
from pimentomill.replica import Enrolments, LeaseRequest
from pimentomill.utils import ManualClock


class FakeLinks:
    def __init__(self):
        self.outcomes = {}
        self.queries = []

    async def request_lease(self, address, query):
        self.queries.append((address, query))
        return self.outcomes[address]


class TestGrantCollector(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.links = FakeLinks()
        self.enrolments = Enrolments(self.clock)
        self.collector = GrantCollector(
            LeaseRequest(3, "life-l"), self.enrolments, self.links
        )
        for name in "ab":
            self.enrolments.add(f"life-{name}", name)
            self.links.outcomes[name] = LeaseOutcome.GRANTED

    async def test_each_enrolled_entry_is_asked(self):
        self.assertTrue(await self.collector.collect(1000))
        expected = [(n, LeaseQuery(3, "life-l", f"life-{n}")) for n in "ab"]
        self.assertEqual(self.links.queries, expected)

    # Guards against authority beside an entry that may take over.
    async def test_one_entry_without_a_grant_suffices_to_prove_nothing(self):
        for outcome in (LeaseOutcome.REFUSED, LeaseOutcome.UNKNOWN, LeaseOutcome.ENDED):
            self.links.outcomes["b"] = outcome
            self.assertFalse(await self.collector.collect(1000), outcome)

    # Guards against leases of workers that end because one entry ends while the store
    # is down.
    async def test_an_entry_that_ends_after_its_grant_is_not_needed(self):
        await self.collector.collect(1000)
        self.clock.advance(1000)
        self.links.outcomes["b"] = LeaseOutcome.ENDED
        self.assertTrue(await self.collector.collect(1000))
        self.assertEqual(set(self.enrolments.required(1000)), {"life-a"})

    # Guards against two leaders: another process at a listed address has claimed.
    async def test_whatever_runs_at_a_listed_address_is_asked(self):
        self.enrolments.begin_listing("ab")
        await self.collector.collect(1000)
        self.clock.advance(1000)
        self.links.outcomes["b"] = LeaseOutcome.ENDED
        self.assertFalse(await self.collector.collect(1000))
        for outcome in (LeaseOutcome.ENDED, LeaseOutcome.GRANTED):
            self.clock.advance(1000)
            self.links.outcomes["b"] = outcome
            self.assertTrue(await self.collector.collect(1000))
            self.assertIn(("b", LeaseQuery(3, "life-l", "")), self.links.queries[-2:])
        for outcome in (LeaseOutcome.REFUSED, LeaseOutcome.UNKNOWN):
            self.links.outcomes["b"] = outcome
            self.clock.advance(100)
            self.assertFalse(await self.collector.collect(1000))

    # Guards against a round that ends with an error, as an entry restarts and enrols
    # while the requests of the round are about to be sent.
    async def test_an_entry_that_restarts_during_a_round_does_not_end_it(self):
        await self.collector.collect(1000)
        self.clock.advance(1000)
        collecting = asyncio.ensure_future(self.collector.collect(1000))
        await asyncio.sleep(0)
        self.enrolments.add("life-c", "b")
        self.assertTrue(await collecting)
        self.assertEqual(set(self.enrolments.required(1000)), {"life-a", "life-c"})
