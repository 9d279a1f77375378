import asyncio
import unittest

from pimentomill.ingress._pacer import ReceivePacer


class TestReceivePacer(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_of_one_iteration_are_bounded(self):
        pacer = ReceivePacer(asyncio.get_running_loop(), 10)
        self.assertTrue(pacer.take(6))
        self.assertTrue(pacer.take(6))
        self.assertFalse(pacer.take(1))
        await asyncio.sleep(0)
        self.assertTrue(pacer.take(1))

    async def test_least_received_comes_first(self):
        pacer, parsed = ReceivePacer(asyncio.get_running_loop(), 10), []

        def parse(name):
            parsed.append(name)
            return 8

        for received_bytes in (500, 3, 40, 7, 9000, 1):
            pacer.defer(received_bytes, lambda n=received_bytes: parse(n))
        await asyncio.sleep(0)
        self.assertEqual(parsed, [1, 3])
        while len(parsed) < 6:
            await asyncio.sleep(0)
        self.assertEqual(parsed, [1, 3, 7, 40, 500, 9000])

    async def test_a_small_request_passes_waiting_large_ones(self):
        pacer, parsed = ReceivePacer(asyncio.get_running_loop(), 1), []

        def parse_large():
            parsed.append("large")
            return 1

        def parse_small():
            parsed.append("small")
            return 1

        for _ in range(3):
            pacer.defer(100_000, parse_large)
        await asyncio.sleep(0)
        pacer.defer(10, parse_small)
        await asyncio.sleep(0)
        self.assertEqual(parsed, ["large", "small"])
