import unittest

import msgspec

from pimentomill.exceptions import StateUnavailableError, TransportError
from pimentomill.jobs import KeyedRecord
from pimentomill.links import CallerAnswer, CallerRequest
from pimentomill.node import MemberRecord, Members
from pimentomill.node._forwarding import FORWARD_START_LIMIT_MS, Forwarder
from pimentomill.utils import ManualClock

GET = CallerRequest("GET", "h", "/q/1", "key", b"")
POST = CallerRequest("POST", "h", "/q/1", "key", b"{}")
DONE = CallerAnswer(200, b"ok")


class FakeLinks:
    def __init__(self):
        self.tried = []
        self.errors = {}
        self.answer = DONE

    async def forward(self, address, req):
        self.tried.append(address)
        if address in self.errors:
            raise self.errors[address]
        return self.answer


class TestForwarder(unittest.IsolatedAsyncioTestCase):
    """The store rejects some entries and serves the others."""

    def setUp(self):
        self.clock = ManualClock(1000)
        self.members = Members("n0", self.clock)
        for number in range(4):
            member = MemberRecord(f"n{number}", f"a{number}", f"life-{number}")
            value = msgspec.msgpack.encode(member)
            self.members.apply(KeyedRecord(f"m:n{number}", value))
            self.clock.advance(10)
        self.links = FakeLinks()
        self.forwarder = Forwarder(self.members, self.links, self.clock)

    # Guards against forwarding callers to entries that are restarting as well.
    async def test_of_entries_on_one_page_the_largest_is_tried_first(self):
        for number, cores in ((1, 0.5), (2, 2.1), (3, 0.5)):
            member = MemberRecord(f"n{number}", f"a{number}", "life", cores)
            value = msgspec.msgpack.encode(member)
            self.members.apply(KeyedRecord(f"m:n{number}", value))
        await self.forwarder.forward(GET)
        self.assertEqual(self.links.tried, ["a2"])

    async def test_the_entry_that_answered_last_is_preferred(self):
        self.assertEqual(await self.forwarder.forward(GET), DONE)
        self.assertEqual(self.links.tried, ["a3"])
        self.links.errors["a3"] = StateUnavailableError("lost here too")
        await self.forwarder.forward(GET)
        await self.forwarder.forward(GET)
        self.assertEqual(self.links.tried, ["a3", "a3", "a2", "a2"])

    # Guards against callers without an answer while one entry could still give it.
    async def test_rejections_do_not_use_up_the_attempts(self):
        for number in (2, 3):
            self.links.errors[f"a{number}"] = StateUnavailableError("lost here too")
        self.assertEqual(await self.forwarder.forward(GET), DONE)
        self.assertEqual(self.links.tried, ["a3", "a2", "a1"])

    # Guards against callers who meet the same unusable entries with each retry.
    async def test_sparse_requests_do_not_return_to_entries_that_did_not_answer(self):
        for number in (2, 3):
            self.links.errors[f"a{number}"] = TransportError("silent", sent=True)
        self.assertIsNone(await self.forwarder.forward(GET))
        self.clock.advance(1000)
        self.assertEqual(await self.forwarder.forward(GET), DONE)
        self.assertEqual(self.links.tried, ["a3", "a2", "a1"])

    async def test_only_two_entries_are_waited_for(self):
        for number in range(1, 4):
            self.links.errors[f"a{number}"] = TransportError("silent", sent=True)
        await self.forwarder.forward(GET)
        self.assertEqual(self.links.tried, ["a3", "a2"])

    async def test_no_entry_is_tried_once_the_time_is_used_up(self):
        slow = self.links.forward

        async def reject_late(address, req):
            self.clock.advance(FORWARD_START_LIMIT_MS + 1)
            return await slow(address, req)

        self.links.forward = reject_late
        self.links.errors["a3"] = StateUnavailableError("lost here too")
        self.assertIsNone(await self.forwarder.forward(GET))
        self.assertEqual(self.links.tried, ["a3"])

    async def test_a_large_cell_is_tried_in_parts(self):
        for number in range(4, 30):
            member = MemberRecord(f"n{number}", f"a{number}", f"life-{number}")
            value = msgspec.msgpack.encode(member)
            self.members.apply(KeyedRecord(f"m:n{number}", value))
        for number in range(1, 30):
            self.links.errors[f"a{number}"] = StateUnavailableError("lost here too")
        del self.links.errors["a1"]
        answers = [await self.forwarder.forward(GET) for _ in range(4)]
        self.assertEqual(answers, [None, None, None, DONE])
        self.assertEqual(len(self.links.tried), 29)

    async def test_failed_entries_are_not_tried_during_the_cooldown(self):
        for number in range(1, 4):
            self.links.errors[f"a{number}"] = StateUnavailableError("lost here too")
        for _ in range(3):
            self.assertIsNone(await self.forwarder.forward(POST))
        self.assertEqual(len(self.links.tried), 3)
        self.clock.advance(600)
        self.links.errors.clear()
        self.assertEqual(await self.forwarder.forward(POST), DONE)

    async def test_no_answer_to_a_write_is_not_a_rejection(self):
        for number in range(1, 4):
            self.links.errors[f"a{number}"] = TransportError("silent", sent=True)
        self.assertEqual((await self.forwarder.forward(POST)).status, 504)

    async def test_no_answer_to_a_read_leaves_it_to_this_entry(self):
        for number in range(1, 4):
            self.links.errors[f"a{number}"] = TransportError("silent", sent=True)
        self.assertIsNone(await self.forwarder.forward(GET))

    async def test_a_second_entry_resolves_an_attempt_in_doubt(self):
        self.links.errors["a3"] = TransportError("silent", sent=True)
        self.assertEqual(await self.forwarder.forward(POST), DONE)

    async def test_a_rejection_elsewhere_does_not_resolve_an_attempt_in_doubt(self):
        self.links.errors["a3"] = TransportError("silent", sent=True)
        self.links.answer = CallerAnswer(503, reason="the store can't be reached")
        self.assertEqual((await self.forwarder.forward(POST)).status, 504)
