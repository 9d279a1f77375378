"""Copied logs of a local cell outlast the cell."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from scripts import demo
from scripts.cell import CellShape, LocalCell

SHAPE = CellShape(entries=1, workers=1, backends=1, groups=1)


class CellLogsTest(unittest.TestCase):
    def test_copied_logs_outlast_the_cell(self):
        cell = LocalCell(SHAPE)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cell.entries[0].log_path.write_text("a line")
        copies = cell.copy_logs(Path(folder.name))
        cell.close()
        self.assertEqual((copies / "entry-1.log").read_text(), "a line")

    # The demo copied no logs if it failed with an exception other than DemoError.
    def test_failed_demo_copies_logs_for_any_exception(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        out = io.StringIO()
        with (
            mock.patch.object(LocalCell, "start", side_effect=KeyError("data")),
            mock.patch.object(demo, "LOG_FOLDER", Path(folder.name)),
            contextlib.redirect_stdout(out),
        ):
            self.assertEqual(demo.main(), 1)
        self.assertIn("KeyError('data')", out.getvalue())
        self.assertEqual(len(list(Path(folder.name).iterdir())), 1)
