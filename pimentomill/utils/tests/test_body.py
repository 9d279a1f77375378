import asyncio
import unittest

from pimentomill.exceptions import BodyTooLargeError
from pimentomill.utils import read_body


class TestReadBody(unittest.IsolatedAsyncioTestCase):
    async def iter_chunks(self, *chunks, then_hang=False):
        for chunk in chunks:
            yield chunk
        if then_hang:
            await asyncio.Event().wait()

    async def test_body_of_exactly_the_size_limit_is_read(self):
        self.assertEqual(await read_body(self.iter_chunks(b"ab", b"c"), 3, 30), b"abc")

    async def test_reading_stops_beyond_the_size_limit(self):
        with self.assertRaisesRegex(BodyTooLargeError, "2 bytes"):
            await read_body(self.iter_chunks(b"ab", b"c", then_hang=True), 2, 30)

    async def test_incomplete_body_times_out(self):
        with self.assertRaises(TimeoutError):
            await read_body(self.iter_chunks(b"a", then_hang=True), 9, 0.01)
