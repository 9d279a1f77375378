"""Logs of a small cell outlast it."""

import tempfile
import unittest
from pathlib import Path

from scripts.cell import CellShape, SmallCell

SHAPE = CellShape(entries=1, workers=1, backends=1, groups=1)


class KeptLogsTest(unittest.TestCase):
    def test_logs_are_kept_after_the_cell_is_closed(self):
        cell = SmallCell(SHAPE)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cell.entries[0].log_path.write_text("a line")
        kept = cell.keep_logs(Path(folder.name))
        cell.close()
        self.assertEqual((kept / "entry-1.log").read_text(), "a line")
