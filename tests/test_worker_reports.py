"""Reports of workers are counted, whichever way they come."""

import unittest

from scripts.cell import CellShape, LocalCell

SHAPE = CellShape(entries=1, workers=1, backends=0, groups=1)
REPORT_INTERVAL_MS = 3_600_000
"""Pause between a worker's own reports in milliseconds, beyond the test's end."""


class WorkerReportsTest(unittest.TestCase):
    # A report that a holder had asked for was not counted.
    def test_requested_report_is_counted(self):
        cell = LocalCell(SHAPE)
        self.addCleanup(cell.close)
        for worker in cell.workers:
            worker.settings["report_ms"] = REPORT_INTERVAL_MS
        cell.start()
        text = cell.http.request("GET", cell.control_url(0) + "/metrics").data
        self.assertIn(b"worker_reports", text)
