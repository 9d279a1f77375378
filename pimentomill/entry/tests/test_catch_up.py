import threading
import unittest
from itertools import count

from pimentomill.entry._catch_up import MAX_WAITING_CALLS, CatchUp
from pimentomill.exceptions import LogUnavailableError
from pimentomill.journal import ReadResult, StreamSlice

STREAM = "cell"


class CountingClock:
    """Clock that advances on each reading and counts the readings."""

    def __init__(self):
        self._counter = count(1)
        self.readings = threading.Semaphore(0)

    def now(self):
        """Return the next reading."""
        reading = next(self._counter)
        self.readings.release()
        return reading


class FakeLog:
    """Log without new records whose reads block until the test unblocks them."""

    def __init__(self, result=None):
        self.result = result or ReadResult({})
        self.started = threading.Semaphore(0)
        self.unblocked = threading.Event()
        self.reads = 0

    def read(self, req):
        """Read like the platform's client."""
        self.reads += 1
        self.started.release()
        self.unblocked.wait()
        return self.result


class FakeHandle:
    """Handle of a core whose next offset is 5."""

    def ask(self, call):
        """Run a call."""
        return call(None)

    def tell(self, call):
        """Run a call."""
        call(None)


def catch_up(log, clock):
    return CatchUp(
        FakeHandle(), log, clock, STREAM, lambda core: 5, lambda core, part: None
    )


class CatchUpTest(unittest.TestCase):
    def test_calls_during_a_read_share_the_next_read(self):
        log, clock = FakeLog(), CountingClock()
        reader = catch_up(log, clock)
        threads = [threading.Thread(target=reader.run) for _ in range(4)]
        threads[0].start()
        log.started.acquire()
        for thread in threads[1:]:
            thread.start()
        for _ in range(2 + 3):
            clock.readings.acquire()
        log.unblocked.set()
        for thread in threads:
            thread.join()
        self.assertEqual(log.reads, 2)

    def test_call_beyond_the_limit_is_rejected_at_once(self):
        log, clock = FakeLog(), CountingClock()
        reader = catch_up(log, clock)
        threads = [
            threading.Thread(target=reader.run) for _ in range(MAX_WAITING_CALLS)
        ]
        for thread in threads:
            thread.start()
        for _ in range(1 + MAX_WAITING_CALLS):
            clock.readings.acquire()
        with self.assertRaises(LogUnavailableError):
            reader.run()
        log.unblocked.set()
        for thread in threads:
            thread.join()
        reader.run()

    def test_call_after_a_read_reads_again(self):
        log, clock = FakeLog(), CountingClock()
        log.unblocked.set()
        reader = catch_up(log, clock)
        reader.run()
        reader.run()
        self.assertEqual(log.reads, 2)

    def test_deleted_records_are_not_skipped(self):
        part = StreamSlice(7, 8, 7, [b"x"])
        log = FakeLog(ReadResult({STREAM: part}))
        log.unblocked.set()
        with self.assertRaises(LogUnavailableError):
            catch_up(log, CountingClock()).run()
