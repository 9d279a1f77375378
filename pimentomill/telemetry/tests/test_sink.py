import json
import os
import unittest

from pimentomill.telemetry import NonBlockingSink

LINE = b"x" * 999 + b"\n"


class TestNonBlockingSink(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.sink = NonBlockingSink(writer)

    def drain(self):
        os.set_blocking(self.reader, False)
        chunks = []
        try:
            while chunk := os.read(self.reader, 1 << 20):
                chunks.append(chunk)
        except BlockingIOError:
            pass
        return b"".join(chunks)

    def test_lines_arrive_in_order(self):
        for text in ("a\n", b"b\n"):
            self.sink.write(text)
        self.assertEqual(self.drain(), b"a\nb\n")

    def test_slow_reader_drops_lines_without_blocking_and_count_is_reported(self):
        written = 0
        while not self.sink.dropped_:
            self.sink.write(LINE)
            written += 1
        for _ in range(9):
            self.sink.write(LINE)
        lines = self.drain().splitlines()
        self.sink.write(b"last\n")
        lines += self.drain().splitlines()
        notices = [json.loads(line) for line in lines if line.startswith(b"{")]
        self.assertEqual([notice["count"] for notice in notices], [10])
        complete_lines = sum(line == LINE[:-1] for line in lines)
        self.assertEqual(complete_lines, written - 1)
        self.assertEqual(lines[-1], b"last")
