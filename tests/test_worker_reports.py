"""Worker reports are counted, whether sent periodically or on request."""

import unittest

from scripts.cell import CellShape, LocalCell

SHAPE = CellShape(entries=1, workers=1, backends=0, groups=1)
REPORT_INTERVAL_MS = 3_600_000
"""Interval of periodic worker reports in milliseconds, longer than the test."""


class WorkerReportsTest(unittest.TestCase):
    # Reports that a holder requested were not counted.
    def test_requested_report_is_counted(self):
        cell = LocalCell(SHAPE)
        self.addCleanup(cell.close)
        for worker in cell.workers:
            worker.settings["report_ms"] = REPORT_INTERVAL_MS
        cell.start()
        text = cell.http.request("GET", cell.control_url(0) + "/metrics").data
        self.assertIn(b"worker_reports", text)
