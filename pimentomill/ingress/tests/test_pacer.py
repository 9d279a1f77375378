import asyncio
import unittest

from pimentomill.ingress._pacer import ReceivePacer

SLICE_S = 10.0


class FakeLoop:
    """Event loop whose time only passes while something is parsed."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        return self.now

    def call_soon(self, callback):
        asyncio.get_running_loop().call_soon(callback)


class TestReceivePacer(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop = FakeLoop()
        self.pacer = ReceivePacer(self.loop, SLICE_S)
        self.parsed = []

    def parse(self, name, duration_s=8.0):
        self.parsed.append(name)
        self.loop.now += duration_s

    async def test_time_of_one_iteration_is_bounded(self):
        self.pacer.run(self.parse, 1, 6.0)
        self.assertTrue(self.pacer.has_time())
        self.pacer.run(self.parse, 2, 6.0)
        self.assertFalse(self.pacer.has_time())
        await asyncio.sleep(0)
        self.assertTrue(self.pacer.has_time())

    async def test_least_received_comes_first(self):
        for received_bytes in (500, 3, 40, 7, 9000, 1):
            self.pacer.defer(received_bytes, lambda n=received_bytes: self.parse(n))
        await asyncio.sleep(0)
        self.assertEqual(self.parsed, [1, 3])
        while len(self.parsed) < 6:
            await asyncio.sleep(0)
        self.assertEqual(self.parsed, [1, 3, 7, 40, 500, 9000])

    async def test_a_small_request_passes_waiting_large_ones(self):
        for _ in range(3):
            self.pacer.defer(100_000, lambda: self.parse("large", 20.0))
        await asyncio.sleep(0)
        self.pacer.defer(10, lambda: self.parse("small", 20.0))
        await asyncio.sleep(0)
        self.assertEqual(self.parsed, ["large", "small"])
