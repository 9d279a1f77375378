"""Reports of workers are counted, whichever way they come."""

import unittest

from scripts.cell import CellShape, SmallCell

SHAPE = CellShape(entries=1, workers=1, backends=0, groups=1)
NEVER_BY_ITSELF_MS = 3_600_000
"""Pause between a worker's own reports in milliseconds, beyond the test's end."""


class ReportsTest(unittest.TestCase):
    # A report that a holder had asked for was not counted.
    def test_report_that_was_asked_for_is_counted(self):
        cell = SmallCell(SHAPE)
        self.addCleanup(cell.close)
        for worker in cell.workers:
            worker.settings["report_ms"] = NEVER_BY_ITSELF_MS
        cell.start()
        text = cell.http.request("GET", cell.control_url(0) + "/metrics").data
        self.assertIn(b"worker_reports", text)
