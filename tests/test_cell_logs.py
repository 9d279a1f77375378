"""Logs of a small cell outlast it."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from scripts import demo
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

    # A demonstration that ended with an error of another kind kept nothing.
    def test_demonstration_keeps_its_logs_whatever_it_fails_with(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        out = io.StringIO()
        with (
            mock.patch.object(SmallCell, "start", side_effect=KeyError("data")),
            mock.patch.object(demo, "KEPT_LOGS", Path(folder.name)),
            contextlib.redirect_stdout(out),
        ):
            self.assertEqual(demo.main(), 1)
        self.assertIn("KeyError('data')", out.getvalue())
        self.assertEqual(len(list(Path(folder.name).iterdir())), 1)
