"""A leader without the store asks the other entries for leases."""

import asyncio
import unittest
from unittest import mock

from pimentomill.control import _authority_keeper
from pimentomill.control._authority_keeper import GRANT_ROUND_AGE_MS, AuthorityKeeper
from pimentomill.replica import AUTHORITY_MS, MAX_APPEND_SILENCE_MS, Authority
from pimentomill.utils import ManualClock

CHECKS = 5


class TestAuthorityKeeper(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock(1000)
        self.authority = Authority(1000, 1000)
        self.rounds = []
        self.has_grants = True
        self.round_ms = 0
        self.regained = 0
        self.keeper = AuthorityKeeper(
            self.authority, self.ask, self.clock, self.count_regained
        )

    async def ask(self, stored_at):
        self.rounds.append(stored_at)
        self.clock.advance(self.round_ms)
        return self.has_grants

    def count_regained(self):
        self.regained += 1

    async def run_for(self, ms):
        """Let the keeper check a few times after a time."""
        self.clock.advance(ms)
        pauses = iter(range(CHECKS))

        async def pause(delay_s):
            if next(pauses, None) is None:
                raise asyncio.CancelledError

        with (
            mock.patch.object(_authority_keeper.asyncio, "sleep", pause),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.keeper.run()

    async def test_no_lease_is_asked_for_while_the_store_proves_the_authority(self):
        await self.run_for(GRANT_ROUND_AGE_MS - 1)
        self.assertEqual(self.rounds, [])

    # Guards against leases of all workers that end while the whole store is down.
    async def test_leases_of_the_other_entries_prove_the_authority(self):
        await self.run_for(GRANT_ROUND_AGE_MS)
        self.assertEqual(self.rounds, [1000])
        self.assertTrue(self.authority.covers(1000 + GRANT_ROUND_AGE_MS))

    # Guards against an entry that is left out as it could not claim any more by the
    # last round, while only the store shows that it has not claimed before.
    async def test_each_round_asks_for_the_time_since_the_last_proof_by_the_store(self):
        for _ in range(2):
            await self.run_for(GRANT_ROUND_AGE_MS)
        self.assertEqual(self.rounds, [1000, 1000])

    async def test_a_proof_counts_from_the_beginning_of_its_round(self):
        self.round_ms = 300
        await self.run_for(GRANT_ROUND_AGE_MS)
        self.assertEqual(self.authority.proven_at_, 1000 + GRANT_ROUND_AGE_MS)

    async def test_refused_leases_prove_nothing(self):
        self.has_grants = False
        await self.run_for(AUTHORITY_MS)
        self.assertFalse(self.authority.is_valid(self.clock.now()))
        self.assertEqual(self.regained, 0)
        self.has_grants = True
        await self.run_for(0)
        self.assertTrue(self.authority.is_valid(self.clock.now()))
        self.assertEqual(self.regained, 1)

    # Guards against a leader that acts beside the entry to which it hands over.
    async def test_no_lease_is_asked_for_after_a_resignation(self):
        self.keeper.stop_rounds()
        await self.run_for(GRANT_ROUND_AGE_MS)
        self.assertEqual(self.rounds, [])

    async def test_a_round_overtaken_by_a_resignation_proves_nothing(self):
        async def ask(stored_at):
            self.keeper.stop_rounds()
            return True

        self.keeper.grant_round = ask
        await self.run_for(GRANT_ROUND_AGE_MS)
        self.assertEqual(self.authority.proven_at_, 1000)

    async def test_the_leader_steps_down_when_its_authority_has_lapsed(self):
        self.clock.advance(MAX_APPEND_SILENCE_MS)
        reason = await asyncio.wait_for(self.keeper.run(), 10)
        self.assertEqual(reason, f"no append for {MAX_APPEND_SILENCE_MS} ms")
