import asyncio
import unittest
from unittest import mock

from pimentomill.ingress import CloseReason, ClosureLog, _closures

INTERVAL_S = 0.05


class TestClosureLog(unittest.IsolatedAsyncioTestCase):
    async def test_lines_are_bounded_and_counts_complete(self):
        log, on_closure = mock.Mock(), mock.Mock()
        with mock.patch.object(_closures, "LOG_INTERVAL_S", INTERVAL_S):
            closures = ClosureLog(log, on_closure)
            for _ in range(100):
                closures.record(CloseReason.MEMORY, "127.0.0.1")
            closures.record(CloseReason.HEADER_SIZE, "127.0.0.2", "why")
            self.assertEqual(log.info.call_count, 2)
            async with asyncio.timeout(30):
                while log.info.call_count < 3:
                    await asyncio.sleep(INTERVAL_S)
        counts = [call.kwargs["count"] for call in log.info.call_args_list]
        self.assertEqual(counts, [1, 1, 99])
        self.assertEqual(log.info.call_args_list[1].kwargs["detail"], "why")
        self.assertEqual(on_closure.call_count, 101)
        on_closure.assert_any_call("header_size")
