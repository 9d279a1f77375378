import asyncio
import unittest

from pimentomill.exceptions import BodyTooLargeError
from pimentomill.utils import read_body


class TestReadBody(unittest.IsolatedAsyncioTestCase):
    async def parts(self, *parts, then_hang=False):
        for part in parts:
            yield part
        if then_hang:
            await asyncio.Event().wait()

    async def test_a_whole_body_up_to_the_limit(self):
        self.assertEqual(await read_body(self.parts(b"ab", b"c"), 3, 30), b"abc")

    async def test_reading_ends_beyond_the_limit(self):
        with self.assertRaisesRegex(BodyTooLargeError, "2 bytes"):
            await read_body(self.parts(b"ab", b"c", then_hang=True), 2, 30)

    async def test_a_body_that_does_not_end_in_time(self):
        with self.assertRaises(TimeoutError):
            await read_body(self.parts(b"a", then_hang=True), 9, 0.01)
